package poison_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/poison"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// crash returns an entry's report about the requests of an endpoint. Each prompt is a
// word, each of its letters a part; a content follows after an equals sign. An exclamation
// mark precedes a request that the endpoint had begun to answer.
func crash(endpoint string, prompts ...string) *plane.Crash {
	report := &plane.Crash{Endpoint: endpoint, Incarnation: 1}
	for i, prompt := range prompts {
		prompt, begun := strings.CutPrefix(prompt, "!")
		prompt, content, ok := strings.Cut(prompt, "=")
		if !ok {
			content = fmt.Sprint(endpoint, i)
		}
		if begun {
			report.Parts = append(report.Parts, plane.CrashPart{Digest: []byte(content), Position: plane.ContentPosition, Begun: true})
		} else {
			report.Digests = append(report.Digests, []byte(content))
		}
		for position, letter := range prompt {
			report.Parts = plane.AddCrashPart(report.Parts, plane.CrashPart{Digest: []byte(string(letter)), Position: int32(position), Begun: begun})
		}
	}
	return report
}

// describe lists the quarantined parts and then, after a slash, the suspected ones, with all
// crashes settled.
func describe(p *poison.Parts) string {
	var quarantined, suspected string
	for _, ban := range p.List(int64(time.Hour)) {
		if ban.Suspect {
			suspected += string(ban.Digest)
		} else {
			quarantined += string(ban.Digest)
		}
	}
	return quarantined + "/" + suspected
}

func TestPartOfAllCrashesIsQuarantined(t *testing.T) {
	for name, test := range map[string]struct {
		// steps are endpoints with the prompts of their unanswered requests, one step a
		// second, or a part on which an endpoint has answered.
		steps []string
		want  string
	}{
		"two crashes make suspects":                    {[]string{"a: fsx", "b: fsx"}, "/fsx"},
		"the last common part, answered before it":     {[]string{"a: fsx", "+f", "b: fsx ft", "+f", "c: fsx"}, "x/"},
		"the last of parts that always come together":  {[]string{"a: fsx", "b: fsx", "c: fsx"}, "x/"},
		"an earlier part with different later ones":    {[]string{"a: fsu", "+f", "b: fsv", "c: fsw", "+f"}, "s/"},
		"a part at different positions":                {[]string{"a: fx", "+f", "b: fsx", "c: gx"}, "x/"},
		"different prompts of one crash":               {[]string{"a: fx fs ft", "b: fx fu", "+f", "c: fx fs"}, "x/"},
		"an earlier part in one crash more waits":      {[]string{"a: fsx", "b: fs", "+f", "c: fsx"}, "/fsx"},
		"until the later part has crashed enough":      {[]string{"a: fsx", "b: fs", "+f", "c: fsx", "d: fsx"}, "x/s"},
		"or no longer explains the crashes":            {[]string{"a: fsx", "b: fs", "+f", "c: fsx", "d: fs", "e: fs"}, "s/"},
		"a crash reported by three entries counts one": {[]string{"a: fx", "a: fx", "a: fx"}, "/fx"},
		"an explained crash is reported late":          {[]string{"a: x", "b: x", "c: x", "b: s", "c: s", "a: s"}, "x/"},
		"an answer clears before the quarantine":       {[]string{"a: x", "b: x", "+x", "c: x"}, "/x"},
		"an answer ends the quarantine":                {[]string{"a: x", "b: x", "c: x", "+x"}, "/"},
		"and the next suspect has all crashes again":   {[]string{"a: sx", "b: sx", "c: sx", "+x"}, "s/"},
		"one content in all crashes":                   {[]string{"a: fsx=C", "+f", "b: fsx=C", "c: fsx=C fs"}, "/"},
		"one content in most crashes":                  {[]string{"a: fsx=C", "+f", "b: fsx=C", "c: fsx"}, "x/"},
		"a content that an endpoint answered":          {[]string{"a: fsx=C", "+f", "b: fsx=C", "c: fsx=C", "+C"}, "x/"},
		"begun, one crash":                             {[]string{"a: !fx=C"}, "/"},
		"begun, two crashes":                           {[]string{"a: !fx=C", "b: !fx=C"}, "/Cfx"},
		"begun, one content in all crashes":            {[]string{"a: !fx=C !fy", "b: !fx=C !fz", "c: !fx=C !fu"}, "C/"},
		"begun, one part in all crashes":               {[]string{"a: !fx", "b: !fx !fy", "+f", "c: !fx"}, "x/"},
		"begun, cut in each crash beside the cause":    {[]string{"a: !x=C !y=D", "b: !x=C !y=D", "c: !x=C !y=D"}, "/CDxy"},
		"until one crash tells them apart":             {[]string{"a: !x=C !y=D", "b: !x=C !y=D", "c: !x=C !y=D", "d: !x=C"}, "C/"},
		"or a complete answer":                         {[]string{"a: !x=C !y=D", "b: !x=C !y=D", "+D", "+y", "c: !x=C !y=D"}, "C/"},
		"begun at an endpoint, then before an answer":  {[]string{"a: !x=C", "b: x=C", "c: !x=C"}, "C/"},
		"before an answer goes first":                  {[]string{"a: fx !y=D", "+f", "b: fx !y=D", "c: fx !y=D"}, "x/"},
		"a complete answer ends the quarantine":        {[]string{"a: !x=C", "b: !x=C", "c: !x=C", "+C", "+x"}, "/"},
		"two causes":                                   {[]string{"a: fx", "b: fy", "+f", "c: fx", "d: fy", "e: fx", "f: fy"}, "xy/"},
	} {
		t.Run(name, func(t *testing.T) {
			parts, now := &poison.Parts{}, int64(0)
			for _, step := range test.steps {
				now += int64(time.Second)
				if part, answered := strings.CutPrefix(step, "+"); answered {
					parts.Clear([]byte(part), now)
					continue
				}
				endpoint, prompts, _ := strings.Cut(step, ": ")
				parts.Apply(crash(endpoint, strings.Fields(prompts)...), now)
			}
			parts.Expire(now + int64(time.Second))
			require.Equal(t, test.want, describe(parts))
			restored := &poison.Parts{}
			restored.Restore(parts.Snapshot())
			require.Equal(t, test.want, describe(restored))
			require.Equal(t, parts.Revision(), restored.Revision())
		})
	}
}

// Endpoints that lose power together are no evidence against what they all worked on.
func TestEndpointsThatCrashTogetherCountOnce(t *testing.T) {
	parts := &poison.Parts{}
	for i := range int64(5) {
		parts.Apply(crash(fmt.Sprint("a", i), "fs"), i*int64(poison.SimultaneousCrashes)/5)
	}
	require.Equal(t, "/fs", describe(parts))
}

// A part on which endpoints had begun to answer counts once a second: sound requests with it
// are answered completely elsewhere in that time.
func TestCrashesInQuickSuccessionCountOnceForPartsThatHaveBegun(t *testing.T) {
	for name, test := range map[string]struct {
		crashes  int
		interval time.Duration
		prompt   string
		want     string
	}{
		"ten in 0.9 s":        {10, 95 * time.Millisecond, "!x", "/"},
		"ten in 1.7 s":        {10, 185 * time.Millisecond, "!x", "/x"},
		"ten in 3.2 s":        {10, 350 * time.Millisecond, "!x", "x/"},
		"contents in 0.2 s":   {3, 90 * time.Millisecond, "!=C", "/"},
		"contents in 0.7 s":   {3, 350 * time.Millisecond, "!=C", "C/"},
		"before their answer": {3, 120 * time.Millisecond, "x", "x/"},
	} {
		t.Run(name, func(t *testing.T) {
			parts := &poison.Parts{}
			for i := range test.crashes {
				parts.Apply(crash(fmt.Sprint("a", i), test.prompt), int64(i)*int64(test.interval))
			}
			parts.Expire(int64(time.Minute))
			require.Equal(t, test.want, describe(parts))
		})
	}
}

// Several endpoints crashed together, again and again, for reasons of their own. Streams that
// were cut each time, and rare parts of prompts, were taken for the cause.
func TestEndpointsThatCrashTogetherAreNoEvidenceAgainstStreams(t *testing.T) {
	const spread = 40 * time.Millisecond
	for name, test := range map[string]struct {
		// crashes are the prompts at each endpoint of one round, which crash within spread;
		// the rounds are two seconds apart.
		crashes []string
		want    string
	}{
		"cut at one of two":                 {[]string{"!fx=C", "!fy"}, "/"},
		"cut at one of two, reported later": {[]string{"!fy", "!fx=C"}, "/"},
		"the cause at both":                 {[]string{"!x=C", "!x=C !y"}, "C/"},
		"the part of the cause at both":     {[]string{"!x", "!x !y"}, "x/"},
		"alone":                             {[]string{"!x=C"}, "C/"},
	} {
		t.Run(name, func(t *testing.T) {
			parts, now := &poison.Parts{}, int64(0)
			for round := range 3 {
				for i, prompts := range test.crashes {
					parts.Apply(crash(fmt.Sprint(round, "-", i), strings.Fields(prompts)...), now+int64(i)*int64(spread))
				}
				now += int64(2 * time.Second)
				due, ok := parts.NextExpiry()
				require.True(t, ok)
				require.Less(t, due, now, "the crashes settle before other commands come")
				require.Empty(t, strings.Split(describe(parts), "/")[0])
				if round < 2 {
					parts.Expire(due)
					copied := &poison.Parts{}
					copied.Restore(parts.Snapshot())
					copied.Expire(due + 1)
					require.Equal(t, parts.Revision(), copied.Revision(), "nothing settles twice")
				}
			}
			restored := &poison.Parts{}
			restored.Restore(parts.Snapshot())
			revision := parts.Revision()
			parts.Expire(now)
			restored.Expire(now)
			require.Equal(t, parts.Revision(), restored.Revision())
			require.Equal(t, describe(parts), describe(restored))
			require.Equal(t, test.want, strings.ReplaceAll(describe(parts), "f", ""))
			if test.want != "/" {
				require.Greater(t, parts.Revision(), revision)
			}
		})
	}
}

func TestQuarantineAndCrashesExpire(t *testing.T) {
	parts := &poison.Parts{}
	_, ok := parts.NextExpiry()
	require.False(t, ok)
	for i := range int64(3) {
		parts.Apply(crash(fmt.Sprint("a", i), "x"), i*int64(time.Second))
	}
	parts.Apply(crash("b", "y"), 0)
	require.Equal(t, "x/y", describe(parts))
	revision := parts.Revision()
	due, ok := parts.NextExpiry()
	require.True(t, ok)
	require.Equal(t, int64(poison.CrashRetention), due)
	parts.Expire(int64(poison.CrashRetention + time.Second))
	require.Equal(t, "x/", describe(parts))
	require.Greater(t, parts.Revision(), revision)
	parts.Expire(int64(poison.QuarantineDuration + time.Minute))
	require.Equal(t, "/", describe(parts))
	for i := range int64(3) {
		parts.Apply(crash(fmt.Sprint("c", i), "x"), int64(time.Hour)+i*int64(time.Second))
	}
	require.Equal(t, "x/", describe(parts))
	require.True(t, parts.Clear([]byte("x"), int64(time.Hour)))
	require.False(t, parts.Clear([]byte("x"), int64(time.Hour)))
	parts.Apply(crash("d", "x"), int64(time.Hour+time.Minute))
	require.Equal(t, "/x", describe(parts), "the crashes before count no more")
}

func TestPartsAreBounded(t *testing.T) {
	parts := &poison.Parts{}
	for i := range 500 {
		report := &plane.Crash{Endpoint: fmt.Sprint("e", i), Incarnation: 1}
		for j := range 500 {
			report.Parts = append(report.Parts, plane.CrashPart{Digest: fmt.Append(nil, i, "-", j)})
		}
		parts.Apply(report, int64(i))
	}
	table := parts.Snapshot()
	require.Len(t, table.Crashes, 64)
	require.Len(t, table.Crashes[0].Parts, 128)
	require.Len(t, parts.List(0), 64*128)
	begun := &plane.Crash{Endpoint: "e499", Incarnation: 1}
	for j := range 500 {
		begun.Parts = append(begun.Parts, plane.CrashPart{Digest: fmt.Append(nil, j), Begun: true})
	}
	parts.Apply(begun, 499)
	table = parts.Snapshot()
	require.Len(t, table.Crashes[63].Parts, 2*128, "neither kind takes the other's room")
}
