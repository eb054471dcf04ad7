package node_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

var verbose = flag.Bool("events", false, "print the replicas' events")

// group is a control group in one synctest bubble.
type group struct {
	t       *testing.T
	seed    uint64
	network *vnet.Network
	peers   []node.Peer
	disks   map[string]*disk.Memory
	// mutex guards replicas in tests that use them from several goroutines.
	mutex    sync.Mutex
	replicas map[string]*replica
	// addresses holds the addresses that differ from the replica's name with port
	// 1.
	addresses map[string]string
	// latency is the one-way latency between any two replicas, in nanoseconds.
	latency atomic.Int64
	// sent counts the bytes on all connections.
	sent atomic.Int64
	// wiped counts the wiped disks.
	wiped int
	// snapshotEntries is the number of entries between snapshots.
	snapshotEntries uint64
	// voters opens the group to any replica, up to this number of voters;
	// noBootstrap holds the replicas that join a group which already exists.
	voters      int
	noBootstrap map[string]bool
	// events gets the replicas' events, if set.
	events io.Writer
}

// eventBuffer holds the events of several replicas.
type eventBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (b *eventBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(line)
}

func (b *eventBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// replica is one run of a node, with a map of strings as its state.
type replica struct {
	*node.Node
	name  string
	mutex sync.Mutex
	state map[string]string
	// appendedBy holds Entry.AppendedBy of the applied entries, by index.
	appendedBy map[uint64]time.Time
	cancel     context.CancelFunc
	ended      chan struct{}
	err        error
	crashed    atomic.Bool
}

func inBubble(t *testing.T, seed uint64, size int, test func(g *group)) {
	bubble.Test(t, func(t *testing.T) {
		g := &group{
			t: t, seed: seed, network: vnet.New(),
			disks: map[string]*disk.Memory{}, replicas: map[string]*replica{},
		}
		g.latency.Store(int64(2 * time.Millisecond))
		g.network.Latency = func(string, string) time.Duration { return time.Duration(g.latency.Load()) }
		for i := range size {
			name := fmt.Sprintf("c%d", i+1)
			g.peers = append(g.peers, node.Peer{Name: name, Address: name + ":1"})
			g.disks[name] = &disk.Memory{}
		}
		for _, peer := range g.peers {
			g.start(peer.Name)
		}
		defer func() {
			for name := range maps.Clone(g.replicas) {
				g.stop(name)
			}
			time.Sleep(5 * time.Minute)
		}()
		test(g)
	})
}

func (g *group) start(name string) *replica {
	g.seed++
	address := name + ":1"
	if moved := g.addresses[name]; moved != "" {
		address = moved
	}
	r := &replica{name: name, state: map[string]string{}, appendedBy: map[uint64]time.Time{}, ended: make(chan struct{})}
	var log event.Log
	if *verbose {
		log = event.New(os.Stderr, name)
	}
	if g.events != nil {
		log = event.New(g.events, name)
	}
	r.Node = &node.Node{
		Host: host.Host{
			VM: name, Meter: meter.New(), Log: log,
			Dial: vnet.CountBytes(&g.sent, r.dial(g.network.Dialer(name))), Listen: g.network.Listen,
		},
		Name: name, Address: address, Peers: g.peers,
		Disk: g.disks[name].Disk(), Seed: g.seed, SnapshotEntries: g.snapshotEntries,
		Voters: g.voters, FirstVoters: g.voters, NoBootstrap: g.noBootstrap[name],
		Apply: r.apply, Snapshot: r.snapshot, Restore: r.restore,
	}
	if g.voters > 0 {
		r.ReplaceAfter = openReplaceAfter
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	listener, err := g.network.Listen(address)
	require.NoError(g.t, err)
	serveCtx, endServing := context.WithCancel(context.Background())
	go func() { _ = link.Serve(serveCtx, listener, r.Handlers()) }()
	go func() {
		r.err = r.Run(ctx)
		endServing()
		close(r.ended)
	}()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.replicas[name] = r
	return r
}

func (g *group) removeReplica(name string) *replica {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r := g.replicas[name]
	delete(g.replicas, name)
	return r
}

// stop shuts a replica down gracefully.
func (g *group) stop(name string) {
	r := g.removeReplica(name)
	r.cancel()
	<-r.ended
}

// crash stops a replica as a power loss would: nothing more reaches its disk or the
// network.
func (g *group) crash(name string) { g.end(name, g.disks[name].Crash) }

// kill stops a replica as the end of its process would: what it wrote without a sync
// can be read until the next crash.
func (g *group) kill(name string) { g.end(name, g.disks[name].Kill) }

func (g *group) end(name string, endDisk func()) {
	r := g.removeReplica(name)
	r.crashed.Store(true)
	endDisk()
	g.network.Crash(name)
	r.cancel()
}

func (r *replica) dial(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if r.crashed.Load() {
			return nil, net.ErrClosed
		}
		return dial(ctx, address)
	}
}

func (r *replica) apply(e node.Entry) []byte {
	key, value, _ := strings.Cut(string(e.Data), "=")
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state[key] = value
	r.appendedBy[e.Index] = e.AppendedBy
	return fmt.Appendf(nil, "%d", len(r.state))
}

func (r *replica) snapshot() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return json.Marshal(r.state)
}

func (r *replica) restore(data []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state = map[string]string{}
	return json.Unmarshal(data, &r.state)
}

func (r *replica) get(key string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state[key]
}

// leader waits until a replica leads.
func (g *group) leader() *replica {
	for range 2000 {
		for _, r := range g.replicas {
			if r.Status().Leading {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatal("no leader within 20 s")
	return nil
}

// put proposes a value until some replica acknowledges it.
func (g *group) put(key, value string) {
	for range 300 {
		for _, name := range sorted(g.replicas) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			_, err := g.replicas[name].Propose(ctx, []byte(key+"="+value))
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatalf("%s=%s was never acknowledged", key, value)
}

// read returns a key's value at a replica after a barrier.
func (g *group) read(name, key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := g.replicas[name].Barrier(ctx)
	require.NoError(g.t, err, name)
	return g.replicas[name].get(key)
}

func sorted(replicas map[string]*replica) []string {
	var names []string
	for i := range 20 {
		name := fmt.Sprintf("c%d", i+1)
		if replicas[name] != nil {
			names = append(names, name)
		}
	}
	return names
}
