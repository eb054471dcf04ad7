package bans_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/bans"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

func newCrash(agent string, count uint64, digests ...string) *plane.Crash {
	crash := &plane.Crash{Source: agent, Incarnation: 1, Count: count}
	for _, digest := range digests {
		crash.Digests = append(crash.Digests, []byte(digest))
	}
	return crash
}

func describe(b *bans.Bans) []string {
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

func TestCrashesLeadToQuarantine(t *testing.T) {
	cases := map[string]struct {
		crashes []*plane.Crash
		want    []string
	}{
		"one crash makes suspects":          {[]*plane.Crash{newCrash("a", 1, "x", "y")}, []string{"x suspect 2m0s", "y suspect 2m0s"}},
		"a repeated report counts once":     {[]*plane.Crash{newCrash("a", 1, "x"), newCrash("a", 1, "x")}, []string{"x suspect 2m0s"}},
		"second crash with one suspect":     {[]*plane.Crash{newCrash("a", 1, "x", "y"), newCrash("b", 1, "x")}, []string{"x banned 30m0s", "y suspect 2m0s"}},
		"second crash with new requests":    {[]*plane.Crash{newCrash("a", 1, "x", "y"), newCrash("b", 1, "x", "z")}, []string{"x banned 30m0s", "y suspect 2m0s", "z suspect 2m0s"}},
		"two suspects share a second crash": {[]*plane.Crash{newCrash("a", 1, "x", "y"), newCrash("b", 1, "x", "y")}, []string{"x banned 5m0s", "y banned 5m0s"}},
		"same endpoint crashes again":       {[]*plane.Crash{newCrash("a", 1, "x"), newCrash("a", 2, "x")}, []string{"x banned 30m0s"}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			b := &bans.Bans{}
			for _, crash := range one.crashes {
				b.Apply(crash, 0)
			}
			require.Equal(t, one.want, describe(b))
			restored := &bans.Bans{}
			restored.Restore(b.Snapshot())
			require.Equal(t, one.want, describe(restored))
			require.Equal(t, b.Revision(), restored.Revision())
		})
	}
}

func TestClearedSuspectsAndExpiryOfBans(t *testing.T) {
	b := &bans.Bans{}
	b.Apply(newCrash("a", 1, "x", "y"), 0)
	require.True(t, b.ClearSuspect([]byte("y")), "completed on another endpoint")
	b.Apply(newCrash("b", 1, "x", "y"), 0)
	require.Equal(t, []string{"x banned 30m0s", "y suspect 2m0s"}, describe(b), "a cleared suspect starts from zero crashes")
	require.False(t, b.ClearSuspect([]byte("x")), "a quarantine is not ended by a completed run")
	revision := b.Revision()
	b.Expire(int64(2 * time.Minute))
	require.Equal(t, []string{"x banned 30m0s"}, describe(b))
	require.Greater(t, b.Revision(), revision)
	require.True(t, b.Lift([]byte("x")))
	require.False(t, b.Lift([]byte("x")))
}

func TestBansAreBounded(t *testing.T) {
	b := &bans.Bans{}
	b.Apply(newCrash("a", 1, "x"), 0)
	b.Apply(newCrash("b", 1, "x"), 0)
	for i := range 4200 {
		b.Apply(newCrash("c", uint64(i), fmt.Sprintf("%04d", i)), int64(i))
	}
	list := b.List(0)
	require.Len(t, list, 4096)
	require.Equal(t, "x", string(list[len(list)-1].Digest), "suspects are evicted before quarantined requests")
}
