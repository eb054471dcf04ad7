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
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

var traffic = flag.Bool("traffic", false, "measure the traffic to many daemons")

// scenario is one combination of fleet size and rate of change to measure.
type scenario struct {
	daemons, endpoints int
	// changing is the share of the endpoints whose report changes within a
	// second.
	changing float64
	// full sends the complete roster each second instead of deltas, and the
	// complete configuration instead of its changes.
	full bool
	// configs is the number of new configurations per second.
	configs int
}

// TestTraffic prints the bytes that one daemon receives per second. Without -traffic it
// runs a small scenario, in which deltas must be smaller than full updates.
func TestTraffic(t *testing.T) {
	scenarios := []scenario{{daemons: 4, endpoints: 40, changing: 0.2}}
	if *traffic {
		scenarios = nil
		for _, daemons := range []int{50, 150, 380} {
			for _, changing := range []float64{0.05, 0.3, 1} {
				scenarios = append(scenarios, scenario{daemons: daemons, endpoints: 600, changing: changing})
			}
			scenarios = append(scenarios, scenario{daemons: daemons, endpoints: 600, configs: 1})
		}
	}
	for _, one := range scenarios {
		deltas := measure(t, one)
		one.full = true
		full := measure(t, one)
		t.Logf("daemons=%d endpoints=%d changing/s=%.0f%% configurations/s=%d: deltas %d B/s, full %d B/s per daemon",
			one.daemons, one.endpoints, 100*one.changing, one.configs, deltas, full)
		require.True(t, *traffic || deltas < full)
	}
}

// measure returns the bytes that one daemon receives per second.
func measure(t *testing.T, one scenario) int64 {
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
			go runEntry(ctx, network, fmt.Sprint("entry", i), &received)
		}
		time.Sleep(2 * time.Second)
		received.Store(0)
		for step := range 10 * seconds {
			f.applyChanges(t, one, step, source)
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		time.Sleep(time.Minute)
	})
	return received.Load() / int64(one.daemons) / seconds
}

// applyChanges makes the changes of one step of a tenth of a second.
func (f *Feeds) applyChanges(t *testing.T, one scenario, step int, source *rand.Rand) {
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
	for _, c := range f.allClients() {
		c.mutex.Lock()
		switch {
		case !second:
			c.sentVector = f.Roster.Vector()
		case one.configs > 0:
			c.sentConfig = 0
		default:
			c.sentVector = nil
		}
		c.mutex.Unlock()
	}
	if second {
		f.StateChanged()
	}
}

// report returns the record of an endpoint with eight adapters.
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

// commit applies a configuration with the given number and 3,000 adapters, which
// differs from the previous one in one key.
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

// runEntry connects as an entry, sends a heartbeat each second and counts the bytes that
// it receives.
func runEntry(ctx context.Context, network *vnet.Network, name string, received *atomic.Int64) {
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
	go sendHeartbeats(ctx, stream)
	_, _ = io.Copy(byteCounter{received}, stream.Reader())
}

func sendHeartbeats(ctx context.Context, stream *wire.Stream) {
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		// The large number prevents control from resending the configuration.
		if stream.Send(&plane.Heartbeat{Seq: seq, ConfigNumber: 1 << 40}) != nil {
			return
		}
		pause.Until(ctx, time.Second, nil)
	}
	_ = stream.Close()
}

type byteCounter struct{ sum *atomic.Int64 }

func (c byteCounter) Write(data []byte) (int, error) {
	c.sum.Add(int64(len(data)))
	return len(data), nil
}
