package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/picker"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

func newPicker(records ...roster.Record) *picker.Picker {
	random := rand.New(rand.NewPCG(1, 2))
	p := &picker.Picker{DataCentre: "rajkot", Random: random.IntN}
	p.Update(records)
	return p
}

func engine(at int, edit ...func(*roster.Record)) roster.Record {
	r := roster.Record{Agent: fmt.Sprintf("e%02d", at), Incarnation: 1, Model: "base", DataCentre: "surat", AdapterSlots: 4, RequestSlots: 10, Ready: true}
	for _, e := range edit {
		e(&r)
	}
	return r
}

func engines(count int, edit ...func(*roster.Record)) []roster.Record {
	var list []roster.Record
	for at := range count {
		list = append(list, engine(at, edit...))
	}
	return list
}

func resident(adapter string) func(*roster.Record) {
	return func(r *roster.Record) {
		r.ResidentAdapters = append(r.ResidentAdapters, roster.ResidentAdapter{Adapter: adapter, Version: "v1"})
	}
}

func running(count int32) func(*roster.Record) {
	return func(r *roster.Record) { r.Running = count }
}

func requirements(adapter string) *picker.Requirements {
	return &picker.Requirements{Model: "base", Adapter: adapter, Version: "v1"}
}

func TestPickRules(t *testing.T) {
	draining := func(r *roster.Record) { r.Draining = true }
	down := func(r *roster.Record) { r.Ready = false }
	near := func(r *roster.Record) { r.DataCentre = "rajkot" }
	queued := func(r *roster.Record) { r.Queued = []int32{0, 0, 30} }
	cases := []struct {
		name    string
		records []roster.Record
		want    *picker.Requirements
		agent   string
	}{
		{"resident before preferred", append(engines(9), engine(9, resident("a"))), requirements("a"), "e09"},
		{"resident though busier", append(engines(9), engine(9, resident("a"), running(15))), requirements("a"), "e09"},
		{"the less loaded of two resident", []roster.Record{engine(0, resident("a"), running(8)), engine(1, resident("a"), running(2))}, requirements("a"), "e01"},
		{"the local of two equal", []roster.Record{engine(0, resident("a")), engine(1, resident("a"), near)}, requirements("a"), "e01"},
		{"load before data centre", []roster.Record{engine(0, resident("a")), engine(1, resident("a"), near, running(8))}, requirements("a"), "e00"},
		{"no draining endpoint", []roster.Record{engine(0), engine(1, resident("a"), draining)}, requirements("a"), "e00"},
		{"no endpoint that is not ready", []roster.Record{engine(0), engine(1, resident("a"), down)}, requirements("a"), "e00"},
		{"no excluded endpoint", []roster.Record{engine(0), engine(1, resident("a"))}, &picker.Requirements{Model: "base", Adapter: "a", Version: "v1", Excluded: []string{"e01"}}, "e00"},
		{"no other version", []roster.Record{engine(1, resident("a"), down), engine(0)}, &picker.Requirements{Model: "base", Adapter: "a", Version: "v2"}, "e00"},
		{"queued long work does not count for a person", []roster.Record{engine(0, resident("a"), queued), engine(1, resident("a"), running(5))}, requirements("a"), "e00"},
		{"queued long work counts for long work", []roster.Record{engine(0, resident("a"), queued), engine(1, resident("a"), running(5))}, &picker.Requirements{Model: "base", Adapter: "a", Version: "v1", Class: call.ClassLong}, "e01"},
		{"none", []roster.Record{engine(0, draining)}, requirements("a"), ""},
	}
	for _, c := range cases {
		p := newPicker(c.records...)
		got, err := p.Pick(c.want)
		if c.agent == "" {
			require.Error(t, err, c.name)
			continue
		}
		require.NoError(t, err, c.name)
		require.Equal(t, c.agent, got.Agent, c.name)
	}
}

func TestColdAdapterHasOnePreferredEndpoint(t *testing.T) {
	const adapters = 3000
	first, second := newPicker(engines(9)...), newPicker(engines(9)...)
	counts := map[string]int{}
	for at := range adapters {
		name := fmt.Sprintf("adapter-%d", at)
		one, err := first.Pick(requirements(name))
		require.NoError(t, err)
		first.Release(one)
		two, err := second.Pick(requirements(name))
		require.NoError(t, err)
		second.Release(two)
		require.Equal(t, one.Agent, two.Agent)
		counts[one.Agent]++
	}
	for agent, count := range counts {
		require.InEpsilon(t, adapters/9, count, 0.2, agent)
	}
}

func TestFewAdaptersMoveWhenAnEndpointLeaves(t *testing.T) {
	const adapters = 1000
	all, fewer := newPicker(engines(10)...), newPicker(engines(9)...)
	moved := 0
	for at := range adapters {
		before, _ := all.Pick(requirements(fmt.Sprint(at)))
		all.Release(before)
		after, _ := fewer.Pick(requirements(fmt.Sprint(at)))
		fewer.Release(after)
		if before.Agent != after.Agent {
			require.Equal(t, "e09", before.Agent)
			moved++
		}
	}
	require.InEpsilon(t, adapters/10, moved, 0.3)
}

func TestHotAdapterSpreadsOnlyUnderLoad(t *testing.T) {
	p := newPicker(engines(9)...)
	used := map[string]int{}
	for range 40 {
		got, err := p.Pick(requirements("hot"))
		require.NoError(t, err)
		used[got.Agent]++
	}
	require.Len(t, used, 4, "12 or 13 requests to a preferred endpoint with 10 slots, then to the next one")
	calm := newPicker(engines(9)...)
	used = map[string]int{}
	for range 40 {
		got, err := calm.Pick(requirements("hot"))
		require.NoError(t, err)
		calm.Release(got)
		used[got.Agent]++
	}
	require.Len(t, used, 1)
}

func TestSentAttemptsCountBeforeTheNextReport(t *testing.T) {
	records := engines(2, resident("a"))
	p := newPicker(records...)
	count := map[string]int{}
	var choices []*picker.Choice
	for range 20 {
		got, err := p.Pick(requirements("a"))
		require.NoError(t, err)
		count[got.Agent]++
		choices = append(choices, got)
	}
	require.InDelta(t, 10, count["e00"], 2)
	for _, choice := range choices {
		p.Release(choice)
	}
	records[0].Running = 8
	p.Update(records[:1])
	for range 5 {
		got, err := p.Pick(requirements("a"))
		require.NoError(t, err)
		require.Equal(t, "e01", got.Agent)
	}
}

func TestSuspectsUseDifferentEndpoints(t *testing.T) {
	p := newPicker(engines(2, resident("a"))...)
	suspect := requirements("a")
	suspect.Suspect = true
	first, err := p.Pick(suspect)
	require.NoError(t, err)
	second, err := p.Pick(suspect)
	require.NoError(t, err)
	require.NotEqual(t, first.Agent, second.Agent)
	_, err = p.Pick(suspect)
	require.Error(t, err)
	p.Release(first)
	third, err := p.Pick(suspect)
	require.NoError(t, err)
	require.Equal(t, first.Agent, third.Agent)
}

func TestPromptPrefersEndpointWithItsPrefix(t *testing.T) {
	p := newPicker(engines(3, resident("a"))...)
	promptRequirements := requirements("a")
	promptRequirements.Prefix = []uint64{1, 2, 3}
	first, err := p.Pick(promptRequirements)
	require.NoError(t, err)
	p.Release(first)
	same := 0
	for range 300 {
		got, err := p.Pick(promptRequirements)
		require.NoError(t, err)
		p.Release(got)
		if got.Agent == first.Agent {
			same++
		}
		first = got
	}
	require.Greater(t, same, 150, "two of three draws include the endpoint with the prefix")
}

func TestChooseReplacesTheRules(t *testing.T) {
	p := newPicker(append(engines(3), engine(3, resident("a")))...)
	p.Choose = func(candidates []picker.Candidate) int {
		require.Len(t, candidates, 4)
		require.True(t, candidates[3].Resident)
		return 1
	}
	got, err := p.Pick(requirements("a"))
	require.NoError(t, err)
	require.Equal(t, "e01", got.Agent)
}

// BenchmarkPick measures a choice among 600 endpoints, for adapters that are
// resident at one of them and for adapters that are resident at none.
func BenchmarkPick(b *testing.B) {
	const endpoints, slots = 600, 32
	var records []roster.Record
	for at := range endpoints {
		record := engine(at, func(r *roster.Record) { r.Agent = fmt.Sprintf("e%03d", at) })
		for slot := range slots {
			resident(fmt.Sprint(at*slots + slot))(&record)
		}
		records = append(records, record)
	}
	names := make([]string, endpoints*slots)
	for at := range names {
		names[at] = fmt.Sprint(at)
	}
	p := newPicker(records...)
	pick := func(b *testing.B, prefix string) {
		b.ReportAllocs()
		for at := 0; b.Loop(); at++ {
			got, err := p.Pick(requirements(prefix + names[at%len(names)]))
			require.NoError(b, err)
			p.Release(got)
		}
	}
	b.Run("resident", func(b *testing.B) { pick(b, "") })
	b.Run("cold", func(b *testing.B) { pick(b, "cold") })
	b.Run("update", func(b *testing.B) {
		for at := 0; b.Loop(); at++ {
			p.Update(records[at%endpoints : at%endpoints+1])
		}
	})
}

func TestReportedLoadOfAnAnswerCounts(t *testing.T) {
	p := &picker.Picker{Random: func(int) int { return 0 }}
	p.Update([]roster.Record{
		{Agent: "one", Incarnation: 1, Model: "base", RequestSlots: 8, Ready: true},
		{Agent: "two", Incarnation: 1, Model: "base", RequestSlots: 8, Ready: true},
	})
	want := &picker.Requirements{Model: "base", Adapter: "adapter", Version: "1"}
	first, err := p.Pick(want)
	require.NoError(t, err)
	p.UpdateLoad(first, 8, []int32{20, 0, 0})
	p.Release(first)
	second, err := p.Pick(want)
	require.NoError(t, err)
	require.NotEqual(t, first.Agent, second.Agent)
}
