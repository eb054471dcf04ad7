package direct_test

import (
	"context"
	"fmt"
	"net"
	"sync"
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
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// site is an entry before engines whose agents answer as they are told.
type site struct {
	direct *direct.Filter
	mutex  sync.Mutex
	// refuse holds what each agent answers; an empty reason admits.
	refuse map[string]admit.Reply
	asks   []admit.Request
	// silent agents read what they are asked and say nothing.
	silent map[string]bool
}

func inSite(t *testing.T, engines int, test func(t *testing.T, s *site)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := vnet.New()
		s := &site{refuse: map[string]admit.Reply{}, silent: map[string]bool{}, direct: newDirect(&service{replies: []reply{good}}, 0)}
		dial := network.Dialer("entry")
		s.direct.Agents = &pool.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) }}
		config := &conf.Config{Number: 1, Services: map[string]conf.Service{"s": {Engine: &conf.Engine{Slots: 8, AdapterSlots: 4, TokensPerEvent: 1}}}}
		s.direct.Config = func() *conf.Config { return config }
		usable := map[string][]advert.Record{}
		var agents sync.WaitGroup
		for i := range engines {
			name := fmt.Sprint("e", i)
			usable["s"] = append(usable["s"], advert.Record{Name: name, Service: "s", Address: name + ":1", Agent: name + ":2", DataCentre: "d", Slots: 8})
			listener, err := network.Listen(name + ":2")
			require.NoError(t, err)
			agents.Go(func() {
				_ = link.Serve(ctx, listener, map[string]link.Handler{admit.Method: func(_ context.Context, stream *wire.Stream) error { return s.answer(name, stream) }})
			})
		}
		s.direct.Endpoints = &view.Endpoints{DataCentre: "d"}
		s.direct.Endpoints.Update(usable)
		test(t, s)
		s.direct.Agents.Close()
		cancel()
		agents.Wait()
		time.Sleep(5 * time.Minute)
	})
}

func (s *site) answer(name string, stream *wire.Stream) error {
	ask := admit.Request{}
	if err := stream.Receive(&ask); err != nil {
		return err
	}
	s.mutex.Lock()
	s.asks = append(s.asks, ask)
	reply, silent := s.refuse[name], s.silent[name]
	s.mutex.Unlock()
	if silent {
		return stream.Receive(&ask)
	}
	return stream.Send(&reply)
}

func model(r *chain.Request) {
	resumes(r)
	r.Model, r.Adapter, r.MaxTokens = "m", "a", 100
}

// An engine that still loads its base model is passed over for the next one;
// one that is busy is not, as the next would have to fetch the adapter.
func TestEngineWithoutItsModelIsPassedOver(t *testing.T) {
	for reason, others := range map[admit.Reason]bool{admit.ReasonModelMissing: true, admit.ReasonBusy: false} {
		inSite(t, 3, func(t *testing.T, s *site) {
			got, err := run(t.Context(), s.direct, model)
			require.NoError(t, err)
			require.Equal(t, "good", got.text)
			home := s.asks[0].Endpoint
			s.refuse[home] = admit.Reply{Reason: reason, Wait: span.Duration(3 * time.Second)}
			_, err = run(t.Context(), s.direct, model)
			require.Equal(t, others, err == nil, reason)
			if others {
				return
			}
			require.Equal(t, 3*time.Second, chain.RefusalOf(err).RetryAfter)
		})
	}
}

// An agent is told when the caller leaves if it hears nothing, not only when
// its route ends: what it holds for longer is held for nobody.
func TestAdmissionRequestCarriesTheCallerDeadline(t *testing.T) {
	for silence, left := range map[time.Duration]time.Duration{0: 8 * time.Second, 4 * time.Second: 4 * time.Second, time.Minute: 8 * time.Second} {
		inSite(t, 1, func(t *testing.T, s *site) {
			_, err := run(t.Context(), s.direct, func(r *chain.Request) {
				model(r)
				r.Route.EventTimeout = span.Duration(silence)
			})
			require.NoError(t, err)
			require.InDelta(t, left.Seconds(), s.asks[0].Remaining.Std().Seconds(), 0.1)
		})
	}
}

// An agent that does not answer holds up one request now and then, not each of
// them; when it answers again it is asked as before.
func TestUnresponsiveAgentDelaysFewRequests(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		_, err := run(t.Context(), s.direct, model)
		require.NoError(t, err)
		home := s.asks[0].Endpoint
		set := func(silent bool) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.silent[home] = silent
		}
		set(true)
		held := 0
		for range 200 {
			began := time.Now()
			_, err := run(t.Context(), s.direct, model)
			require.NoError(t, err)
			if time.Since(began) >= 200*time.Millisecond {
				held++
			}
			time.Sleep(20 * time.Millisecond)
		}
		require.Positive(t, held)
		require.LessOrEqual(t, held, 8, "in four seconds")
		set(false)
		time.Sleep(2 * time.Second)
		s.asks = nil
		began := time.Now()
		asked := map[string]bool{}
		for range 20 {
			_, err := run(t.Context(), s.direct, model)
			require.NoError(t, err)
		}
		for _, ask := range s.asks {
			asked[ask.Endpoint] = true
		}
		require.True(t, asked[home], "it is asked as before")
		require.Less(t, time.Since(began), 100*time.Millisecond)
	})
}
