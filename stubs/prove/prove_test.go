package prove_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
	"github.com/tanagerspindle/tanagerspindle/stubs/prove"
)

// shape is a small deployment.
func shape() fleet.Shape {
	return fleet.Shape{
		Control: 3, Entries: 2, Engines: 2, Services: 2, Centres: 1, Slots: 2, Places: 8, ServicePlaces: 8,
		Token: 20 * time.Millisecond, Delay: 300 * time.Millisecond, Loads: 10, Flight: 8, Linger: time.Second,
	}
}

// in runs a test against a deployment and checks the engines' side at its end.
func in(t *testing.T, shape fleet.Shape, tune func(*fleet.Fleet), body func(*testing.T, *prove.Site)) {
	t.Helper()
	folder := t.TempDir()
	bubble.Test(t, func(t *testing.T) {
		site, err := prove.Start(t.Context(), folder, shape, tune)
		require.NoError(t, err)
		defer site.Close()
		body(t, site)
		for _, engine := range site.Fleet.Engines {
			require.Empty(t, engine.Faults())
		}
	})
}

// load sends streams, whole completions, lookups and filings to healthy
// entries until stopped; each caller pauses after an answer.
type load struct {
	site  *prove.Site
	pause time.Duration
	over  atomic.Bool
	group conc.WaitGroup
}

const (
	loadCallers = 6
	// shortPause and longPause are pauses of callers.
	shortPause = 100 * time.Millisecond
	longPause  = time.Second
)

func newLoad(site *prove.Site, pause time.Duration) *load {
	l := &load{site: site, pause: pause}
	for caller := range loadCallers {
		l.group.Go(func() {
			for serial := 0; !l.over.Load(); serial++ {
				site.Send(l.ask(caller, serial))
				time.Sleep(l.pause)
			}
		})
	}
	return l
}

func (l *load) ask(caller, serial int) prove.Ask {
	entry := l.site.Balance((caller + serial) % l.site.Fleet.Shape.Entries)
	name := fmt.Sprintf("caller%d-%d", caller, serial)
	ask := prove.Ask{Entry: entry, Key: prove.KeyAnand, Adapter: "notes", Prompt: name, Tokens: 20 + 10*caller, Stream: caller%2 == 0}
	if caller%3 == 1 {
		ask.Key, ask.Adapter = prove.KeyBela, "drafts"
	}
	switch caller {
	case loadCallers - 2:
		return prove.Ask{Entry: entry, Key: prove.KeyAnand, Method: http.MethodGet, Path: "/lookup/" + name}
	case loadCallers - 1:
		return prove.Ask{Entry: entry, Key: prove.KeyBela, Method: http.MethodPost, Path: "/filing", Body: name}
	}
	return ask
}

func (l *load) stop() {
	l.over.Store(true)
	l.group.Wait()
}

// requireWhole checks that every request got the whole answer of its own, and
// every filing ran once.
func requireWhole(t *testing.T, site *prove.Site, least int) {
	t.Helper()
	filings := site.Filings()
	for _, sent := range site.Sent() {
		require.True(t, sent.Whole, "%v", sent)
		switch {
		case sent.Adapter != "":
			require.NotEmpty(t, sent.Version("v1", "v2"), "not its own answer: %v", sent)
		case sent.Method == http.MethodPost:
			require.Equal(t, 1, filings[sent.Body], "%v", sent)
		default:
			require.Contains(t, sent.Text, sent.Path)
		}
	}
	require.Greater(t, len(site.Sent()), least)
}

// TestPlannedStopsUnderLoad stops an entry, an agent of each kind and the
// control leader, and starts them again.
func TestPlannedStopsUnderLoad(t *testing.T) {
	in(t, shape(), nil, func(t *testing.T, site *prove.Site) {
		traffic := newLoad(site, shortPause)
		time.Sleep(2 * time.Second)
		require.NoError(t, site.Fleet.Stop("entry1"))
		site.Fleet.StartEntry(1)
		for _, name := range []string{"engine0", "service1"} {
			time.Sleep(2 * time.Second)
			require.NoError(t, site.Fleet.Stop(name))
			site.Fleet.StartAgent(name)
		}
		time.Sleep(2 * time.Second)
		leader, err := site.Leader(t.Context())
		require.NoError(t, err)
		require.NoError(t, site.Fleet.Stop(leader))
		time.Sleep(time.Second)
		site.Fleet.StartControl(int(leader[len(leader)-1] - '0'))
		time.Sleep(5 * time.Second)
		traffic.stop()
		requireWhole(t, site, 100)
	})
}

// TestEngineLeavesUnderLoad lets an engine leave while it runs requests.
func TestEngineLeavesUnderLoad(t *testing.T) {
	in(t, shape(), nil, func(t *testing.T, site *prove.Site) {
		traffic := newLoad(site, shortPause)
		time.Sleep(3 * time.Second)
		require.NotEmpty(t, site.Completions("", 0, time.Time{}))
		left := time.Now()
		site.Fleet.Engines[0].Leave(true)
		time.Sleep(10 * time.Second)
		traffic.stop()
		require.Empty(t, site.Completions("", 0, left.Add(3*time.Second)))
		require.NotEmpty(t, site.Completions("", 1, left.Add(3*time.Second)))
		requireWhole(t, site, 80)
	})
}

// TestConnectionsGoSilentUnderLoad silences every open connection between an
// entry and the agents, between it and control, and both at once.
func TestConnectionsGoSilentUnderLoad(t *testing.T) {
	in(t, shape(), nil, func(t *testing.T, site *prove.Site) {
		traffic := newLoad(site, shortPause)
		time.Sleep(2 * time.Second)
		for _, hosts := range [][]string{site.Agents(), site.Controls(), append(site.Agents(), site.Controls()...)} {
			for _, host := range hosts {
				site.Network.Silence("entry0", host)
			}
			time.Sleep(6 * time.Second)
		}
		traffic.stop()
		requireWhole(t, site, 100)
		for _, sent := range site.Sent() {
			require.Less(t, sent.Ended.Sub(sent.Began), 10*time.Second, "%v", sent)
		}
	})
}

// TestVersionSwitchUnderLoad makes another version the current one.
func TestVersionSwitchUnderLoad(t *testing.T) {
	in(t, shape(), nil, func(t *testing.T, site *prove.Site) {
		traffic := newLoad(site, shortPause)
		time.Sleep(3 * time.Second)
		config := prove.Config(2)
		notes := config.Adapters["notes"]
		notes.Current = "v2"
		config.Adapters["notes"] = notes
		began := time.Now()
		require.NoError(t, site.Fleet.Apply(t.Context(), config))
		applied := time.Now()
		require.Less(t, applied.Sub(began), 5*time.Second)
		time.Sleep(5 * time.Second)
		traffic.stop()
		requireWhole(t, site, 60)
		counts := map[string]int{}
		for _, sent := range site.Sent() {
			if sent.Adapter != "notes" {
				continue
			}
			version := sent.Version("v1", "v2")
			counts[version]++
			switch {
			case sent.Began.Before(began):
				require.Equal(t, "v1", version, "%v", sent)
			case sent.Began.After(applied):
				require.Equal(t, "v2", version, "%v", sent)
			}
		}
		require.Greater(t, counts["v1"], 5)
		require.Greater(t, counts["v2"], 5)
	})
}

// TestKeyWithdrawnWhileAnEntryIsCutOff withdraws a key that callers use at
// both entries, one of which control cannot tell.
func TestKeyWithdrawnWhileAnEntryIsCutOff(t *testing.T) {
	in(t, shape(), nil, func(t *testing.T, site *prove.Site) {
		var over atomic.Bool
		var group conc.WaitGroup
		for caller := range 4 {
			group.Go(func() {
				for serial := 0; !over.Load(); serial++ {
					site.Send(prove.Ask{
						Entry: caller % 2, Key: prove.KeyBela, Adapter: "drafts", Prompt: fmt.Sprintf("bela%d-%d", caller, serial),
						Tokens: 10 + 100*(caller/2), Stream: true,
					})
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, site.Completions("bela0", -1, time.Time{}))
		site.Network.Isolate("entry0", site.Controls()...)
		config := prove.Config(2)
		for digest, key := range config.Keys {
			if key.Workspace == "bela" {
				delete(config.Keys, digest)
			}
		}
		require.NoError(t, site.Fleet.Apply(t.Context(), config))
		applied := time.Now()
		time.Sleep(15 * time.Second)
		require.False(t, site.Healthy(0), "the cut-off entry's health check is green")
		require.True(t, site.Healthy(1))
		served := site.Send(prove.Ask{Entry: 1, Key: prove.KeyAnand, Adapter: "notes", Prompt: "other", Tokens: 10})
		require.True(t, served.Whole, "%v", served)
		site.Network.Rejoin("entry0", site.Controls()...)
		time.Sleep(5 * time.Second)
		require.True(t, site.Healthy(0))
		over.Store(true)
		group.Wait()
		require.Empty(t, site.Completions("bela", -1, applied.Add(5*time.Second)))
		for _, sent := range site.Sent() {
			if sent.Began.After(applied.Add(5*time.Second)) && sent.Key == prove.KeyBela {
				require.False(t, sent.Whole, "%v", sent)
				require.Equal(t, "no", sent.Ran, "%v", sent)
			}
		}
	})
}

// poison is in the prompts that crash engines.
const poison = "poison"

// TestPoisonSentAgainAndAgain has a caller send a request that crashes its
// engine, at all entries, while another caller is served.
func TestPoisonSentAgainAndAgain(t *testing.T) {
	s := shape()
	s.Engines = 3
	tune := func(f *fleet.Fleet) { f.TuneEngine = poisonous }
	in(t, s, tune, func(t *testing.T, site *prove.Site) {
		var over atomic.Bool
		var group conc.WaitGroup
		group.Go(func() {
			for serial := 0; !over.Load(); serial++ {
				site.Send(prove.Ask{Entry: serial % 2, Key: prove.KeyBela, Adapter: "drafts", Prompt: poison, Tokens: 10})
				time.Sleep(200 * time.Millisecond)
			}
		})
		group.Go(func() {
			for serial := 0; !over.Load(); serial++ {
				site.Send(prove.Ask{
					Entry: serial % 2, Key: prove.KeyBela, Adapter: "drafts", Prompt: fmt.Sprint("bystander", serial), Tokens: 20, Stream: true,
				})
			}
		})
		time.Sleep(40 * time.Second)
		over.Store(true)
		group.Wait()
		require.LessOrEqual(t, len(site.Completions(poison, -1, time.Time{})), 2, "engines that died of it")
		require.NotEmpty(t, site.Completions(poison, -1, time.Time{}))
		refused := 0
		for _, sent := range site.Sent() {
			if strings.HasPrefix(sent.Prompt, "bystander") {
				require.True(t, sent.Whole, "%v", sent)
				require.NotEmpty(t, sent.Version("v1"))
				continue
			}
			require.False(t, sent.Whole)
			if sent.Ran == "no" {
				refused++
			}
		}
		require.Greater(t, refused, 20)
	})
}

func poisonous(engine *model.Engine) { engine.Poison = poison }
