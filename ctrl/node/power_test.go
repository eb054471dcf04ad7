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

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
)

var (
	powerSeeds     = flag.Int("power-seeds", 4, "number of schedules that end in a loss of power and disks")
	firstPowerSeed = flag.Uint64("first-power-seed", 0, "first seed of these schedules")
)

const (
	// maxPowerDelay is the longest time from an acknowledgement to the loss of power.
	maxPowerDelay = 400 * time.Millisecond
	// restartSpread is the time within which all replicas start again.
	restartSpread = time.Second
	// recoveryTime is the time from the restart to the first read.
	recoveryTime = 5 * time.Second
)

// powerGroup is an open group whose replicas restart by themselves. Its disks take
// time to sync.
type powerGroup struct {
	*group
	// losses is the number of disks that may be lost at once.
	losses int
	random *rand.Rand
	h      history
	// startMutex guards the group's fields that start uses.
	startMutex sync.Mutex

	// diskMutex guards the fields below, which the disks use.
	diskMutex  sync.Mutex
	diskRandom *rand.Rand
	slow       map[string]time.Duration
	failing    map[string]bool
}

// newPowerGroup starts a group that tolerates one to four lost disks, with up to two
// replicas that are no voters.
func newPowerGroup(g *group, seed uint64) *powerGroup {
	p := &powerGroup{
		group: g, losses: 1 + int(seed%4), random: rand.New(rand.NewPCG(seed, 1)),
		diskRandom: rand.New(rand.NewPCG(seed, 2)), slow: map[string]time.Duration{}, failing: map[string]bool{},
	}
	g.voters = 2*p.losses + 1
	g.snapshotEntries = 40
	g.noBootstrap = map[string]bool{}
	for i := range g.voters + p.random.IntN(3) {
		name := fmt.Sprint("c", i+1)
		if i < g.voters {
			g.peers = append(g.peers, node.Peer{Name: name, Address: name + ":1"})
		}
		g.disks[name] = &disk.Memory{
			KeepUnsynced:    func(n int) int { return p.diskInt(n + 1) },
			CrashBeforeSync: func() bool { time.Sleep(p.syncTime(name)); return false },
			FailSync:        func() bool { return p.failsSync(name) },
		}
	}
	for i := range len(g.disks) {
		g.start(fmt.Sprint("c", i+1))
	}
	return p
}

func (p *powerGroup) diskInt(n int) int {
	p.diskMutex.Lock()
	defer p.diskMutex.Unlock()
	return p.diskRandom.IntN(n)
}

func (p *powerGroup) syncTime(name string) time.Duration {
	p.diskMutex.Lock()
	defer p.diskMutex.Unlock()
	return time.Duration(p.diskRandom.IntN(int(8*time.Millisecond + p.slow[name])))
}

// failsSync reports whether the next sync of the disk fails, and lets later ones
// succeed.
func (p *powerGroup) failsSync(name string) bool {
	p.diskMutex.Lock()
	defer p.diskMutex.Unlock()
	fails := p.failing[name]
	p.failing[name] = false
	return fails
}

func (p *powerGroup) setDisk(name string, slow time.Duration, failing bool) {
	p.diskMutex.Lock()
	defer p.diskMutex.Unlock()
	p.slow[name], p.failing[name] = slow, failing
}

// names returns the names of all VMs, running or not, in random order.
func (p *powerGroup) names() []string {
	var names []string
	for i := range len(p.disks) {
		names = append(names, fmt.Sprint("c", i+1))
	}
	p.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// find returns the running replica of a name, nil if there is none.
func (p *powerGroup) find(name string) *replica {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.replicas[name]
}

// restart starts a replica of the group that already exists.
func (p *powerGroup) restart(name string) {
	p.startMutex.Lock()
	defer p.startMutex.Unlock()
	p.noBootstrap[name] = true
	p.start(name)
}

// restartEnded starts replicas again that have ended by themselves, until ctx ends.
func (p *powerGroup) restartEnded(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for i := range len(p.disks) {
			name := fmt.Sprint("c", i+1)
			r := p.find(name)
			if r == nil {
				continue
			}
			select {
			case <-r.ended:
				p.removeReplica(name)
				p.restart(name)
			default:
			}
		}
	}
}

// lose stops VMs at the same moment and replaces the disks of the first ones by empty
// ones. Without power, unsynced data is lost on the others too.
func (p *powerGroup) lose(names []string, wiped int, power bool) {
	for i, name := range names {
		switch running := p.find(name) != nil; {
		case running && power:
			p.crash(name)
		case running:
			p.kill(name)
		case power:
			p.disks[name].Crash()
		}
		if i < wiped {
			p.disks[name].Wipe()
		}
	}
}

// startAll starts the named replicas within a time.
func (p *powerGroup) startAll(names []string, spread time.Duration) {
	var started sync.WaitGroup
	for _, name := range names {
		delay := time.Duration(p.random.Int64N(int64(spread)))
		started.Go(func() {
			time.Sleep(delay)
			if p.find(name) == nil {
				p.restart(name)
			}
		})
	}
	started.Wait()
}

// injectFault injects one fault of the day. It returns once the VMs run again, and
// have had the time to become voters if their disks were lost.
func (p *powerGroup) injectFault() {
	names := p.names()
	switch some := names[:1+p.random.IntN(p.losses)]; p.random.IntN(8) {
	case 0:
		p.lose(some, len(some), true)
		time.Sleep(time.Second)
		p.startAll(some, restartSpread)
		time.Sleep(time.Duration(len(some)) * repairTime)
	case 1:
		p.lose(names, 0, p.random.IntN(2) == 0)
		p.startAll(names, restartSpread)
	case 2:
		p.setDisk(names[0], time.Duration(p.random.IntN(1500))*time.Millisecond, false)
		time.Sleep(time.Duration(p.random.IntN(3000)) * time.Millisecond)
		p.setDisk(names[0], 0, false)
	case 3:
		p.setDisk(names[0], 0, true)
		time.Sleep(time.Duration(p.random.IntN(3000)) * time.Millisecond)
	case 4:
		p.network.Isolate(names[0], names[1:]...)
		time.Sleep(time.Duration(p.random.IntN(3000)) * time.Millisecond)
		p.network.Rejoin(names[0], names[1:]...)
	default:
		p.lose(some, 0, p.random.IntN(2) == 0)
		p.startAll(some, 3*time.Second)
	}
}

// acknowledgements returns the sum of the acknowledged numbers.
func (h *history) acknowledgements() (sum int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, number := range h.acknowledged {
		sum += number
	}
	return sum
}

// waitForAcknowledgement returns as soon as a write has been acknowledged.
func (p *powerGroup) waitForAcknowledgement(seed uint64) {
	before := p.h.acknowledgements()
	for range 30_000 {
		if p.h.acknowledgements() > before {
			return
		}
		time.Sleep(time.Millisecond)
	}
	require.Fail(p.t, "nothing was acknowledged within 30 s", "seed %d", seed)
}

// requireAcknowledged reads at every replica what was acknowledged.
func (p *powerGroup) requireAcknowledged(seed uint64) {
	for _, name := range p.names() {
		ctx, cancel := context.WithTimeout(context.Background(), recoveryTime)
		_, err := p.find(name).Barrier(ctx)
		cancel()
		require.NoError(p.t, err, "seed %d: %s cannot be read", seed, name)
		for writer := range writers {
			got, _ := strconv.Atoi(p.find(name).get(fmt.Sprint("w", writer)))
			require.GreaterOrEqual(p.t, got, p.h.lastAcknowledged(writer), "seed %d: writer %d at %s", seed, writer, name)
		}
	}
}

// runPowerSchedule runs a day with faults. At its end all VMs lose power soon after an
// acknowledgement, and as many disks as are tolerated are lost. The group must come
// back with everything that was acknowledged.
func runPowerSchedule(g *group, seed uint64) (acknowledged int) {
	p := newPowerGroup(g, seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	working, stopWork := context.WithCancel(ctx)
	defer stopWork()
	go p.restartEnded(ctx)
	for writer := range writers {
		go p.write(working, &p.h, writer, rand.New(rand.NewPCG(seed, uint64(10+writer))))
		go p.observe(working, &p.h, rand.New(rand.NewPCG(seed, uint64(20+writer))))
	}
	p.waitForAcknowledgement(seed)
	for range p.random.IntN(6) {
		time.Sleep(time.Duration(p.random.IntN(3000)) * time.Millisecond)
		p.injectFault()
	}
	names := p.names()
	if p.random.IntN(2) == 0 {
		p.lose(names[:1+p.random.IntN(p.losses)], 0, false)
		time.Sleep(time.Duration(p.random.IntN(3000)) * time.Millisecond)
	}
	p.waitForAcknowledgement(seed)
	time.Sleep(time.Duration(p.random.Int64N(int64(maxPowerDelay))))
	stopWork()
	names = p.names()
	p.lose(names, p.losses, true)
	p.startAll(names, restartSpread)
	time.Sleep(recoveryTime)
	require.Empty(p.t, p.h.violation, "seed %d", seed)
	p.requireAcknowledged(seed)
	return p.h.acknowledgements()
}

func TestNothingAcknowledgedIsLostWithPowerAndDisks(t *testing.T) {
	acknowledged := 0
	for i := range uint64(*powerSeeds) {
		seed := *firstPowerSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, 9000+100*seed, 0, func(g *group) { acknowledged += runPowerSchedule(g, seed) })
		})
	}
	t.Logf("%d writes acknowledged in %d schedules", acknowledged, *powerSeeds)
}

// startNewGroup starts the replicas of a deployment for the first time, of which the
// first ones are the seeds that begin the group.
func startNewGroup(g *group, seeds, tolerated, replicas int) {
	g.voters = 2*tolerated + 1
	for i := range seeds {
		name := fmt.Sprint("c", i+1)
		g.peers = append(g.peers, node.Peer{Name: name, Address: name + ":1"})
	}
	for i := range replicas {
		g.add(fmt.Sprint("c", i+1), false)
	}
}

// loseAll cuts the power of all replicas, replaces the named disks by empty ones and
// starts all replicas again.
func (g *group) loseAll(wiped ...string) {
	for name := range g.disks {
		if g.replicas[name] != nil {
			g.crash(name)
		}
	}
	for _, name := range wiped {
		g.disks[name].Wipe()
	}
	for name := range g.disks {
		g.noBootstrap[name] = true
		g.start(name)
	}
}

// A new group is begun by its seeds, which may be fewer than the voters that the
// tolerated losses call for. The others were admitted after seconds, and until then two
// of three seeds acknowledged, or the only one. Power and the tolerated disks are lost
// right after the first acknowledgement.
func TestFirstAcknowledgementIsLostWithDisksOfSeeds(t *testing.T) {
	for _, test := range []struct{ seeds, tolerated int }{{1, 1}, {2, 1}, {3, 1}, {1, 2}, {3, 2}, {3, 4}} {
		replicas := 2*test.tolerated + 1
		for first := range replicas {
			var lost []string
			for i := range test.tolerated {
				lost = append(lost, fmt.Sprint("c", (first+i)%replicas+1))
			}
			t.Run(fmt.Sprint(test.seeds, " seeds, ", lost, " lost"), func(t *testing.T) {
				inBubble(t, uint64(40+first), 0, func(g *group) {
					startNewGroup(g, test.seeds, test.tolerated, replicas)
					began := time.Now()
					g.put("a", "1")
					t.Logf("acknowledged after %v", time.Since(began))
					g.loseAll(lost...)
					time.Sleep(repairTime)
					require.Equal(t, "1", g.read(g.leader().name, "a"))
				})
			})
		}
	}
}

// All seeds lose their disks. The group goes on and sends to their addresses, but an
// empty seed asked only the other seeds, so it never joined again.
func TestSeedsThatLostTheirDisksNeverJoinAgain(t *testing.T) {
	for _, seeds := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(seeds, " seeds"), func(t *testing.T) {
			inBubble(t, 51, 0, func(g *group) {
				startNewGroup(g, seeds, seeds, 2*seeds+1)
				g.put("a", "1")
				var lost []string
				for _, peer := range g.peers {
					lost = append(lost, peer.Name)
				}
				g.loseAll(lost...)
				time.Sleep(time.Duration(seeds) * repairTime)
				for _, name := range lost {
					require.Contains(t, g.voterNames(), name)
					require.Equal(t, "1", g.read(name, "a"))
				}
			})
		})
	}
}

// A replica of a new group never starts. The others must not wait for it for ever, and
// only once: not again after a change of the leader.
func TestNewGroupWaitsForeverForAMissingVoter(t *testing.T) {
	const maxFirstWait, maxElection = 2500 * time.Millisecond, time.Second
	for _, replicas := range []int{1, 3, 4} {
		t.Run(fmt.Sprint(replicas, " of 5"), func(t *testing.T) {
			inBubble(t, 50, 0, func(g *group) {
				startNewGroup(g, min(replicas, 3), 2, replicas)
				began := time.Now()
				g.put("a", "1")
				require.Less(t, time.Since(began), maxFirstWait)
				if replicas < 3 {
					return
				}
				time.Sleep(repairTime)
				leader := g.leader()
				ctx, cancel := context.WithTimeout(context.Background(), maxElection)
				defer cancel()
				require.NoError(t, leader.TransferLeadership(ctx, g.others(leader.name)[0]))
				began = time.Now()
				g.put("b", "2")
				require.Less(t, time.Since(began), maxElection)
			})
		})
	}
}

// A voter is dead, and a learner takes its place. Just then all VMs lose power, and one
// disk is lost. If the dead voter was removed before the learner was a voter, the two
// remaining voters could not elect a leader without that disk.
func TestDiskIsLostWhileAVoterIsReplaced(t *testing.T) {
	for _, lost := range []string{"c1", "c2", "c3", "c4"} {
		for _, delay := range []time.Duration{0, 3 * time.Millisecond, 10 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(lost, " after ", delay), func(t *testing.T) {
				inOpenGroup(t, 36, 3, func(g *group) {
					g.add("c4", true)
					g.put("a", "1")
					time.Sleep(repairTime)
					leader := g.leader()
					dead := g.others(leader.name)[0]
					g.kill(dead)
					waitForReplacement(t, leader)
					time.Sleep(delay)
					g.put("b", "2")
					g.loseAll(lost)
					require.Equal(t, "2", g.read(lost, "b"))
				})
			})
		}
	}
}

// waitForReplacement waits until a voter of a group of three is replaced or removed.
func waitForReplacement(t *testing.T, leader *replica) {
	t.Helper()
	for range 10_000 {
		voters, _ := votersAndLearners(leader)
		if len(voters) != 3 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	require.Fail(t, "no voter is replaced")
}
