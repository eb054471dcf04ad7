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

// cluster is a control group of three replicas with a virtual network and in-memory disks, in one
// synctest bubble.
type cluster struct {
	t       *testing.T
	network *vnet.Network
	peers   []daemon.Peer
	disks   map[string]*disk.Memory
	running map[string]*runningReplica
	seed    uint64
	ctx     context.Context
}

type runningReplica struct {
	*daemon.Daemon
	cancel context.CancelFunc
	ended  chan struct{}
}

func withCluster(t *testing.T, seed uint64, run func(c *cluster)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, network: vnet.New(), disks: map[string]*disk.Memory{}, running: map[string]*runningReplica{}, seed: seed * 1000, ctx: ctx}
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
	r := &runningReplica{Daemon: d, cancel: cancel, ended: make(chan struct{})}
	c.running[name] = r
	go func() {
		defer close(r.ended)
		_ = d.Run(ctx)
	}()
}

// stop shuts a replica down gracefully.
func (c *cluster) stop(name string) {
	r := c.running[name]
	delete(c.running, name)
	r.cancel()
	<-r.ended
}

// crash stops a replica as a power failure does: its disk and network fail first.
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

// leader waits until all running replicas agree on one leader.
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

// call sends one request to a replica, over a separate session.
func (c *cluster) call(from, to, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	session, err := link.Dial(ctx, c.network.Dialer(from), to+":1")
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	return session.Call(ctx, method, request, reply)
}

func config(number uint64, rate int64) *conf.Config {
	return &conf.Config{Number: number, Workspaces: map[string]conf.Workspace{"w": {Rate: rate, Burst: 1000, Objective: conf.Objective{Share: 0.9}}}}
}

func (c *cluster) submit(to string, config *conf.Config, author string, wait time.Duration) (*plane.SubmitReply, error) {
	reply := &plane.SubmitReply{}
	err := c.call("operator", to, plane.MethodSubmit, &plane.SubmitRequest{Config: config, Author: author, Wait: span.Duration(wait)}, reply)
	return reply, err
}

// client is the daemon's end of a feed: it sends heartbeats and applies updates.
type client struct {
	c       *cluster
	hello   plane.Hello
	lease   lease.Lease
	roster  roster.Roster
	session *link.Session
	stream  *wire.Stream
	wakeup  chan struct{}
	ended   chan struct{}

	mutex sync.Mutex
	received
	record  *roster.Record
	crashes []plane.Crash
	// ignoresConfig makes the client apply no configuration.
	ignoresConfig bool
}

// received is the state that a client has received from control.
type received struct {
	config          *conf.Config
	bans            []plane.Ban
	revision        uint64
	fencingNumber   uint64
	superseded      bool
	completeRosters int
}

func (d *client) snapshot() received {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.received
}

// update changes the client's state and sends a heartbeat that reports it.
func (d *client) update(change func()) {
	d.mutex.Lock()
	change()
	d.mutex.Unlock()
	d.heartbeatNow()
}

func (d *client) heartbeatNow() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// connect opens a feed whose client sends a heartbeat each second and after each change.
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
	d.session, d.stream, d.wakeup, d.ended = session, stream, make(chan struct{}, 1), make(chan struct{})
	d.lease.Reset()
	d.hello.Vector, d.hello.ConfigNumber = d.roster.Vector(), d.configNumber()
	if err := stream.Send(&d.hello); err != nil {
		return err
	}
	received, sent := make(chan struct{}), make(chan struct{})
	go d.receiveUpdates(stream, received)
	go d.sendHeartbeats(stream, d.wakeup, received, sent)
	go func(ended chan struct{}) {
		<-received
		<-sent
		close(ended)
	}(d.ended)
	return nil
}

// rejoin opens feeds, as daemons do, until the replica admits one. A replica that does not know
// the leader yet closes the feed.
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

// rejoinAll starts to rejoin all clients concurrently; the returned function waits until all have
// been admitted.
func rejoinAll(clients map[string]*client, to string) (wait func()) {
	var group sync.WaitGroup
	for _, d := range clients {
		group.Go(func() { d.rejoin(to) })
	}
	return group.Wait
}

func (d *client) configNumber() uint64 {
	if config := d.snapshot().config; config != nil {
		return config.Number
	}
	return 0
}

func (d *client) sendHeartbeats(stream *wire.Stream, wakeup, ended, sent chan struct{}) {
	defer close(sent)
	var reported *roster.Record
	for seq := uint64(1); ; seq++ {
		d.lease.Sent(seq)
		d.mutex.Lock()
		heartbeat := &plane.Heartbeat{Seq: seq, BansRevision: d.revision, Crashes: d.crashes}
		if d.record != reported {
			heartbeat.Record, reported = d.record, d.record
		}
		d.mutex.Unlock()
		heartbeat.ConfigNumber = d.configNumber()
		if stream.Send(heartbeat) != nil {
			return
		}
		select {
		case <-ended:
			return
		case <-d.c.ctx.Done():
			_ = stream.Close()
			return
		case <-wakeup:
		case <-time.After(time.Second):
		}
	}
}

func (d *client) receiveUpdates(stream *wire.Stream, ended chan struct{}) {
	defer close(ended)
	for {
		update := &plane.Update{}
		if stream.Receive(update) != nil {
			return
		}
		d.apply(update)
	}
}

func (d *client) apply(update *plane.Update) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.superseded = d.superseded || update.Superseded
	d.fencingNumber = max(d.fencingNumber, update.Fence)
	if d.hello.Role == plane.RoleAgent && !d.ignoresConfig && update.ConfigNumber > 0 && (d.config == nil || d.config.Number != update.ConfigNumber) {
		d.config = &conf.Config{Number: update.ConfigNumber}
		d.heartbeatNow()
	}
	if update.Config != nil && !d.ignoresConfig {
		next, err := d.config.Apply(update.Config)
		require.NoError(d.c.t, err)
		d.config = next
		d.heartbeatNow()
	}
	if update.Roster != nil {
		d.roster.Merge(update.Roster)
		if update.Roster.Complete {
			d.completeRosters++
		}
	}
	if update.BansRevision != 0 && update.BansRevision != d.revision {
		d.bans, d.revision = update.Bans, update.BansRevision
	}
	if update.Lease > 0 {
		d.lease.Renew(update.Seq, update.Lease.Std())
	}
}

// disconnect ends the session without reporting a departure.
func (d *client) disconnect() {
	_ = d.session.Close()
	<-d.ended
}

func entryHello(name string) plane.Hello {
	return plane.Hello{Role: plane.RoleEntry, Name: name, Incarnation: 1}
}

func agentHello(name string, incarnation uint64) plane.Hello {
	return plane.Hello{Role: plane.RoleAgent, Name: name, Incarnation: incarnation}
}
