package node_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const writers = 3

var schedules = flag.Int("schedules", 3, "number of schedules over whole replicas")

// history is what the callers of a group know.
type history struct {
	mutex sync.Mutex
	// acknowledged is each writer's last number known to be committed.
	acknowledged [writers]int
	reads        int
	wrong        string
}

func (h *history) last(writer int) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.acknowledged[writer]
}

// present returns a random living replica.
func (g *group) present(random *rand.Rand) *replica {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	names := sorted(g.replicas)
	if len(names) == 0 {
		return nil
	}
	return g.replicas[names[random.IntN(len(names))]]
}

// write counts a writer's key up until ctx ends.
func (g *group) write(ctx context.Context, h *history, writer int, random *rand.Rand) {
	for next := 1; ctx.Err() == nil; {
		limited, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		r := g.present(random)
		if r != nil {
			if _, err := r.Propose(limited, fmt.Appendf(nil, "w%d=%d", writer, next)); err == nil {
				h.mutex.Lock()
				h.acknowledged[writer] = next
				h.mutex.Unlock()
				next++
			}
		}
		cancel()
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// observe reads behind barriers at any replica: each read must see what was
// acknowledged before it began.
func (g *group) observe(ctx context.Context, h *history, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
		writer := random.IntN(writers)
		before := h.last(writer)
		r := g.present(random)
		if r == nil {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, time.Second)
		_, err := r.Barrier(limited)
		cancel()
		if err != nil {
			continue
		}
		seen, _ := strconv.Atoi(r.get(fmt.Sprint("w", writer)))
		h.mutex.Lock()
		h.reads++
		if seen < before {
			h.wrong = fmt.Sprintf("%s read %d of writer %d after %d was acknowledged", r.name, seen, writer, before)
		}
		h.mutex.Unlock()
	}
}

// trouble brings about one fault; earlier ones may still last.
func (g *group) trouble(random *rand.Rand) {
	name := g.peers[random.IntN(len(g.peers))].Name
	other := g.others(name)[random.IntN(len(g.peers)-1)]
	running := g.replicas[name] != nil
	switch random.IntN(12) {
	case 0:
		g.network.Isolate(name, g.others(name)...)
	case 1:
		g.network.Cut(name, other)
	case 2:
		g.network.Silence(name, other)
	case 3, 4:
		for _, peer := range g.peers {
			g.network.Rejoin(peer.Name, g.others(peer.Name)...)
		}
	case 5, 8, 9:
		if running && g.whole(name) {
			g.crash(name)
			g.disks[name].Wipe()
			g.start(name)
			g.wiped++
		}
	case 6:
		if running {
			g.crash(name)
		}
	case 10:
		g.killAll()
	case 11:
		g.split()
	default:
		if !running {
			g.start(name)
		}
	}
}

// killAll kills all replicas at the same moment and starts them again.
func (g *group) killAll() {
	for _, peer := range g.peers {
		if g.replicas[peer.Name] != nil {
			g.crash(peer.Name)
		}
	}
	for _, peer := range g.peers {
		g.start(peer.Name)
	}
}

// split cuts the group into two halves.
func (g *group) split() {
	half := len(g.peers) / 2
	for _, one := range g.peers[:half] {
		for _, other := range g.peers[half:] {
			g.network.Isolate(one.Name, other.Name)
		}
	}
}

// whole reports whether some leader has synced voters only and no learner, so
// that one disk may be lost.
func (g *group) whole(name string) bool {
	for _, r := range g.replicas {
		status := r.Status()
		if !status.Leading || r.name == name || len(status.Members) != len(g.peers) {
			continue
		}
		sound := true
		for _, m := range status.Members {
			sound = sound && m.Voter && m.LagEntries == 0 && m.SilentFor.Std() < 200*time.Millisecond
		}
		return sound
	}
	return false
}

// sizes are the numbers of replicas, in turn: those of one, two and three
// tolerated losses.
var sizes = [...]int{3, 5, 7}

func TestScheduleOverWholeReplicas(t *testing.T) {
	var total, reads, wiped int
	for seed := range uint64(*schedules) {
		size := sizes[seed%uint64(len(sizes))]
		inBubble(t, 5000+100*seed, size, func(g *group) {
			g.every = 60
			random := rand.New(rand.NewPCG(seed, 1))
			for _, peer := range g.peers {
				g.disks[peer.Name].KeepUnsynced = func(n int) int { return n / 2 }
			}
			h := &history{}
			ctx, cancel := context.WithCancel(context.Background())
			for writer := range writers {
				go g.write(ctx, h, writer, rand.New(rand.NewPCG(seed, uint64(10+writer))))
				go g.observe(ctx, h, rand.New(rand.NewPCG(seed, uint64(20+writer))))
			}
			for range 50 {
				time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
				g.trouble(random)
			}
			for _, peer := range g.peers {
				g.network.Rejoin(peer.Name, g.others(peer.Name)...)
				if g.replicas[peer.Name] == nil {
					g.start(peer.Name)
				}
			}
			time.Sleep(30 * time.Second)
			cancel()
			time.Sleep(2 * time.Second)
			require.Empty(t, h.wrong, "seed %d", seed)
			for _, name := range sorted(g.replicas) {
				for writer := range writers {
					got, _ := strconv.Atoi(g.read(name, fmt.Sprint("w", writer)))
					require.GreaterOrEqual(t, got, h.last(writer), "seed %d, %s", seed, name)
				}
			}
			wiped += g.wiped
			names, learners := voters(g.leader())
			require.Len(t, names, size, "seed %d", seed)
			require.Empty(t, learners, "seed %d", seed)
			total += h.last(0) + h.last(1) + h.last(2)
			reads += h.reads
		})
	}
	t.Logf("%d changes acknowledged, %d reads, %d disks lost", total, reads, wiped)
	require.NotZero(t, wiped)
}
