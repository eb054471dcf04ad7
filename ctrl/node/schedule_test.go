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

var schedules = flag.Int("schedules", 3, "number of fault schedules to run over complete replicas")

// history records what the clients of a group observed.
type history struct {
	mutex sync.Mutex
	// acknowledged is each writer's last number that is known to be committed.
	acknowledged [writers]int
	reads        int
	violation    string
}

func (h *history) lastAcknowledged(writer int) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.acknowledged[writer]
}

// randomReplica returns a random running replica, nil if none is running.
func (g *group) randomReplica(random *rand.Rand) *replica {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	names := sorted(g.replicas)
	if len(names) == 0 {
		return nil
	}
	return g.replicas[names[random.IntN(len(names))]]
}

// write increments a writer's key until ctx ends.
func (g *group) write(ctx context.Context, h *history, writer int, random *rand.Rand) {
	for next := 1; ctx.Err() == nil; {
		limitedCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		r := g.randomReplica(random)
		if r != nil {
			if _, err := r.Propose(limitedCtx, fmt.Appendf(nil, "w%d=%d", writer, next)); err == nil {
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

// observe reads after barriers at random replicas. Each read must return at least
// the value acknowledged before the read began.
func (g *group) observe(ctx context.Context, h *history, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
		writer := random.IntN(writers)
		before := h.lastAcknowledged(writer)
		r := g.randomReplica(random)
		if r == nil {
			continue
		}
		limitedCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := r.Barrier(limitedCtx)
		cancel()
		if err != nil {
			continue
		}
		seen, _ := strconv.Atoi(r.get(fmt.Sprint("w", writer)))
		h.mutex.Lock()
		h.reads++
		if seen < before {
			h.violation = fmt.Sprintf("%s read %d of writer %d after %d was acknowledged", r.name, seen, writer, before)
		}
		h.mutex.Unlock()
	}
}

// injectFault injects one fault or repairs earlier ones. Earlier faults may still
// be present.
func (g *group) injectFault(random *rand.Rand) {
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
		if running && g.toleratesDiskLoss(name) {
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

// killAll kills all replicas at the same moment and restarts them.
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

// split partitions the group into two halves.
func (g *group) split() {
	half := len(g.peers) / 2
	for _, one := range g.peers[:half] {
		for _, other := range g.peers[half:] {
			g.network.Isolate(one.Name, other.Name)
		}
	}
}

// toleratesDiskLoss reports whether a leader other than the named replica sees only
// synced, responsive voters and no learner, so that the named replica's disk may be
// wiped.
func (g *group) toleratesDiskLoss(name string) bool {
	for _, r := range g.replicas {
		status := r.Status()
		if !status.Leading || r.name == name || len(status.Members) != len(g.peers) {
			continue
		}
		healthy := true
		for _, m := range status.Members {
			healthy = healthy && m.Voter && m.LagEntries == 0 && m.SilentFor.Std() < 200*time.Millisecond
		}
		return healthy
	}
	return false
}

// groupSizes are the group sizes of successive schedules. They tolerate one, two
// and three losses.
var groupSizes = [...]int{3, 5, 7}

func TestScheduleOverWholeReplicas(t *testing.T) {
	var total, reads, wiped int
	for seed := range uint64(*schedules) {
		size := groupSizes[seed%uint64(len(groupSizes))]
		inBubble(t, 5000+100*seed, size, func(g *group) {
			g.snapshotEntries = 60
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
				g.injectFault(random)
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
			require.Empty(t, h.violation, "seed %d", seed)
			for _, name := range sorted(g.replicas) {
				for writer := range writers {
					got, _ := strconv.Atoi(g.read(name, fmt.Sprint("w", writer)))
					require.GreaterOrEqual(t, got, h.lastAcknowledged(writer), "seed %d, %s", seed, name)
				}
			}
			wiped += g.wiped
			names, learners := votersAndLearners(g.leader())
			require.Len(t, names, size, "seed %d", seed)
			require.Empty(t, learners, "seed %d", seed)
			total += h.lastAcknowledged(0) + h.lastAcknowledged(1) + h.lastAcknowledged(2)
			reads += h.reads
		})
	}
	t.Logf("%d writes acknowledged, %d reads, %d disks wiped", total, reads, wiped)
	require.NotZero(t, wiped)
}
