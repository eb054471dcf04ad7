package feeds

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// slots is the number of parts that a window is counted in.
const slots = 60

// windows are the lengths that burn is shown for.
var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// mostGoals bounds the pairs of workspace and route that are counted.
const mostGoals = 4096

// goal names what is counted together.
type goal struct{ workspace, route string }

// slot is one part of a window.
type slot struct {
	index     int64
	good, bad int64
}

// burn counts good and bad requests over the windows.
type burn struct {
	mutex sync.Mutex
	goals map[goal]*[len(windows)][slots]slot
}

func (b *burn) add(counts []plane.BurnCount) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.goals == nil {
		b.goals = map[goal]*[len(windows)][slots]slot{}
	}
	for _, count := range counts {
		key := goal{workspace: count.Workspace, route: count.Route}
		if b.goals[key] == nil && len(b.goals) >= mostGoals {
			continue
		}
		if b.goals[key] == nil {
			b.goals[key] = &[len(windows)][slots]slot{}
		}
		for i, length := range windows {
			b.goals[key][i][slotIndex(length)%slots].add(slotIndex(length), count)
		}
	}
}

func slotIndex(length time.Duration) int64 {
	return time.Now().UnixNano() / int64(length/slots)
}

func (s *slot) add(index int64, count plane.BurnCount) {
	if s.index != index {
		*s = slot{index: index}
	}
	s.good += count.Good
	s.bad += count.Bad
}

// list returns the counts of all windows, sorted, with the shares that the
// configuration asks for.
func (b *burn) list(config *conf.Config) []plane.BurnWindow {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []plane.BurnWindow
	for key, parts := range b.goals {
		for i, length := range windows {
			shown := plane.BurnWindow{Workspace: key.workspace, Route: key.route, Length: span.Duration(length), Share: share(config, key)}
			for _, part := range parts[i] {
				if slotIndex(length)-part.index < slots {
					shown.Good += part.good
					shown.Bad += part.bad
				}
			}
			list = append(list, shown)
		}
	}
	slices.SortFunc(list, func(a, b plane.BurnWindow) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Length, b.Length))
	})
	return list
}

func share(config *conf.Config, key goal) float64 {
	if config == nil {
		return 0
	}
	if own := config.Routes[key.route].Objective.Share; own > 0 {
		return own
	}
	return config.Workspaces[key.workspace].Objective.Share
}

// countBurn takes an entry's counts and keeps them for the other replicas.
func (f *Feeds) countBurn(counts []plane.BurnCount) {
	if len(counts) == 0 {
		return
	}
	f.burn.add(counts)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.peers {
		for _, count := range counts {
			p.add(count)
		}
	}
}

// BurnWindows returns the fleet's counts of good and bad requests by window.
func (f *Feeds) BurnWindows() []plane.BurnWindow {
	config, _ := f.Machine.Config()
	return f.burn.list(config)
}
