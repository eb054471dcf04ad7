package direct_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// comesBack makes a request continue the stream "first" behind its first event.
func comesBack(r *chain.Request) {
	resumable(r)
	r.FirstAttempt, r.LastEventID = "first", "1"
}

func requireRefused(t *testing.T, s *service, err error, code string) {
	refusal := chain.RefusalOf(err)
	require.Equal(t, code, refusal.Code)
	require.Equal(t, chain.RanNo, refusal.Ran)
	require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
	require.Positive(t, refusal.RetryAfter)
	require.Empty(t, s.calls)
}

// An entry took the one software version that it knew for the only one that serves, although
// it had not heard yet of endpoints at which other entries had begun streams: it had just
// started, control had, or an announcement was on its way.
func TestStreamOfUnknownOriginAwaitsWhatControlKnows(t *testing.T) {
	const answerTime = 150 * time.Millisecond
	for name, test := range map[string]struct {
		// listed are the versions known before and after control has answered, if it does.
		listed, afterwards []string
		answers            bool
		want, refused      string
		waited             time.Duration
	}{
		"nothing new":                        {[]string{"a", "a"}, []string{"a", "a"}, true, "a", "", answerTime},
		"another version serves":             {[]string{"a"}, []string{"a", "b"}, true, "", "software_unknown", answerTime},
		"the other version alone is left":    {[]string{"a"}, []string{"b"}, true, "", "software_unknown", answerTime},
		"control does not answer":            {[]string{"a"}, nil, false, "", "software_unknown", 2 * time.Second},
		"several are known: nothing to wait": {[]string{"a", "b"}, nil, false, "", "software_unknown", 0},
		"the entry knows no endpoint":        {nil, []string{"a"}, true, "", "software_unknown", 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{{status: 200, authentic: true, body: completeStream[15:]}}}
				d := newFilter(s, 0)
				d.Confirm = func(ctx context.Context) bool {
					if !test.answers {
						<-ctx.Done()
						return false
					}
					time.Sleep(answerTime)
					listSoftware(d, test.afterwards...)
					return true
				}
				listSoftware(d, test.listed...)
				started := time.Now()
				_, err := run(context.Background(), d, comesBack)
				require.Equal(t, test.waited, time.Since(started))
				if test.refused != "" {
					requireRefused(t, s, err, test.refused)
					return
				}
				require.NoError(t, err)
				require.Equal(t, test.want, s.calls[0].Endpoint.SoftwareVersion)
			})
		})
	}
}

// Control or agents that were silent for 1.3 s made an entry refuse to continue streams, although
// their callers wait for four seconds.
func TestStreamContinuesAfterSilenceOfControlAndAgents(t *testing.T) {
	found := origin.Record{Attempt: "first", Service: "s", SoftwareVersion: "a", Known: true}
	for name, test := range map[string]struct {
		listed []string
		// returned is when agents and control reply again.
		agents, control time.Duration
		record          bool
		refused         string
		took            time.Duration
	}{
		"control silent":              {[]string{"a"}, 0, agentSilence, false, "", agentSilence},
		"agents silent":               {[]string{"a", "b"}, agentSilence, 0, true, "", 1500 * ms},
		"both silent":                 {[]string{"a"}, agentSilence, agentSilence, true, "", agentSilence},
		"agents silent, no record":    {[]string{"a", "b"}, agentSilence, 0, false, "software_unknown", 1500 * ms},
		"agents and control stay so":  {[]string{"a"}, time.Hour, time.Hour, true, "software_unknown", 2500 * ms},
		"agents stay so, one version": {[]string{"a"}, time.Hour, 0, true, "", 300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{{status: 200, authentic: true, body: completeStream[15:]}}}
				d := newFilter(s, 0)
				listSoftware(d, test.listed...)
				started := time.Now()
				d.FindOrigin = func(context.Context, string) (origin.Record, bool) {
					if time.Since(started) < test.agents {
						time.Sleep(250 * ms)
						return origin.Record{}, false
					}
					if !test.record {
						return origin.Record{}, true
					}
					return found, true
				}
				d.Confirm = func(ctx context.Context) bool {
					return pause.For(ctx, test.control-time.Since(started))
				}
				_, err := run(context.Background(), d, func(r *chain.Request) {
					comesBack(r)
					r.Route.EventTimeout = span.Duration(callerPatience)
				})
				require.LessOrEqual(t, time.Since(started), test.took)
				if test.refused != "" {
					requireRefused(t, s, err, test.refused)
					return
				}
				require.NoError(t, err)
				require.Equal(t, "a", s.calls[0].Endpoint.SoftwareVersion)
			})
		})
	}
}

// The versions that control tells an entry of that has just started decide, also of endpoints
// that have left and of processes replaced under their names.
func TestEntryThatStartedKnowsFormerVersions(t *testing.T) {
	for name, changed := range map[string]advert.Record{
		"left":                    {Name: "x", Service: "s", SoftwareVersion: "old", Removed: true},
		"replaced under its name": {Name: "e0", Service: "s", SoftwareVersion: "a", FormerSoftware: []string{"old"}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{{status: 200, authentic: true, body: completeStream[15:]}}}
				d := newFilter(s, 0)
				d.Endpoints.RecordSoftware([]advert.Record{changed}, time.Now())
				listSoftware(d, "a", "a")
				_, err := run(context.Background(), d, comesBack)
				requireRefused(t, s, err, "software_unknown")
				time.Sleep(origin.Retention + time.Second)
				_, err = run(context.Background(), d, comesBack)
				require.NoError(t, err, "its streams have ended")
			})
		})
	}
}

// An endpoint started again under its name with other software, and wrote to a stream before
// its announcement was known: the stream was recorded under the former version, and its caller
// was sent there. Which of the two processes wrote it is uncertain.
func TestStreamRecordedUnderReplacedProcessIsNotContinued(t *testing.T) {
	found := func(started int64, version string) origin.Record {
		return origin.Record{Attempt: "first", Service: "s", SoftwareVersion: version, Known: true, Endpoint: "e0", StartedMillis: started}
	}
	for name, test := range map[string]struct {
		found origin.Record
		// later are processes that take the endpoint's name after the first one, of version
		// "a", started at 100.
		later         []advert.Record
		want, refused string
	}{
		"not replaced":                  {found(100, "a"), nil, "a", ""},
		"replaced":                      {found(100, "a"), []advert.Record{{SoftwareVersion: "b", StartedMillis: 200}}, "", "software_unknown"},
		"replaced, and it has left":     {found(100, "a"), []advert.Record{{SoftwareVersion: "b", StartedMillis: 200, FormerSoftware: []string{"a"}, Removed: true}}, "", "software_unknown"},
		"begun at the new process":      {found(200, "b"), []advert.Record{{SoftwareVersion: "b", StartedMillis: 200}}, "b", ""},
		"replaced by the same version":  {found(100, "a"), []advert.Record{{SoftwareVersion: "a", StartedMillis: 200}}, "a", ""},
		"replaced and replaced back":    {found(100, "a"), []advert.Record{{SoftwareVersion: "b", StartedMillis: 200}, {SoftwareVersion: "a", StartedMillis: 300}}, "", "software_unknown"},
		"recorded by an older revision": {origin.Record{Attempt: "first", Service: "s", SoftwareVersion: "a", Known: true}, []advert.Record{{SoftwareVersion: "b", StartedMillis: 200}}, "a", ""},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{{status: 200, authentic: true, body: completeStream[15:]}}}
				d := newFilter(s, 0)
				d.FindOrigin = func(context.Context, string) (origin.Record, bool) { return test.found, true }
				listSoftware(d, "a", "a", "b")
				for _, record := range test.later {
					record.Name, record.Service, record.Address, record.DataCentre, record.Slots = "e0", "s", "e0:1", "d", 4
					d.Endpoints.RecordSoftware([]advert.Record{record}, time.Now())
					usable := map[string][]advert.Record{"s": {
						{Name: "e1", Service: "s", Address: "e1:1", DataCentre: "d", Slots: 4, SoftwareVersion: "a", StartedMillis: 101},
						{Name: "e2", Service: "s", Address: "e2:1", DataCentre: "d", Slots: 4, SoftwareVersion: "b", StartedMillis: 102},
					}}
					if !record.Removed {
						usable["s"] = append(usable["s"], record)
					}
					d.Endpoints.Update(usable)
				}
				_, err := run(context.Background(), d, comesBack)
				if test.refused != "" {
					requireRefused(t, s, err, test.refused)
					return
				}
				require.NoError(t, err)
				require.Equal(t, test.want, s.calls[0].Endpoint.SoftwareVersion)
			})
		})
	}
}

// Other entries need the records of streams for somewhat longer than these can go on: an entry
// that starts in that time takes the former version for recent.
func TestRecordsAreNeededLongerThanVersionsCount(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		es := &view.Endpoints{}
		es.RecordSoftware([]advert.Record{{Name: "x", Service: "s", SoftwareVersion: "b", Removed: true}}, time.Now())
		es.Update(map[string][]advert.Record{"s": {{Name: "e", Service: "s", SoftwareVersion: "a"}}})
		time.Sleep(origin.Retention + time.Second)
		_, only := es.OnlySoftware("s", time.Now())
		require.True(t, only)
		require.True(t, es.MixesSoftware("s"))
		time.Sleep(30 * time.Second)
		es.RecordSoftware(nil, time.Now())
		require.False(t, es.MixesSoftware("s"))
	})
}

// A stream whose caller came back was admitted as a new one, and refused by full engines. The
// agent learns whether the entry knows where the stream began or only the caller says that it
// has a part.
func TestAgentLearnsThatAStreamIsResumed(t *testing.T) {
	found := origin.Record{Attempt: "first", Service: "s", Known: true}
	for name, test := range map[string]struct {
		change         func(r *chain.Request)
		found          origin.Record
		resumed, known bool
	}{
		"record found":       {comesBack, found, true, true},
		"no record":          {comesBack, origin.Record{}, true, false},
		"no attempt named":   {func(r *chain.Request) { comesBack(r); r.FirstAttempt = "" }, found, true, false},
		"no event named":     {func(r *chain.Request) { comesBack(r); r.LastEventID = "" }, found, false, false},
		"new stream":         {resumable, found, false, false},
		"route that has not": {func(r *chain.Request) { comesBack(r); r.Route.Resume = false }, found, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 1, func(t *testing.T, s *site) {
				s.filter.FindOrigin = func(context.Context, string) (origin.Record, bool) { return test.found, true }
				_, err := run(t.Context(), s.filter, func(r *chain.Request) {
					model(r)
					test.change(r)
				})
				require.NoError(t, err)
				require.Equal(t, test.resumed, s.received[0].Resumed)
				require.Equal(t, test.known, s.received[0].OriginKnown)
			})
		})
	}
}

// Resumed streams that a full engine refused came back at the same moment; a new stream's
// delay is the engine's.
func TestRetryDelaysOfResumedStreamsDiffer(t *testing.T) {
	const wait = 400 * time.Millisecond
	delays := map[string]map[time.Duration]bool{}
	for name, change := range map[string]func(r *chain.Request){"new": resumable, "resumed": comesBack} {
		delays[name] = map[time.Duration]bool{}
		for i := range 10 {
			inSite(t, 1, func(t *testing.T, s *site) {
				s.agentReplies["e0"] = admit.Reply{Reason: admit.ReasonBusy, Wait: span.Duration(wait)}
				s.filter.Random = func() float64 { return float64(i) / 10 }
				_, err := run(t.Context(), s.filter, func(r *chain.Request) {
					model(r)
					change(r)
				})
				refusal := chain.RefusalOf(err)
				require.Equal(t, "engines_busy", refusal.Code)
				require.GreaterOrEqual(t, refusal.RetryAfter, wait, "not before the engine can begin")
				require.Less(t, refusal.RetryAfter, wait*3/2)
				delays[name][refusal.RetryAfter] = true
			})
		}
	}
	require.Len(t, delays["new"], 1)
	require.Len(t, delays["resumed"], 10)
}

// The log did not tell from which known state a stream was refused.
func TestRefusedContinuationIsLoggedWithItsReason(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		d := newFilter(&service{replies: []reply{wholeStream}}, 0)
		d.Host.Log = event.New(&text, "entry")
		d.Current = func() bool { return true }
		listSoftware(d, "b", "a")
		_, err := run(context.Background(), d, comesBack)
		require.Equal(t, "software_unknown", chain.RefusalOf(err).Code)
		for _, want := range []string{"event=stream-not-continued", "source=none", "versions=a,b", "current=true", "first=first", "retry=10ms"} {
			require.Contains(t, text.String(), want)
		}
		require.EqualValues(t, 1, d.Host.Meter.Value("streams_not_continued_software_unknown"))
		require.EqualValues(t, 1, d.Host.Meter.Value(fmt.Sprint("streams_returned_", "none")))
	})
}
