package locate_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/locate"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

func list(index uint64, addresses ...string) plane.ReplicaList {
	return plane.ReplicaList{Addresses: addresses, Index: index}
}

// An outdated control process must not bring back replicas that have been replaced.
func TestNewerListReplacesOlderOne(t *testing.T) {
	var d locate.Directory
	changed := d.Changed()
	require.True(t, d.Learn(list(5, "a:1", "b:1")))
	<-changed
	require.False(t, d.Learn(list(4, "c:1")))
	require.False(t, d.Learn(plane.ReplicaList{}))
	require.Equal(t, list(5, "a:1", "b:1"), d.Known())
	own := list(7, "d:1")
	d.SetReplica(func() plane.ReplicaList { return own })
	require.Equal(t, own, d.Known())
	own = list(6, "e:1")
	require.Equal(t, list(7, "d:1"), d.Known())
	own = list(9, "f:1")
	d.SetReplica(nil)
	require.Equal(t, own, d.Known(), "the last list of a closed replica stays known")
}

// Of two processes that exchange their lists, both have the newer one afterwards.
func TestExchangeTellsBothSides(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		var far locate.Directory
		serves := false
		listener, err := network.Listen("far:1")
		require.NoError(t, err)
		go func() {
			_ = link.Serve(ctx, listener, map[string]link.Handler{plane.MethodLocate: far.Serve(func() bool { return serves })})
		}()
		session, err := link.Dial(ctx, network.Dialer("near"), "far:1")
		require.NoError(t, err)
		var near locate.Directory
		near.Learn(list(3, "a:1"))
		told, err := near.Exchange(ctx, session)
		require.NoError(t, err)
		require.False(t, told)
		require.Equal(t, list(3, "a:1"), far.Known())
		far.Learn(list(8, "b:1"))
		serves = true
		told, err = near.Exchange(ctx, session)
		require.NoError(t, err)
		require.True(t, told)
		require.Equal(t, list(8, "b:1"), near.Known())
		_ = session.Close()
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestInvalidListsAreRefused(t *testing.T) {
	for name, invalid := range map[string]plane.ReplicaList{
		"no index":     list(0, "a:1"),
		"no port":      list(1, "a"),
		"long address": list(1, string(make([]byte, 100))+":1"),
		"many":         list(1, make([]string, 33)...),
	} {
		data, err := codec.Encode(&plane.LocateReply{Known: invalid})
		require.NoError(t, err)
		require.Error(t, codec.Decode(data, &plane.LocateReply{}), name)
	}
}
