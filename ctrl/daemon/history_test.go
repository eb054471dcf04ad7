package daemon_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// callers is the number of concurrent clients of a history.
	callers = 5
	// historyTime is how long they go on while faults happen.
	historyTime = 40 * time.Second
)

// history records operations with their times.
type history struct {
	mutex sync.Mutex
	ops   []porcupine.Operation
	// known is the number of operations with a certain answer.
	known int
}

// record runs an operation. One without a certain answer may take effect at
// any later time.
func (h *history) record(client int, input any, run func() (output any, certain bool)) {
	start := time.Now()
	output, certain := run()
	op := porcupine.Operation{ClientId: client, Input: input, Call: start.UnixNano(), Output: output, Return: time.Now().UnixNano()}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !certain {
		op.Return, op.Output = math.MaxInt64, nil
	} else {
		h.known++
	}
	h.ops = append(h.ops, op)
}

// faults crashes leaders and followers, and cuts leaders off, until the end.
func (c *cluster) faults(source *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(2+source.IntN(3)) * time.Second)
		victim := c.leader()
		switch source.IntN(3) {
		case 0:
			c.crash(victim)
			time.Sleep(time.Duration(source.IntN(2000)) * time.Millisecond)
			c.start(victim)
		case 1:
			c.network.Isolate(victim, c.others(victim)...)
			time.Sleep(time.Duration(1000+source.IntN(3000)) * time.Millisecond)
			c.network.Rejoin(victim, c.others(victim)...)
		case 2:
			other := c.others(victim)[source.IntN(2)]
			c.network.Cut(victim, other)
			time.Sleep(time.Duration(source.IntN(2000)) * time.Millisecond)
			c.crash(other)
			c.network.Heal(victim, other)
			c.start(other)
		}
	}
}

// runHistory lets concurrent clients run against a group with faults.
func runHistory(t *testing.T, seed uint64, step func(c *cluster, h *history, client int, source *rand.Rand)) *history {
	h := &history{}
	inCluster(t, seed, func(c *cluster) {
		end := time.Now().Add(historyTime)
		var group sync.WaitGroup
		for client := range callers {
			source := rand.New(rand.NewPCG(seed, uint64(client)))
			group.Go(func() {
				for time.Now().Before(end) {
					step(c, h, client, source)
					time.Sleep(time.Duration(source.IntN(800)) * time.Millisecond)
				}
			})
		}
		c.faults(rand.New(rand.NewPCG(seed, 100)), end)
		group.Wait()
	})
	return h
}

func check(t *testing.T, model porcupine.NondeterministicModel, h *history) {
	result := porcupine.CheckOperationsTimeout(model.ToModel(), h.ops, time.Minute)
	require.Equal(t, porcupine.Ok, result, "%d operations", len(h.ops))
	require.Greater(t, h.known, 50, "the history must hold enough answers")
	t.Logf("%d operations, %d with a certain answer", len(h.ops), h.known)
}

// submission is an input; rate is the content. Number 0 reads.
type submission struct {
	number uint64
	rate   int64
}

// decision is an output. For a read it holds what was read.
type decision struct {
	refused plane.Kind
	number  uint64
	rate    int64
}

// decisions is the model's state: the content of each number from 1 on.
func stepSubmission(state, input, output any) []any {
	decided, ask := state.(string), input.(submission)
	count := uint64(len(decided))
	next := decided + string(rune(ask.rate))
	if output == nil {
		if ask.number == count+1 {
			return []any{decided, next}
		}
		return []any{decided}
	}
	answer := output.(decision)
	holds := false
	switch {
	case ask.number == 0:
		holds = answer.number == count && (count == 0 || int64(decided[count-1]) == answer.rate)
	case answer.refused == plane.KindNone && ask.number == count+1:
		return []any{next}
	case answer.refused == plane.KindNone:
		holds = ask.number <= count && int64(decided[ask.number-1]) == ask.rate
	case answer.refused == plane.KindConflict:
		holds = ask.number <= count && int64(decided[ask.number-1]) != ask.rate
	case answer.refused == plane.KindInvalid:
		holds = ask.number > count+1
	}
	if !holds {
		return nil
	}
	return []any{decided}
}

// Operators that race under equal numbers, resend, and lose answers: every
// number has one content for good, and all answers and reads agree with it.
func TestHistoryOfConcurrentOperators(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: stepSubmission,
	}
	for seed := range uint64(3) {
		h := runHistory(t, 20+seed, func(c *cluster, h *history, client int, source *rand.Rand) {
			to := fmt.Sprintf("c%d", 1+source.IntN(3))
			read := decision{}
			h.record(client, submission{}, func() (any, bool) {
				reply := &plane.FetchReply{}
				err := c.call(fmt.Sprint("operator", client), to, plane.MethodFetch, &plane.FetchRequest{}, reply)
				if err == nil && reply.Config != nil {
					read.number, read.rate = reply.Config.Number, reply.Config.Workspaces["w"].Rate
				}
				return read, err == nil && reply.Refused == plane.KindNone
			})
			ask := submission{number: max(read.number+uint64(source.IntN(3)), 1), rate: 1 + int64(source.IntN(3))}
			for range 1 + source.IntN(2) {
				h.record(client, ask, func() (any, bool) {
					reply, err := c.submit(to, config(ask.number, ask.rate), fmt.Sprint(client), 0)
					certain := err == nil && reply.Refused != plane.KindTimeout && reply.Refused != plane.KindNoLeader
					return decision{refused: reply.Refused}, certain
				})
			}
		})
		check(t, model, h)
	}
}

// claiming is an input; claimed an output and, with its attempt, the model's
// state of one key.
type claiming struct {
	verb    plane.Verb
	key     int
	attempt byte
}

type claimed struct {
	state   plane.ClaimState
	attempt byte
}

func stepClaim(state, input, output any) []any {
	now, ask := state.(claimed), input.(claiming)
	after, reply := now, now
	own := now.state == plane.ClaimTaken && now.attempt == ask.attempt
	switch {
	case ask.verb == plane.VerbClaim && now.state == plane.ClaimNone:
		after = claimed{state: plane.ClaimTaken, attempt: ask.attempt}
		reply = claimed{state: plane.ClaimOwned, attempt: ask.attempt}
	case ask.verb == plane.VerbClaim && own:
		reply.state = plane.ClaimOwned
	case ask.verb == plane.VerbDone && own:
		after.state = plane.ClaimDone
		reply = after
	case ask.verb == plane.VerbUnknown && own:
		after.state = plane.ClaimUnknown
		reply = after
	case ask.verb == plane.VerbVoid && own:
		after = claimed{state: plane.ClaimNone}
		reply = after
	}
	if output == nil {
		return []any{now, after}
	}
	if output.(claimed) != reply {
		return nil
	}
	return []any{after}
}

// Entries that race for claims, with lost answers: a key has one owner at a
// time, and what is done or unknown stays so.
func TestHistoryOfConcurrentClaims(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init:      func() []any { return []any{claimed{state: plane.ClaimNone}} },
		Step:      stepClaim,
		Partition: partitionByKey,
	}
	verbs := []plane.Verb{plane.VerbClaim, plane.VerbClaim, plane.VerbClaim, plane.VerbDone, plane.VerbUnknown, plane.VerbVoid, plane.VerbVoid, plane.VerbRead, plane.VerbRead, plane.VerbRead, plane.VerbRead}
	for seed := range uint64(3) {
		h := runHistory(t, 30+seed, func(c *cluster, h *history, client int, source *rand.Rand) {
			to := fmt.Sprintf("c%d", 1+source.IntN(3))
			ask := claiming{verb: verbs[source.IntN(len(verbs))], key: source.IntN(12), attempt: byte(1 + source.IntN(callers))}
			h.record(client, ask, func() (any, bool) {
				attempt := make([]byte, call.IDSize)
				attempt[0] = ask.attempt
				reply := &plane.ClaimReply{}
				err := c.call(fmt.Sprint("entry", client), to, plane.MethodClaim, &plane.ClaimRequest{
					Verb: ask.verb, Key: []byte{byte(ask.key)}, Attempt: attempt, ContentDigest: []byte("sum"), Outcome: &call.Outcome{Status: 200},
				}, reply)
				got := claimed{state: reply.State}
				if len(reply.Attempt) > 0 {
					got.attempt = reply.Attempt[0]
				}
				return got, err == nil && reply.Refused == plane.KindNone
			})
		})
		check(t, model, h)
	}
}

func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[int][]porcupine.Operation{}
	for _, op := range ops {
		key := op.Input.(claiming).key
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}
