package bans_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/bans"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

func death(agent string, count uint64, digests ...string) *plane.Crash {
	crash := &plane.Crash{Agent: agent, Incarnation: 1, Count: count}
	for _, digest := range digests {
		crash.Digests = append(crash.Digests, []byte(digest))
	}
	return crash
}

func shown(b *bans.Bans) []string {
	list := []string{}
	for _, ban := range b.List(0) {
		kind := "banned"
		if ban.Suspect {
			kind = "suspect"
		}
		list = append(list, fmt.Sprintf("%s %s %s", ban.Digest, kind, time.Duration(ban.UntilNanos)))
	}
	return list
}

func TestDeathsLeadToQuarantine(t *testing.T) {
	cases := map[string]struct {
		deaths []*plane.Crash
		want   []string
	}{
		"one death makes suspects":             {[]*plane.Crash{death("a", 1, "x", "y")}, []string{"x suspect 2m0s", "y suspect 2m0s"}},
		"the same death twice counts once":     {[]*plane.Crash{death("a", 1, "x"), death("a", 1, "x")}, []string{"x suspect 2m0s"}},
		"second death alone: no third":         {[]*plane.Crash{death("a", 1, "x", "y"), death("b", 1, "x")}, []string{"x banned 30m0s", "y suspect 2m0s"}},
		"second death beside new requests":     {[]*plane.Crash{death("a", 1, "x", "y"), death("b", 1, "x", "z")}, []string{"x banned 30m0s", "y suspect 2m0s", "z suspect 2m0s"}},
		"two suspects together: both, shorter": {[]*plane.Crash{death("a", 1, "x", "y"), death("b", 1, "x", "y")}, []string{"x banned 5m0s", "y banned 5m0s"}},
		"an endpoint that dies again":          {[]*plane.Crash{death("a", 1, "x"), death("a", 2, "x")}, []string{"x banned 30m0s"}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			b := &bans.Bans{}
			for _, crash := range one.deaths {
				b.Apply(crash, 0)
			}
			require.Equal(t, one.want, shown(b))
			restored := &bans.Bans{}
			restored.Restore(b.Snapshot())
			require.Equal(t, one.want, shown(restored))
			require.Equal(t, b.Revision(), restored.Revision())
		})
	}
}

func TestBystanderIsClearedAndBansEnd(t *testing.T) {
	b := &bans.Bans{}
	b.Apply(death("a", 1, "x", "y"), 0)
	require.True(t, b.ClearSuspect([]byte("y")), "ended well elsewhere")
	b.Apply(death("b", 1, "x", "y"), 0)
	require.Equal(t, []string{"x banned 30m0s", "y suspect 2m0s"}, shown(b), "a cleared bystander starts anew")
	require.False(t, b.ClearSuspect([]byte("x")), "a quarantine is not cleared by an answer")
	revision := b.Revision()
	b.Expire(int64(2 * time.Minute))
	require.Equal(t, []string{"x banned 30m0s"}, shown(b))
	require.Greater(t, b.Revision(), revision)
	require.True(t, b.Lift([]byte("x")))
	require.False(t, b.Lift([]byte("x")))
}

func TestBansAreBounded(t *testing.T) {
	b := &bans.Bans{}
	b.Apply(death("a", 1, "x"), 0)
	b.Apply(death("b", 1, "x"), 0)
	for i := range 4200 {
		b.Apply(death("c", uint64(i), fmt.Sprintf("%04d", i)), int64(i))
	}
	list := b.List(0)
	require.Len(t, list, 4096)
	require.Equal(t, "x", string(list[len(list)-1].Digest), "a quarantine outlasts suspects")
}
