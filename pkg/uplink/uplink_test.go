package uplink_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/locate"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// replicaHandlers returns handlers that respond with the replica's number.
func replicaHandlers(number uint64) map[string]link.Handler {
	return map[string]link.Handler{"who": func(_ context.Context, stream *wire.Stream) error {
		if err := stream.Receive(&call.Probe{}); err != nil {
			return err
		}
		return stream.Send(&call.ProbeReply{Incarnation: number})
	}}
}

// When its replica stops responding, the uplink moves to another one.
func TestUplinkLeavesUnresponsiveReplica(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		for number, address := range []string{"c0:1", "c1:1"} {
			listener, err := network.Listen(address)
			require.NoError(t, err)
			go func() { _ = link.Serve(ctx, listener, replicaHandlers(uint64(number))) }()
		}
		up := &uplink.Uplink{Host: host.Host{Dial: network.Dialer("e")}, Replicas: []string{"c0:1", "c1:1"}}
		go up.Run(ctx)

		var reply call.ProbeReply
		require.NoError(t, up.Call(ctx, "who", &call.Probe{}, &reply))
		require.Equal(t, uint64(0), reply.Incarnation)

		network.Isolate("e", "c0")
		start := time.Now()
		require.Eventually(t, func() bool {
			attempt, end := context.WithTimeout(ctx, 200*time.Millisecond)
			defer end()
			err := up.Call(attempt, "who", &call.Probe{}, &reply)
			return err == nil && reply.Incarnation == 1
		}, time.Minute, 100*time.Millisecond)
		require.Less(t, time.Since(start), link.PingInterval+link.PingTimeout+2*time.Second)
		cancel()
		time.Sleep(time.Minute)
	})
}

// The uplink uses the addresses received from control, and rereads the
// configured ones when no known replica can be reached.
func TestUplinkUsesUpdatedReplicas(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		serve := func(address string, number uint64) context.CancelFunc {
			serving, stop := context.WithCancel(ctx)
			listener, err := network.Listen(address)
			require.NoError(t, err)
			go func() { _ = link.Serve(serving, listener, replicaHandlers(number)) }()
			return stop
		}
		stopFirst, stopSecond := serve("c1:1", 1), serve("c2:1", 2)
		up := &uplink.Uplink{
			Host: host.Host{Dial: network.Dialer("e")}, Replicas: []string{"c1:1"},
			Refresh: func() []string { return []string{"c3:1"} },
		}
		go up.Run(ctx)
		replicaNumber := func() uint64 {
			callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			reply := &call.ProbeReply{}
			require.NoError(t, up.Call(callCtx, "who", &call.Probe{ID: make([]byte, call.IDSize)}, reply))
			return reply.Incarnation
		}
		require.EqualValues(t, 1, replicaNumber())
		up.UpdateReplicas(plane.ReplicaList{Addresses: []string{"c2:1"}})
		stopFirst()
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 2, replicaNumber())
		serve("c3:1", 3)
		stopSecond()
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 3, replicaNumber())
		cancel()
		time.Sleep(time.Minute)
	})
}

// A replica whose VM is powered off does not respond at all: the uplink tries the
// next one in parallel, long before the first attempt times out.
func TestUplinkDoesNotWaitForPoweredOffVM(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		for number, address := range []string{"c0:1", "c1:1", "c2:1"} {
			listener, err := network.Listen(address)
			require.NoError(t, err)
			go func() { _ = link.Serve(ctx, listener, replicaHandlers(uint64(number))) }()
		}
		network.Isolate("e", "c0")
		network.Isolate("e", "c1")
		up := &uplink.Uplink{Host: host.Host{Dial: network.Dialer("e")}, Replicas: []string{"c0:1", "c1:1", "c2:1"}}
		start := time.Now()
		go up.Run(ctx)
		var reply call.ProbeReply
		require.NoError(t, up.Call(ctx, "who", &call.Probe{}, &reply))
		require.EqualValues(t, 2, reply.Incarnation)
		require.Less(t, time.Since(start), 600*time.Millisecond)
		cancel()
		time.Sleep(time.Minute)
	})
}

// serveLocate serves a control process without a replica, which knows the given ones.
func serveLocate(ctx context.Context, t *testing.T, network *vnet.Network, address string, known plane.ReplicaList) *locate.Directory {
	directory := &locate.Directory{}
	directory.Learn(known)
	listener, err := network.Listen(address)
	require.NoError(t, err)
	go func() {
		_ = link.Serve(ctx, listener, map[string]link.Handler{plane.MethodLocate: directory.Serve(nil)})
	}()
	return directory
}

// A daemon whose seeds run no replica goes to the replicas that one of them knows, and tells the
// next process without a replica of them.
func TestUplinkIsRedirectedToReplicas(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		unaware := serveLocate(ctx, t, network, "b0:1", plane.ReplicaList{})
		serveLocate(ctx, t, network, "b1:1", plane.ReplicaList{Addresses: []string{"c1:1"}, Index: 7})
		listener, err := network.Listen("c1:1")
		require.NoError(t, err)
		serving, stopReplica := context.WithCancel(ctx)
		go func() { _ = link.Serve(serving, listener, replicaHandlers(1)) }()
		up := &uplink.Uplink{Host: host.Host{Dial: network.Dialer("e")}, Replicas: []string{"b0:1", "b1:1"}}
		start := time.Now()
		go up.Run(ctx)
		var reply call.ProbeReply
		require.NoError(t, up.Call(ctx, "who", &call.Probe{}, &reply))
		require.EqualValues(t, 1, reply.Incarnation)
		require.Less(t, time.Since(start), time.Second)
		require.Equal(t, "c1:1", up.LastAddress())
		stopReplica()
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"c1:1"}, unaware.Known().Addresses)
		cancel()
		time.Sleep(time.Minute)
	})
}

// A replica whose process stands still accepts connections, since the kernel does.
func TestUplinkLeavesReplicaThatAcceptsAndNeverAnswers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		_, err := network.Listen("c0:1")
		require.NoError(t, err)
		listener, err := network.Listen("c1:1")
		require.NoError(t, err)
		go func() { _ = link.Serve(ctx, listener, replicaHandlers(1)) }()
		up := &uplink.Uplink{Host: host.Host{Dial: network.Dialer("e")}, Replicas: []string{"c0:1", "c1:1"}}
		start := time.Now()
		go up.Run(ctx)
		var reply call.ProbeReply
		require.NoError(t, up.Call(ctx, "who", &call.Probe{}, &reply))
		require.EqualValues(t, 1, reply.Incarnation)
		require.Less(t, time.Since(start), 600*time.Millisecond)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Replicas that accept sessions and end them at once, such as those that are stopping, must not be
// dialled ten times a second by each daemon, without end.
func TestUplinkBacksOffFromSessionsThatEndAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		accepted := 0
		for _, address := range []string{"c0:1", "c1:1", "c2:1"} {
			listener, err := network.Listen(address)
			require.NoError(t, err)
			go func() { _ = link.Serve(ctx, listener, replicaHandlers(1)) }()
		}
		up := &uplink.Uplink{Host: host.Host{Dial: network.Dialer("e")}, Replicas: []string{"c0:1", "c1:1", "c2:1"}}
		go up.Run(ctx)
		leave := time.NewTicker(10 * time.Millisecond)
		defer leave.Stop()
		start, last := time.Now(), ""
		for time.Since(start) < time.Minute {
			<-leave.C
			if address := up.LastAddress(); address != last {
				accepted++
				last = address
			}
			up.SwitchReplica()
		}
		require.LessOrEqual(t, accepted, 125, "at most one session each half second, after the first ones")
		require.GreaterOrEqual(t, accepted, 50)

		time.Sleep(3 * time.Second)
		began := time.Now()
		up.SwitchReplica()
		var reply call.ProbeReply
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, up.Call(ctx, "who", &call.Probe{}, &reply))
		require.Less(t, time.Since(began), 100*time.Millisecond, "the first loss after a stable session is followed by a new one at once")
		cancel()
		time.Sleep(time.Minute)
	})
}
