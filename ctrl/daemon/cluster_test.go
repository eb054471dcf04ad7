package daemon_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

var verbose = flag.Bool("events", false, "print the replicas' events")

// cluster is a control group in one synctest bubble.
type cluster struct {
	t       *testing.T
	network *vnet.Network
	peers   []daemon.Peer
	disks   map[string]*disk.Memory
	running map[string]*running
	seed    uint64
	ctx     context.Context
}

type running struct {
	*daemon.Daemon
	cancel context.CancelFunc
	ended  chan struct{}
}

func inCluster(t *testing.T, seed uint64, run func(c *cluster)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, network: vnet.New(), disks: map[string]*disk.Memory{}, running: map[string]*running{}, seed: seed * 1000, ctx: ctx}
		c.network.Latency = func(string, string) time.Duration { return time.Millisecond }
		for i := range 3 {
			name := fmt.Sprintf("c%d", i+1)
			c.peers = append(c.peers, daemon.Peer{Name: name, Address: name + ":1"})
			c.disks[name] = &disk.Memory{}
		}
		for _, peer := range c.peers {
			c.start(peer.Name)
		}
		c.leader()
		defer func() {
			cancel()
			for _, name := range slices.Sorted(maps.Keys(c.running)) {
				c.stop(name)
			}
			time.Sleep(5 * time.Minute)
		}()
		run(c)
	})
}

func (c *cluster) start(name string) {
	c.seed++
	log := event.Log{}
	if *verbose {
		log = event.New(os.Stderr, name)
	}
	d := &daemon.Daemon{
		Host: host.Host{VM: name, Meter: meter.New(), Log: log, Dial: c.network.Dialer(name), Listen: c.network.Listen},
		Name: name, Address: name + ":1", Peers: c.peers, Disk: c.disks[name].Disk(), Seed: c.seed, LoadsPerSecond: 2, MaxLoadsInFlight: 8,
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Daemon: d, cancel: cancel, ended: make(chan struct{})}
	c.running[name] = r
	go func() {
		defer close(r.ended)
		_ = d.Run(ctx)
	}()
}

// stop ends a replica in order.
func (c *cluster) stop(name string) {
	r := c.running[name]
	delete(c.running, name)
	r.cancel()
	<-r.ended
}

// crash ends a replica as the loss of power does.
func (c *cluster) crash(name string) {
	c.disks[name].Crash()
	c.network.Crash(name)
	c.stop(name)
}

// others returns the names of the other replicas.
func (c *cluster) others(name string) []string {
	names := slices.Sorted(maps.Keys(c.disks))
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// leader waits until all running replicas name one leader.
func (c *cluster) leader() string {
	for range 400 {
		names := map[string]bool{}
		for _, r := range c.running {
			names[r.Status().Leader] = true
		}
		for name := range names {
			if len(names) == 1 && name != "" && c.running[name] != nil {
				return name
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(c.t, "no leader")
	return ""
}

func (c *cluster) follower() string { return c.others(c.leader())[0] }

// call asks one replica, over a session of its own.
func (c *cluster) call(from, to, method string, ask, reply any) error {
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	session, err := link.Dial(ctx, c.network.Dialer(from), to+":1")
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	return session.Call(ctx, method, ask, reply)
}

func config(number uint64, rate int64) *conf.Config {
	return &conf.Config{Number: number, Workspaces: map[string]conf.Workspace{"w": {Rate: rate, Burst: 1000, Objective: conf.Objective{Share: 0.9}}}}
}

func (c *cluster) submit(to string, config *conf.Config, author string, wait time.Duration) (*plane.SubmitReply, error) {
	reply := &plane.SubmitReply{}
	err := c.call("operator", to, plane.MethodSubmit, &plane.SubmitRequest{Config: config, Author: author, Wait: span.Duration(wait)}, reply)
	return reply, err
}

// client is a daemon's side of a feed.
type client struct {
	c       *cluster
	hello   plane.Hello
	lease   lease.Lease
	roster  roster.Roster
	session *link.Session
	stream  *wire.Stream
	news    chan struct{}
	ended   chan struct{}

	mutex sync.Mutex
	seen
	record *roster.Record
	crash  []plane.Crash
	// deaf makes the client take no configuration.
	deaf bool
}

// seen is what control has told a client.
type seen struct {
	config     *conf.Config
	bans       []plane.Ban
	revision   uint64
	fence      uint64
	superseded bool
	whole      int
}

func (d *client) now() seen {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.seen
}

// set changes what the client does from its next beat on, and beats.
func (d *client) set(change func()) {
	d.mutex.Lock()
	change()
	d.mutex.Unlock()
	d.wake()
}

func (d *client) wake() {
	select {
	case d.news <- struct{}{}:
	default:
	}
}

// connect opens a feed and beats each second, and at once after news.
func (c *cluster) connect(to string, hello plane.Hello) *client {
	d := &client{c: c, hello: hello}
	if hello.Role == plane.RoleAgent {
		d.record = &roster.Record{Agent: hello.Name, Incarnation: hello.Incarnation, ReportSeq: 1, Model: "m", Ready: true}
	}
	require.NoError(c.t, d.join(to))
	return d
}

func (d *client) join(to string) error {
	session, err := link.Dial(d.c.ctx, d.c.network.Dialer(d.hello.Name), to+":1")
	if err != nil {
		return err
	}
	stream, err := session.Open(plane.MethodFeed)
	if err != nil {
		return err
	}
	d.session, d.stream, d.news, d.ended = session, stream, make(chan struct{}, 1), make(chan struct{})
	d.lease.Reset()
	d.hello.Vector, d.hello.ConfigNumber = d.roster.Vector(), d.number()
	if err := stream.Send(&d.hello); err != nil {
		return err
	}
	received, sent := make(chan struct{}), make(chan struct{})
	go d.receive(stream, received)
	go d.beat(stream, d.news, received, sent)
	go func(ended chan struct{}) {
		<-received
		<-sent
		close(ended)
	}(d.ended)
	return nil
}

// rejoin opens a feed anew, as daemons do, until a replica admits it: one that
// knows no leader yet closes it.
func (d *client) rejoin(to string) {
	<-d.ended
	for !d.admitted(to) {
		time.Sleep(100 * time.Millisecond)
	}
}

// admitted joins and reports whether the replica has renewed the lease.
func (d *client) admitted(to string) bool {
	joined := time.Now()
	if d.join(to) != nil {
		return false
	}
	for {
		select {
		case <-d.ended:
			return false
		case <-time.After(10 * time.Millisecond):
		}
		if d.lease.Until().After(joined.Add(lease.Length)) {
			return true
		}
	}
}

// rejoinAll lets clients rejoin at the same time; the returned function waits
// until all have been admitted.
func rejoinAll(clients map[string]*client, to string) (wait func()) {
	var group sync.WaitGroup
	for _, d := range clients {
		group.Go(func() { d.rejoin(to) })
	}
	return group.Wait
}

func (d *client) number() uint64 {
	if config := d.now().config; config != nil {
		return config.Number
	}
	return 0
}

func (d *client) beat(stream *wire.Stream, news, ended, sent chan struct{}) {
	defer close(sent)
	var reported *roster.Record
	for seq := uint64(1); ; seq++ {
		d.lease.Sent(seq)
		d.mutex.Lock()
		beat := &plane.Heartbeat{Seq: seq, BansRevision: d.revision, Crashes: d.crash}
		if d.record != reported {
			beat.Record, reported = d.record, d.record
		}
		d.mutex.Unlock()
		beat.ConfigNumber = d.number()
		if stream.Send(beat) != nil {
			return
		}
		select {
		case <-ended:
			return
		case <-d.c.ctx.Done():
			_ = stream.Close()
			return
		case <-news:
		case <-time.After(time.Second):
		}
	}
}

func (d *client) receive(stream *wire.Stream, ended chan struct{}) {
	defer close(ended)
	for {
		update := &plane.Update{}
		if stream.Receive(update) != nil {
			return
		}
		d.take(update)
	}
}

func (d *client) take(update *plane.Update) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.superseded = d.superseded || update.Superseded
	d.fence = max(d.fence, update.Fence)
	if d.hello.Role == plane.RoleAgent && !d.deaf && update.ConfigNumber > 0 && (d.config == nil || d.config.Number != update.ConfigNumber) {
		d.config = &conf.Config{Number: update.ConfigNumber}
		d.wake()
	}
	if update.Config != nil && !d.deaf {
		next, err := d.config.Apply(update.Config)
		require.NoError(d.c.t, err)
		d.config = next
		d.wake()
	}
	if update.Roster != nil {
		d.roster.Merge(update.Roster)
		if update.Roster.Complete {
			d.whole++
		}
	}
	if update.BansRevision != 0 && update.BansRevision != d.revision {
		d.bans, d.revision = update.Bans, update.BansRevision
	}
	if update.Lease > 0 {
		d.lease.Renew(update.Seq, update.Lease.Std())
	}
}

// leave ends the session without a goodbye.
func (d *client) leave() {
	_ = d.session.Close()
	<-d.ended
}

func entryHello(name string) plane.Hello {
	return plane.Hello{Role: plane.RoleEntry, Name: name, Incarnation: 1}
}

func agentHello(name string, incarnation uint64) plane.Hello {
	return plane.Hello{Role: plane.RoleAgent, Name: name, Incarnation: incarnation}
}
