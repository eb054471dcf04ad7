package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/ledger"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

func ask(verb plane.Verb, key, attempt, sum string) *plane.ClaimRequest {
	return &plane.ClaimRequest{
		Verb: verb, Key: []byte(key), Attempt: []byte(attempt), ContentDigest: []byte(sum), Agent: "agent",
		Incarnation: 1, Window: span.Duration(time.Minute), Outcome: &call.Outcome{Status: 200, Body: []byte("filed")},
	}
}

func TestClaimSteps(t *testing.T) {
	type step struct {
		verb         plane.Verb
		attempt, sum string
		want         plane.ClaimState
	}
	claim, done, unknown, void, read := plane.VerbClaim, plane.VerbDone, plane.VerbUnknown, plane.VerbVoid, plane.VerbRead
	cases := map[string][]step{
		"resend of the claim owns it again":     {{claim, "1", "x", plane.ClaimOwned}, {claim, "1", "x", plane.ClaimOwned}, {claim, "2", "x", plane.ClaimTaken}},
		"other content when only asked":         {{claim, "1", "x", plane.ClaimOwned}, {plane.VerbRead, "2", "y", plane.ClaimConflict}, {plane.VerbRead, "2", "x", plane.ClaimTaken}},
		"other content under the key":           {{claim, "1", "x", plane.ClaimOwned}, {claim, "2", "y", plane.ClaimConflict}},
		"done is final":                         {{claim, "1", "x", plane.ClaimOwned}, {done, "1", "", plane.ClaimDone}, {unknown, "1", "", plane.ClaimDone}, {void, "1", "", plane.ClaimDone}, {claim, "2", "x", plane.ClaimDone}},
		"unknown is final":                      {{claim, "1", "x", plane.ClaimOwned}, {unknown, "1", "", plane.ClaimUnknown}, {done, "1", "", plane.ClaimUnknown}, {void, "1", "", plane.ClaimUnknown}, {claim, "2", "x", plane.ClaimUnknown}},
		"void frees the claim":                  {{claim, "1", "x", plane.ClaimOwned}, {void, "1", "", plane.ClaimNone}, {claim, "2", "x", plane.ClaimOwned}},
		"void of another attempt does nothing":  {{claim, "1", "x", plane.ClaimOwned}, {void, "2", "", plane.ClaimTaken}, {read, "", "", plane.ClaimTaken}},
		"late void leaves the successor alone":  {{claim, "1", "x", plane.ClaimOwned}, {void, "1", "", plane.ClaimNone}, {claim, "2", "x", plane.ClaimOwned}, {void, "1", "", plane.ClaimTaken}},
		"outcome without a claim is not stored": {{done, "1", "", plane.ClaimNone}, {claim, "1", "x", plane.ClaimOwned}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			l := &ledger.Ledger{}
			for i, step := range steps {
				require.Equal(t, step.want, l.Apply(ask(step.verb, "key", step.attempt, step.sum), 0).State, "step %d", i)
			}
		})
	}
}

func TestWindowStartsAtTheOutcome(t *testing.T) {
	l := &ledger.Ledger{}
	late := int64(2 * time.Hour)
	l.Apply(ask(plane.VerbClaim, "key", "1", "x"), 0)
	require.Equal(t, plane.ClaimTaken, l.Apply(ask(plane.VerbClaim, "key", "2", "x"), late).State, "an open claim outlives its window")
	l.Apply(ask(plane.VerbDone, "key", "1", ""), late)
	restored := &ledger.Ledger{}
	restored.Restore(l.Snapshot())
	for _, table := range []*ledger.Ledger{l, restored} {
		reply := table.Apply(ask(plane.VerbClaim, "key", "2", "x"), late+int64(time.Minute)-1)
		require.Equal(t, plane.ClaimDone, reply.State)
		require.Equal(t, "filed", string(reply.Outcome.Body))
		require.Equal(t, plane.ClaimOwned, table.Apply(ask(plane.VerbClaim, "key", "2", "x"), late+int64(time.Minute)).State)
	}
}

func TestFullLedgerRefusesNewClaimsAndForgetsNone(t *testing.T) {
	l := &ledger.Ledger{MaxClaims: 3, MaxBytes: 8 << 10}
	for i := range 3 {
		require.Equal(t, plane.ClaimOwned, l.Apply(owned(fmt.Sprint(i), fmt.Sprint(i)), 0).State)
	}
	require.Equal(t, plane.KindFull, l.Apply(owned("new", "new"), 0).Refused)
	big := ask(plane.VerbDone, "0", "1", "")
	big.Outcome.Body = make([]byte, 16<<10)
	reply := l.Apply(big, 0)
	require.True(t, reply.Outcome.Truncated, "an outcome that finds no room keeps status and digest")
	require.Len(t, reply.Outcome.BodyDigest, 32)
	for i := range 3 {
		require.NotEqual(t, plane.ClaimNone, l.Apply(ask(plane.VerbRead, fmt.Sprint(i), "", ""), 0).State)
	}
	l.Expire(int64(25 * time.Hour))
	claims, bytes := l.Size()
	require.Zero(t, claims)
	require.Zero(t, bytes)
}

func owned(key, workspace string) *plane.ClaimRequest {
	claim := ask(plane.VerbClaim, key, "1", "x")
	claim.Workspace = workspace
	return claim
}

func TestOneWorkspaceCannotFillTheLedger(t *testing.T) {
	l := &ledger.Ledger{MaxClaims: 4}
	restored := &ledger.Ledger{MaxClaims: 4}
	for _, key := range []string{"1", "2"} {
		require.Equal(t, plane.ClaimOwned, l.Apply(owned(key, "greedy"), 0).State)
	}
	restored.Restore(l.Snapshot())
	for _, table := range []*ledger.Ledger{l, restored} {
		require.Equal(t, plane.KindFull, table.Apply(owned("3", "greedy"), 0).Refused)
		require.Equal(t, plane.ClaimOwned, table.Apply(owned("4", "other"), 0).State)
		table.Apply(ask(plane.VerbVoid, "1", "1", ""), 0)
		require.Equal(t, plane.ClaimOwned, table.Apply(owned("3", "greedy"), 0).State)
	}
}

// BenchmarkClaim reports the memory that one claim takes on the heap, beside
// the ledger's own count of it.
func BenchmarkClaim(b *testing.B) {
	for _, body := range []int{0, 1 << 10} {
		b.Run(fmt.Sprintf("answer=%dB", body), func(b *testing.B) {
			const claims = 100_000
			for b.Loop() {
				measureClaims(b, claims, body)
			}
		})
	}
}

func measureClaims(b *testing.B, claims, body int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := &ledger.Ledger{}
	for i := range claims {
		key := fmt.Sprintf("%032d", i)
		claim := ask(plane.VerbClaim, key, key[16:], key)
		claim.Workspace = fmt.Sprint(i % 4)
		l.Apply(claim, 0)
		end := ask(plane.VerbDone, key, key[16:], "")
		end.Outcome.Body = make([]byte, body)
		l.Apply(end, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	_, counted := l.Size()
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(claims), "heap-B/claim")
	b.ReportMetric(float64(counted)/float64(claims), "counted-B/claim")
}
