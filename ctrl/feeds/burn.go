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

// slotsPerWindow is the number of equal parts into which each window is divided.
const slotsPerWindow = 60

// burnWindows are the lengths of the windows over which error-budget burn is reported.
var burnWindows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// maxObjectives limits the number of workspace and route pairs with counts; further
// pairs are ignored.
const maxObjectives = 4096

// objectiveKey identifies a service level objective.
type objectiveKey struct{ workspace, route string }

// windowSlot holds the counts of one part of a window; index is the part's number
// since the Unix epoch.
type windowSlot struct {
	index     int64
	good, bad int64
}

// burnCounter counts good and bad requests per objective in sliding windows.
type burnCounter struct {
	mutex  sync.Mutex
	counts map[objectiveKey]*[len(burnWindows)][slotsPerWindow]windowSlot
}

func (b *burnCounter) add(counts []plane.BurnCount) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.counts == nil {
		b.counts = map[objectiveKey]*[len(burnWindows)][slotsPerWindow]windowSlot{}
	}
	for _, count := range counts {
		key := objectiveKey{workspace: count.Workspace, route: count.Route}
		if b.counts[key] == nil && len(b.counts) >= maxObjectives {
			continue
		}
		if b.counts[key] == nil {
			b.counts[key] = &[len(burnWindows)][slotsPerWindow]windowSlot{}
		}
		for i, length := range burnWindows {
			b.counts[key][i][slotIndex(length)%slotsPerWindow].add(slotIndex(length), count)
		}
	}
}

func slotIndex(length time.Duration) int64 {
	return time.Now().UnixNano() / int64(length/slotsPerWindow)
}

func (s *windowSlot) add(index int64, count plane.BurnCount) {
	if s.index != index {
		*s = windowSlot{index: index}
	}
	s.good += count.Good
	s.bad += count.Bad
}

// list returns the counts of all windows, sorted by workspace, route and length, each
// with the objective's required share of good requests.
func (b *burnCounter) list(config *conf.Config) []plane.BurnWindow {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []plane.BurnWindow
	for key, parts := range b.counts {
		for i, length := range burnWindows {
			shown := plane.BurnWindow{Workspace: key.workspace, Route: key.route, Length: span.Duration(length), Share: objectiveShare(config, key)}
			for _, part := range parts[i] {
				if slotIndex(length)-part.index < slotsPerWindow {
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

func objectiveShare(config *conf.Config, key objectiveKey) float64 {
	if config == nil {
		return 0
	}
	if own := config.Routes[key.route].Objective.Share; own > 0 {
		return own
	}
	return config.Workspaces[key.workspace].Objective.Share
}

// countBurn adds an entry's counts and queues them for the other replicas.
func (f *Feeds) countBurn(counts []plane.BurnCount) {
	if len(counts) == 0 {
		return
	}
	f.burn.add(counts)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.peers {
		for _, count := range counts {
			p.addBurn(count)
		}
	}
}

// BurnWindows returns the fleet-wide counts of good and bad requests per window.
func (f *Feeds) BurnWindows() []plane.BurnWindow {
	config, _ := f.Machine.Config()
	return f.burn.list(config)
}
