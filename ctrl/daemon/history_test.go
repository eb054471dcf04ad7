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
	// historyClients is the number of concurrent clients in a history.
	historyClients = 5
	// historyDuration is how long the clients send requests while faults are injected.
	historyDuration = 40 * time.Second
)

// history records operations with their start and end times for the linearizability checker.
type history struct {
	mutex sync.Mutex
	ops   []porcupine.Operation
	// certain is the number of operations whose outcome the client knows.
	certain int
}

// record runs an operation and adds it to the history. An operation with an unknown outcome may
// take effect at any later time, so it has no end and no output.
func (h *history) record(client int, input any, run func() (output any, certain bool)) {
	start := time.Now()
	output, certain := run()
	op := porcupine.Operation{ClientId: client, Input: input, Call: start.UnixNano(), Output: output, Return: time.Now().UnixNano()}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !certain {
		op.Return, op.Output = math.MaxInt64, nil
	} else {
		h.certain++
	}
	h.ops = append(h.ops, op)
}

// injectFaults crashes leaders and followers and partitions leaders from the group until end.
func (c *cluster) injectFaults(source *rand.Rand, end time.Time) {
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

// runHistory runs steps of concurrent clients against a group with injected faults.
func runHistory(t *testing.T, seed uint64, step func(c *cluster, h *history, client int, source *rand.Rand)) *history {
	h := &history{}
	withCluster(t, seed, func(c *cluster) {
		end := time.Now().Add(historyDuration)
		var group sync.WaitGroup
		for client := range historyClients {
			source := rand.New(rand.NewPCG(seed, uint64(client)))
			group.Go(func() {
				for time.Now().Before(end) {
					step(c, h, client, source)
					time.Sleep(time.Duration(source.IntN(800)) * time.Millisecond)
				}
			})
		}
		c.injectFaults(rand.New(rand.NewPCG(seed, 100)), end)
		group.Wait()
	})
	return h
}

func check(t *testing.T, model porcupine.NondeterministicModel, h *history) {
	result := porcupine.CheckOperationsTimeout(model.ToModel(), h.ops, time.Minute)
	require.Equal(t, porcupine.Ok, result, "%d operations", len(h.ops))
	require.Greater(t, h.certain, 50, "the history has too few operations with a known outcome")
	t.Logf("%d operations, %d with a known outcome", len(h.ops), h.certain)
}

// submitInput is the input of an operation of operators: a submission of rate under number, or a
// read if number is 0.
type submitInput struct {
	number uint64
	rate   int64
}

// submitOutput is the output of such an operation. For a read, number and rate are those read.
type submitOutput struct {
	refused plane.Kind
	number  uint64
	rate    int64
}

// stepSubmission is the model of the configuration numbers. Its state is a string with one rune
// for each number from 1 on: the rate committed under that number.
func stepSubmission(state, input, output any) []any {
	decided, request := state.(string), input.(submitInput)
	count := uint64(len(decided))
	next := decided + string(rune(request.rate))
	if output == nil {
		if request.number == count+1 {
			return []any{decided, next}
		}
		return []any{decided}
	}
	reported := output.(submitOutput)
	holds := false
	switch {
	case request.number == 0:
		holds = reported.number == count && (count == 0 || int64(decided[count-1]) == reported.rate)
	case reported.refused == plane.KindNone && request.number == count+1:
		return []any{next}
	case reported.refused == plane.KindNone:
		holds = request.number <= count && int64(decided[request.number-1]) == request.rate
	case reported.refused == plane.KindConflict:
		holds = request.number <= count && int64(decided[request.number-1]) != request.rate
	case reported.refused == plane.KindInvalid:
		holds = request.number > count+1
	}
	if !holds {
		return nil
	}
	return []any{decided}
}

// Operators concurrently submit configurations under equal numbers, resend them and lose replies:
// each number is committed once with one content, and all replies and reads are linearizable.
func TestHistoryOfConcurrentOperators(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: stepSubmission,
	}
	for seed := range uint64(3) {
		h := runHistory(t, 20+seed, func(c *cluster, h *history, client int, source *rand.Rand) {
			to := fmt.Sprintf("c%d", 1+source.IntN(3))
			read := submitOutput{}
			h.record(client, submitInput{}, func() (any, bool) {
				reply := &plane.FetchReply{}
				err := c.call(fmt.Sprint("operator", client), to, plane.MethodFetch, &plane.FetchRequest{}, reply)
				if err == nil && reply.Config != nil {
					read.number, read.rate = reply.Config.Number, reply.Config.Workspaces["w"].Rate
				}
				return read, err == nil && reply.Refused == plane.KindNone
			})
			request := submitInput{number: max(read.number+uint64(source.IntN(3)), 1), rate: 1 + int64(source.IntN(3))}
			for range 1 + source.IntN(2) {
				h.record(client, request, func() (any, bool) {
					reply, err := c.submit(to, config(request.number, request.rate), fmt.Sprint(client), 0)
					certain := err == nil && reply.Refused != plane.KindTimeout && reply.Refused != plane.KindNoLeader
					return submitOutput{refused: reply.Refused}, certain
				})
			}
		})
		check(t, model, h)
	}
}

// claimInput is the input of an operation on claims.
type claimInput struct {
	verb    plane.Verb
	key     int
	attempt byte
}

// claimOutput is the output of an operation on claims and the model's state of one key.
type claimOutput struct {
	state   plane.ClaimState
	attempt byte
}

// stepClaim is the model of the claims on one key. Without an output the operation may or may not
// have taken effect.
func stepClaim(state, input, output any) []any {
	before, request := state.(claimOutput), input.(claimInput)
	after, reply := before, before
	own := before.state == plane.ClaimTaken && before.attempt == request.attempt
	switch {
	case request.verb == plane.VerbClaim && before.state == plane.ClaimNone:
		after = claimOutput{state: plane.ClaimTaken, attempt: request.attempt}
		reply = claimOutput{state: plane.ClaimOwned, attempt: request.attempt}
	case request.verb == plane.VerbClaim && own:
		reply.state = plane.ClaimOwned
	case request.verb == plane.VerbDone && own:
		after.state = plane.ClaimDone
		reply = after
	case request.verb == plane.VerbUnknown && own:
		after.state = plane.ClaimUnknown
		reply = after
	case request.verb == plane.VerbVoid && own:
		after = claimOutput{state: plane.ClaimNone}
		reply = after
	}
	if output == nil {
		return []any{before, after}
	}
	if output.(claimOutput) != reply {
		return nil
	}
	return []any{after}
}

// Entries race for claims and lose replies: a key has one owner at a time, and a claim that is
// done or has an unknown outcome never changes again.
func TestHistoryOfConcurrentClaims(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init:      func() []any { return []any{claimOutput{state: plane.ClaimNone}} },
		Step:      stepClaim,
		Partition: partitionByKey,
	}
	verbs := []plane.Verb{plane.VerbClaim, plane.VerbClaim, plane.VerbClaim, plane.VerbDone, plane.VerbUnknown, plane.VerbVoid, plane.VerbVoid, plane.VerbRead, plane.VerbRead, plane.VerbRead, plane.VerbRead}
	for seed := range uint64(3) {
		h := runHistory(t, 30+seed, func(c *cluster, h *history, client int, source *rand.Rand) {
			to := fmt.Sprintf("c%d", 1+source.IntN(3))
			request := claimInput{verb: verbs[source.IntN(len(verbs))], key: source.IntN(12), attempt: byte(1 + source.IntN(historyClients))}
			h.record(client, request, func() (any, bool) {
				attempt := make([]byte, call.IDSize)
				attempt[0] = request.attempt
				reply := &plane.ClaimReply{}
				err := c.call(fmt.Sprint("entry", client), to, plane.MethodClaim, &plane.ClaimRequest{
					Verb: request.verb, Key: []byte{byte(request.key)}, Attempt: attempt, ContentDigest: []byte("sum"), Outcome: &call.Outcome{Status: 200},
				}, reply)
				got := claimOutput{state: reply.State}
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
		key := op.Input.(claimInput).key
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}
