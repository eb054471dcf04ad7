package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

// listSoftware lists the endpoints e0, e1, … of service s with the given versions of their
// software.
func listSoftware(d *direct.Filter, versions ...string) {
	usable := map[string][]advert.Record{}
	for i, version := range versions {
		name := fmt.Sprint("e", i)
		usable["s"] = append(usable["s"], advert.Record{
			Name: name, Service: "s", Address: name + ":1", DataCentre: "d", Slots: 4, SoftwareVersion: version, StartedMillis: int64(100 + i),
		})
	}
	d.Endpoints.Update(usable)
}

// A stream that broke off went on at an endpoint whose software has another version.
func TestStreamGoesOnAtTheSoftwareVersionThatBeganIt(t *testing.T) {
	cut := reply{status: 200, authentic: true, body: completeStream[:20], broken: true}
	rest := reply{status: 200, authentic: true, body: completeStream[15:]}
	beforeFirst := reply{status: 200, authentic: true, body: completeStream[:5], broken: true}
	for name, test := range map[string]struct {
		versions []string
		replies  []reply
		// calls is the number of attempts, all of one version if same is set.
		calls int
		same  bool
		text  string
	}{
		"another endpoint of the version":  {[]string{"a", "b", "a", "b"}, []reply{cut, rest}, 2, true, completeStream},
		"none left":                        {[]string{"a", "b", "c"}, []reply{cut, rest}, 1, true, completeStream[:15]},
		"cut before the first event":       {[]string{"a", "b"}, []reply{beforeFirst, {status: 200, authentic: true, body: completeStream}}, 2, false, completeStream},
		"cut before and then after it":     {[]string{"a", "b", "c"}, []reply{beforeFirst, cut, rest}, 2, false, completeStream[:15]},
		"one version":                      {[]string{"a", "a"}, []reply{cut, rest}, 2, true, completeStream},
		"versions that nobody has told us": {[]string{"", ""}, []reply{cut, rest}, 2, true, completeStream},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 8 {
				bubble.Test(t, func(t *testing.T) {
					s := &service{replies: test.replies}
					d := newFilter(s, 0)
					d.Random = func() float64 { return float64(seed) / 8 }
					listSoftware(d, test.versions...)
					started := time.Now()
					got, _ := run(context.Background(), d, resumable)
					require.Equal(t, test.text, got.text)
					require.Len(t, s.calls, test.calls)
					require.Less(t, time.Since(started), 50*time.Millisecond, "not held")
					versions := map[string]bool{}
					for _, call := range s.calls {
						versions[call.Endpoint.SoftwareVersion] = true
					}
					require.Equal(t, test.same, len(versions) == 1)
				})
			}
		})
	}
}

// A silent stream was cut so that another endpoint could continue it, although none of its
// software version was left.
func TestSilentStreamWithoutSuccessorIsNotCut(t *testing.T) {
	for name, versions := range map[string][]string{"other versions only": {"a", "b", "c"}, "no other endpoint": {"a"}} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				slow := reply{status: 200, authentic: true, pieces: []string{completeStream[:15], completeStream[15:]}, firstPause: 100 * time.Millisecond, pause: 1700 * time.Millisecond}
				s := &service{replies: []reply{slow}}
				d := newFilter(s, 0)
				listSoftware(d, versions...)
				got, err := run(context.Background(), d, resumable)
				require.NoError(t, err)
				require.Equal(t, completeStream, got.text)
				require.Len(t, s.calls, 1)
			})
		})
	}
}

// While a request waited for its admission, a process of other software took the place of
// the chosen engine under its name.
func TestEngineReplacedWhileARequestWaitsIsChosenAnew(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		listed := func(started int64, version string) {
			s.filter.Endpoints.Update(map[string][]advert.Record{"s": {{
				Name: "e0", Service: "s", Address: "e0:1", Agent: "e0:2", DataCentre: "d", Slots: 8, StartedMillis: started, SoftwareVersion: version,
			}}})
		}
		listed(1, "a")
		s.admissionTime = 200 * time.Millisecond
		var sent []string
		send := s.filter.Send
		s.filter.Send = func(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
			sent = append(sent, c.Endpoint.SoftwareVersion)
			return send(ctx, c)
		}
		time.AfterFunc(100*time.Millisecond, func() { listed(2, "b") })
		_, err := run(t.Context(), s.filter, model)
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, sent)
	})
}

// It is uncertain which of two processes under one name began a stream.
func TestStreamOfReplacedProcessIsNotContinued(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cut := reply{status: 200, authentic: true, body: completeStream[:15], pieces: []string{"id"}, pause: 100 * time.Millisecond, endsWithConnection: true}
		s := &service{replies: []reply{cut, wholeStream}}
		d := newFilter(s, 0)
		listSoftware(d, "a")
		time.AfterFunc(50*time.Millisecond, func() { listSoftware(d, "b", "a", "b") })
		got, err := run(context.Background(), d, resumable)
		require.Error(t, err)
		require.Equal(t, completeStream[:15], got.text)
		require.Len(t, s.calls, 1)
	})
}

// A stream whose caller came back went on at any endpoint of the service.
func TestStreamThatItsCallerContinuesStaysAtItsSoftwareVersion(t *testing.T) {
	continued := func(r *chain.Request) {
		resumable(r)
		r.FirstAttempt, r.LastEventID = "first", "1"
	}
	known := func(service, version string) *origin.Record {
		return &origin.Record{Attempt: "first", Service: service, SoftwareVersion: version, Known: true}
	}
	for name, test := range map[string]struct {
		change   func(r *chain.Request)
		versions []string
		// removed are versions of endpoints that were removed shortly before.
		removed  []string
		found    *origin.Record
		outdated bool
		// want is the version at which the stream goes on, refused the code of its refusal.
		want, refused string
	}{
		"known":                                {continued, []string{"a", "b"}, nil, known("s", "b"), false, "b", ""},
		"known while control is not reached":   {continued, []string{"a", "b"}, nil, known("s", "b"), true, "b", ""},
		"known, and no endpoint of it is left": {continued, []string{"a", "a"}, []string{"b"}, known("s", "b"), false, "", "software_gone"},
		"unknown with one version":             {continued, []string{"a", "a"}, nil, nil, false, "a", ""},
		"unknown with two versions":            {continued, []string{"a", "b"}, nil, nil, false, "", "software_unknown"},
		"unknown with a former version":        {continued, []string{"a", "a"}, []string{"b"}, nil, false, "", "software_unknown"},
		"unknown, and control is not reached":  {continued, []string{"a"}, nil, nil, true, "", "software_unknown"},
		"no attempt is named": {func(r *chain.Request) {
			resumable(r)
			r.LastEventID = "1"
		}, []string{"a", "b"}, nil, known("s", "b"), false, "", "software_unknown"},
		"the route no longer serves it": {continued, []string{"a", "b"}, nil, known("other", "b"), false, "", "service_changed"},
		"a split route keeps the service": {func(r *chain.Request) {
			continued(r)
			r.Route.Service, r.Route.Split = "", []conf.TrafficShare{{Service: "other", Weight: 99}, {Service: "s", Weight: 1}}
		}, []string{"a", "b"}, nil, known("s", "a"), false, "a", ""},
		"a split route and an unknown origin": {func(r *chain.Request) {
			continued(r)
			r.Route.Service, r.Route.Split = "", []conf.TrafficShare{{Service: "other", Weight: 1}, {Service: "s", Weight: 99}}
		}, []string{"a"}, nil, nil, false, "", "software_unknown"},
		"a new stream": {resumable, []string{"a", "a"}, []string{"b"}, nil, true, "a", ""},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{{status: 200, authentic: true, body: completeStream[15:]}}}
				d := newFilter(s, 0)
				d.Current = func() bool { return !test.outdated }
				d.FindOrigin = func(_ context.Context, attempt string) (origin.Record, bool) {
					if test.found == nil || attempt != test.found.Attempt {
						return origin.Record{Attempt: attempt}, true
					}
					return *test.found, true
				}
				listSoftware(d, test.versions...)
				for _, version := range test.removed {
					d.Endpoints.RecordSoftware([]advert.Record{{Name: "x", Service: "s", SoftwareVersion: version, Removed: true}}, time.Now())
				}
				started := time.Now()
				_, err := run(context.Background(), d, test.change)
				if test.refused != "" {
					refusal := chain.RefusalOf(err)
					require.Equal(t, test.refused, refusal.Code)
					require.Equal(t, chain.RanNo, refusal.Ran)
					require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
					require.Zero(t, time.Since(started), "refused at once")
					require.Empty(t, s.calls)
					return
				}
				require.NoError(t, err)
				require.Equal(t, test.want, s.calls[0].Endpoint.SoftwareVersion)
			})
		})
	}
}

// Where a stream began is recorded once, with its first event.
func TestOriginOfStreamIsRecorded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		beforeFirst := reply{status: 200, authentic: true, body: completeStream[:5], broken: true}
		s := &service{replies: []reply{beforeFirst, {status: 200, authentic: true, body: completeStream[:20], broken: true}, {status: 200, authentic: true, body: completeStream[15:]}}}
		d := newFilter(s, 0)
		var recorded []origin.Record
		d.RecordOrigin = func(record origin.Record) { recorded = append(recorded, record) }
		listSoftware(d, "a", "b", "a", "b", "a", "b")
		_, err := run(context.Background(), d, func(r *chain.Request) {
			resumable(r)
			r.Route.Attempts = 3
		})
		require.NoError(t, err)
		require.Equal(t, []origin.Record{{Attempt: "r", Service: "s", SoftwareVersion: s.calls[1].Endpoint.SoftwareVersion, Known: true, Endpoint: s.calls[1].Endpoint.Name, StartedMillis: s.calls[1].Endpoint.StartedMillis}}, recorded)
	})
}

// The versions that ended long ago cannot have begun a stream that still goes on.
func TestFormerSoftwareVersionIsForgotten(t *testing.T) {
	es := &view.Endpoints{}
	now := time.Now()
	es.Update(map[string][]advert.Record{"s": {{Name: "e", Service: "s", SoftwareVersion: "a"}}})
	es.RecordSoftware([]advert.Record{{Name: "x", Service: "s", SoftwareVersion: "b", Removed: true}, {Name: "y", Service: "t", SoftwareVersion: "c"}}, now)
	_, only := es.OnlySoftware("s", now.Add(origin.Retention))
	require.False(t, only)
	version, only := es.OnlySoftware("s", now.Add(origin.Retention+time.Second))
	require.True(t, only)
	require.Equal(t, "a", version)
	_, only = es.OnlySoftware("unknown", now)
	require.False(t, only)
}
