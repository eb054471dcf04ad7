package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// site is an entry with engines whose agents return configured replies.
type site struct {
	filter  *direct.Filter
	network *vnet.Network
	mutex   sync.Mutex
	// agentReplies holds the reply of each agent; an empty reason admits the
	// request. received are the admission requests.
	agentReplies map[string]admit.Reply
	received     []admit.Request
	// unresponsive agents read admission requests and do not reply.
	unresponsive map[string]bool
	// admissionTime is how long agents let requests wait.
	admissionTime time.Duration
	// afterReply, if set, is called with the stream of each admission that was replied to,
	// and stops end the agents' processes.
	afterReply func(stream *wire.Stream)
	stops      map[string]func()
	// admitted is the engine of the first admission. refuseElsewhere is the reason with which
	// the agents of the others then refuse, and slowElsewhere how long they take to admit.
	admitted        string
	refuseElsewhere admit.Reason
	slowElsewhere   time.Duration
	// holding counts the admissions that have not ended.
	holding int
}

func (s *site) countHolding(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holding += change
}

// setRefusal changes refuseElsewhere.
func (s *site) setRefusal(reason admit.Reason) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refuseElsewhere = reason
}

// held returns the number of admissions that have not ended.
func (s *site) held() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holding
}

// replyOf returns an agent's reply to an admission request and how long it takes.
func (s *site) replyOf(name string) (admit.Reply, time.Duration) {
	if s.admitted == "" {
		s.admitted = name
	}
	if s.admitted == name {
		return s.agentReplies[name], s.admissionTime
	}
	if s.refuseElsewhere != admit.ReasonNone {
		return admit.Reply{Reason: s.refuseElsewhere, Wait: span.Duration(400 * time.Millisecond)}, 0
	}
	return s.agentReplies[name], s.admissionTime + s.slowElsewhere
}

func inSite(t *testing.T, engines int, test func(t *testing.T, s *site)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := vnet.New()
		s := &site{network: network, agentReplies: map[string]admit.Reply{}, unresponsive: map[string]bool{}, stops: map[string]func(){}, filter: newFilter(&service{replies: []reply{wholeStream}}, 0)}
		dial := network.Dialer("entry")
		s.filter.Agents = &pool.Pool{DialTimeout: 250 * time.Millisecond, Dial: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) }}
		config := &conf.Config{Number: 1, Services: map[string]conf.Service{"s": {Engine: &conf.Engine{Slots: 8, AdapterSlots: 4, TokensPerEvent: 1}}}}
		s.filter.Config = func() *conf.Config { return config }
		usable := map[string][]advert.Record{}
		var agents sync.WaitGroup
		for i := range engines {
			name := fmt.Sprint("e", i)
			usable["s"] = append(usable["s"], advert.Record{Name: name, Service: "s", Address: name + ":1", Agent: name + ":2", DataCentre: "d", Slots: 8})
			listener, err := network.Listen(name + ":2")
			require.NoError(t, err)
			running, stop := context.WithCancel(ctx)
			s.stops[name] = stop
			agents.Go(func() {
				_ = link.Serve(running, listener, map[string]link.Handler{admit.Method: func(_ context.Context, stream *wire.Stream) error { return s.answer(name, stream) }})
			})
		}
		s.filter.Endpoints = &view.Endpoints{DataCentre: "d"}
		s.filter.Endpoints.Update(usable)
		test(t, s)
		s.filter.Agents.Close()
		cancel()
		agents.Wait()
		time.Sleep(5 * time.Minute)
	})
}

func (s *site) answer(name string, stream *wire.Stream) error {
	request := admit.Request{}
	if err := stream.Receive(&request); err != nil {
		return err
	}
	s.mutex.Lock()
	s.received = append(s.received, request)
	reply, wait := s.replyOf(name)
	unresponsive, queues := s.unresponsive[name], s.slowElsewhere > 0
	s.mutex.Unlock()
	if unresponsive {
		return stream.Receive(&request)
	}
	if wait > 0 && queues {
		_ = stream.Send(&admit.Reply{Reason: admit.ReasonQueued})
	}
	time.Sleep(wait)
	err := stream.Send(&reply)
	s.countHolding(1)
	defer s.countHolding(-1)
	if queues {
		// The stream ends with the admission.
		_ = stream.Receive(&request)
	}
	if s.afterReply != nil {
		s.afterReply(stream)
	}
	return err
}

func model(r *chain.Request) {
	resumable(r)
	r.Model, r.Adapter, r.MaxTokens = "m", "a", 100
}

// An engine that still loads its base model is skipped in favour of the next
// one. A busy engine is not, since the next one would have to fetch the
// adapter.
func TestEngineWithoutItsModelIsPassedOver(t *testing.T) {
	for reason, others := range map[admit.Reason]bool{admit.ReasonModelMissing: true, admit.ReasonBusy: false} {
		inSite(t, 3, func(t *testing.T, s *site) {
			got, err := run(t.Context(), s.filter, model)
			require.NoError(t, err)
			require.Equal(t, completeStream, got.text)
			preferred := s.received[0].Endpoint
			s.agentReplies[preferred] = admit.Reply{Reason: reason, Wait: span.Duration(3 * time.Second)}
			_, err = run(t.Context(), s.filter, model)
			require.Equal(t, others, err == nil, reason)
			if others {
				return
			}
			require.Equal(t, 3*time.Second, chain.RefusalOf(err).RetryAfter)
		})
	}
}

// The admission request carries the time until the caller disconnects for want
// of data, not only the timeout of the route: an agent must not hold a request
// beyond either.
func TestAdmissionRequestCarriesTheCallerDeadline(t *testing.T) {
	for silence, remaining := range map[time.Duration]time.Duration{0: 8 * time.Second, 4 * time.Second: 4 * time.Second, time.Minute: 8 * time.Second} {
		inSite(t, 1, func(t *testing.T, s *site) {
			_, err := run(t.Context(), s.filter, func(r *chain.Request) {
				model(r)
				r.Route.EventTimeout = span.Duration(silence)
			})
			require.NoError(t, err)
			require.InDelta(t, remaining.Seconds(), s.received[0].Remaining.Std().Seconds(), 0.1)
		})
	}
}

// An unresponsive agent delays few requests, not each of them. Once it replies
// again it is queried as before.
func TestUnresponsiveAgentDelaysFewRequests(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		_, err := run(t.Context(), s.filter, model)
		require.NoError(t, err)
		preferred := s.received[0].Endpoint
		set := func(unresponsive bool) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.unresponsive[preferred] = unresponsive
		}
		set(true)
		delayed := 0
		for range 200 {
			started := time.Now()
			_, err := run(t.Context(), s.filter, model)
			require.NoError(t, err)
			if time.Since(started) >= 200*time.Millisecond {
				delayed++
			}
			time.Sleep(20 * time.Millisecond)
		}
		require.Positive(t, delayed)
		require.LessOrEqual(t, delayed, 8, "in four seconds")
		set(false)
		time.Sleep(2 * time.Second)
		s.received = nil
		started := time.Now()
		queried := map[string]bool{}
		for range 20 {
			_, err := run(t.Context(), s.filter, model)
			require.NoError(t, err)
		}
		for _, request := range s.received {
			queried[request.Endpoint] = true
		}
		require.True(t, queried[preferred], "the agent is queried as before")
		require.Less(t, time.Since(started), 100*time.Millisecond)
	})
}

// A request that became quarantined while it waited for its admission was refused only at the
// end of the wait, seconds later.
func TestQuarantineEndsTheWaitForAdmission(t *testing.T) {
	inSite(t, 2, func(t *testing.T, s *site) {
		s.admissionTime = 2 * time.Second
		changed := make(chan struct{})
		quarantined := atomic.Bool{}
		s.filter.QuarantineChanged = func() <-chan struct{} { return changed }
		s.filter.Quarantined = func([]byte) time.Duration {
			if quarantined.Load() {
				return time.Minute
			}
			return 0
		}
		time.AfterFunc(300*time.Millisecond, func() {
			quarantined.Store(true)
			close(changed)
		})
		started := time.Now()
		_, err := run(t.Context(), s.filter, func(r *chain.Request) {
			model(r)
			r.PromptParts = []string{"shared"}
		})
		refusal := chain.RefusalOf(err)
		require.Equal(t, "quarantined", refusal.Code)
		require.Equal(t, chain.RanNo, refusal.Ran)
		require.InDelta(t, 0.3, time.Since(started).Seconds(), 0.05)
	})
}

// A request that became quarantined while it waited for its admission was still sent.
func TestRequestQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	for name, quarantine := range map[string]func(s *site, r *chain.Request, after time.Time){
		"part of its prompt": func(s *site, r *chain.Request, after time.Time) {
			r.PromptParts = []string{"shared"}
			s.filter.Quarantined = func([]byte) time.Duration {
				if time.Now().Before(after) {
					return 0
				}
				return time.Minute
			}
		},
		"its content": func(_ *site, r *chain.Request, after time.Time) {
			r.Check = func() error {
				if time.Now().Before(after) {
					return nil
				}
				return chain.Refuse(http.StatusServiceUnavailable, "quarantined", "endpoints failed").WithRetryAfter(time.Minute)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 2, func(t *testing.T, s *site) {
				s.admissionTime = 200 * time.Millisecond
				sent := 0
				s.filter.Send = func(context.Context, *direct.Call) (*direct.Answer, error) {
					sent++
					return nil, &httpc.Error{Kind: httpc.KindBroken}
				}
				_, err := run(t.Context(), s.filter, func(r *chain.Request) {
					model(r)
					quarantine(s, r, time.Now().Add(100*time.Millisecond))
				})
				refusal := chain.RefusalOf(err)
				require.Equal(t, "quarantined", refusal.Code)
				require.Equal(t, chain.RanNo, refusal.Ran)
				require.Equal(t, time.Minute, refusal.RetryAfter)
				require.Zero(t, sent)
			})
		})
	}
}

// An agent could not tell an admission whose request was not run from one whose request was, and
// delayed other requests by prompts that its engine never got.
func TestAgentLearnsWhetherAnAdmittedRequestMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		reply      reply
		mayHaveRun bool
	}{
		"complete answer":    {wholeStream, true},
		"connection refused": {unreached, false},
		"not executed":       {reply{status: http.StatusServiceUnavailable, authentic: true, notExecuted: true}, false},
		"lost answer":        {reply{err: &httpc.Error{Kind: httpc.KindBroken}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 1, func(t *testing.T, s *site) {
				s.filter.Send = (&service{replies: []reply{test.reply}}).send
				ends := make(chan bool, 8)
				s.afterReply = func(stream *wire.Stream) {
					end := &admit.End{}
					_ = stream.Receive(end)
					ends <- end.MayHaveRun
				}
				_, _ = run(t.Context(), s.filter, model)
				require.Equal(t, test.mayHaveRun, <-ends)
			})
		})
	}
}
