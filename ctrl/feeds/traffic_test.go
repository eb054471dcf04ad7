package feeds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

var traffic = flag.Bool("traffic", false, "measure the traffic to many daemons")

// load is one measured situation.
type load struct {
	daemons, endpoints int
	// changing is the share of the endpoints whose report changes within a
	// second.
	changing float64
	// full sends the whole roster each second in place of deltas, and the
	// whole configuration in place of its changes.
	full bool
	// configs is the number of configurations in a second.
	configs int
}

// TestTraffic prints the bytes that one daemon receives in a second. Without
// -traffic it runs a small case, in which deltas must win.
func TestTraffic(t *testing.T) {
	loads := []load{{daemons: 4, endpoints: 40, changing: 0.2}}
	if *traffic {
		loads = nil
		for _, daemons := range []int{50, 150, 380} {
			for _, changing := range []float64{0.05, 0.3, 1} {
				loads = append(loads, load{daemons: daemons, endpoints: 600, changing: changing})
			}
			loads = append(loads, load{daemons: daemons, endpoints: 600, configs: 1})
		}
	}
	for _, one := range loads {
		deltas := measure(t, one)
		one.full = true
		full := measure(t, one)
		t.Logf("daemons=%d endpoints=%d changing/s=%.0f%% configurations/s=%d: deltas %d B/s, full %d B/s per daemon",
			one.daemons, one.endpoints, 100*one.changing, one.configs, deltas, full)
		require.True(t, *traffic || deltas < full)
	}
}

// measure returns the bytes that one daemon receives in a second.
func measure(t *testing.T, one load) int64 {
	const seconds = 10
	runtime.GC()
	runtime.GC()
	received := atomic.Int64{}
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := vnet.New()
		f := &Feeds{
			Host: host.Host{Meter: meter.New()}, ReplicaID: func() uint64 { return 1 },
			Machine: &state.Machine{}, Roster: &roster.Roster{}, Barrier: func(context.Context) error { return nil },
		}
		listener, err := network.Listen("control:1")
		require.NoError(t, err)
		go f.Run(ctx)
		go func() { _ = link.Serve(ctx, listener, map[string]link.Handler{plane.MethodFeed: f.Serve}) }()
		source := rand.New(rand.NewPCG(1, 1))
		for i := range one.endpoints {
			f.Roster.Report(1, report(i, 0, source))
		}
		commit(t, f.Machine, 1)
		for i := range one.daemons {
			go follow(ctx, network, fmt.Sprint("entry", i), &received)
		}
		time.Sleep(2 * time.Second)
		received.Store(0)
		for step := range 10 * seconds {
			f.disturb(t, one, step, source)
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		time.Sleep(time.Minute)
	})
	return received.Load() / int64(one.daemons) / seconds
}

// disturb changes what a tenth of a second changes.
func (f *Feeds) disturb(t *testing.T, one load, step int, source *rand.Rand) {
	for i := range one.endpoints {
		if i%10 != step%10 {
			continue
		}
		f.Roster.Touch(1, fmt.Sprintf("worker-%03d", i), 1)
		if source.Float64() < one.changing {
			f.Roster.Report(1, report(i, step+1, source))
		}
	}
	second := step%10 == 0
	if one.configs > 0 && second {
		commit(t, f.Machine, uint64(2+step/10))
	}
	if !one.full {
		f.StateChanged()
		return
	}
	for _, m := range f.all() {
		m.mutex.Lock()
		switch {
		case !second:
			m.vector = f.Roster.Vector()
		case one.configs > 0:
			m.number = 0
		default:
			m.vector = nil
		}
		m.mutex.Unlock()
	}
	if second {
		f.StateChanged()
	}
}

// report is an endpoint with eight adapters.
func report(i, beat int, source *rand.Rand) roster.Record {
	record := roster.Record{
		Agent: fmt.Sprintf("worker-%03d", i), Incarnation: 1, ReportSeq: uint64(beat + 1), Fence: uint64(i + 1),
		Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), DataCentre: "gujarat-1", Model: "base-13b",
		AdapterSlots: 8, RequestSlots: 16, Ready: true, Running: int32(source.IntN(16)), Queued: []int32{1, 0, int32(source.IntN(40))}, TokenMicros: 21_000,
	}
	for slot := range 8 {
		record.ResidentAdapters = append(record.ResidentAdapters, roster.ResidentAdapter{Adapter: fmt.Sprintf("rajkot-%04d", (i*8+slot)%3000), Version: "3"})
	}
	for range record.Running {
		record.Digests = append(record.Digests, make([]byte, 32))
	}
	return record
}

// commit applies configuration number with 3,000 adapters, which differs from
// the one before in one key.
func commit(t *testing.T, machine *state.Machine, number uint64) {
	next := &conf.Config{Number: number, Adapters: map[string]conf.Adapter{}, Keys: map[string]conf.Key{}}
	for i := range 3000 {
		next.Adapters[fmt.Sprintf("rajkot-%04d", i)] = conf.Adapter{Model: "base-13b", Workspace: "rajkot", Versions: []string{"1", "2", "3"}, Current: "3"}
	}
	next.Keys[fmt.Sprintf("%064d", number)] = conf.Key{Workspace: "rajkot"}
	former, _ := machine.Config()
	data, err := codec.Encode(&state.Command{Config: &state.Proposal{Delta: conf.Diff(former, next)}})
	require.NoError(t, err)
	machine.Apply(0, 0, time.Now(), data)
	require.Equal(t, number, machine.Number())
}

// follow is an entry that beats each second and counts what it receives.
func follow(ctx context.Context, network *vnet.Network, name string, received *atomic.Int64) {
	session, err := link.Dial(ctx, network.Dialer(name), "control:1")
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	stream, err := session.Open(plane.MethodFeed)
	if err != nil {
		return
	}
	_ = stream.Send(&plane.Hello{Role: plane.RoleEntry, Name: name, Incarnation: 1})
	go beat(ctx, stream)
	_, _ = io.Copy(counter{received}, stream.Reader())
}

func beat(ctx context.Context, stream *wire.Stream) {
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		// A large number keeps control from sending the configuration again.
		if stream.Send(&plane.Heartbeat{Seq: seq, ConfigNumber: 1 << 40}) != nil {
			return
		}
		pause(ctx, time.Second, nil)
	}
	_ = stream.Close()
}

type counter struct{ sum *atomic.Int64 }

func (c counter) Write(data []byte) (int, error) {
	c.sum.Add(int64(len(data)))
	return len(data), nil
}
