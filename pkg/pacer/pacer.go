// Package pacer keeps the requests to one process of an endpoint within the limit that the
// process names for all VMs together.
//
// VMs that send to the process without a common owner divide the limit by their position
// among all entries, without any message: members share it, and the others only try now and
// then whether it still holds. A low limit has few members, since many small shares would
// add up to a burst when they are used at the same moment.
package pacer

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// minMemberRate is the smallest share of a member, in requests per second. A member may
	// send one request without delay, so the members together never send more in one second
	// than twice the limit.
	minMemberRate = 1.0
	// minRate is the least that all members together send, in requests per second, so that
	// a process that takes no requests can state the end of its limit.
	minRate = 0.25
	// burstTime is the time whose requests a member may send at once, if that is more than
	// one.
	burstTime = 500 * time.Millisecond
	// trialRate and trialShare bound the requests of all others together: the larger of a
	// rate per second and a share of the limit.
	trialRate  = 0.25
	trialShare = 0.1
	// trialWindow is how long a trial may be used, as a share of the time between two. It
	// ends so that unused trials of many VMs do not add up.
	trialWindow    = 0.1
	maxTrialWindow = time.Second
	// assumedEntries is the number of entries that a VM assumes while it does not know it.
	assumedEntries = 64
	// maxRate bounds limits, in requests per second, so that intervals can be computed.
	maxRate = 1e9
)

// Pacer decides when this VM may send a request to one process. It is not safe for
// concurrent use.
type Pacer struct {
	// Process identifies the process among all endpoints. All VMs use the same.
	Process string
	// Random returns a number between 0 and 1; nil uses the global generator.
	Random func() float64

	limited bool
	// limit is in requests per second. index is this VM's position among count VMs, or -1
	// if it is unknown.
	limit        float64
	index, count int
	// limiter holds a member's share; nil for the others.
	limiter *rate.Limiter
	// nextTrial is the begin of the next time at which a VM that is no member may send a
	// request.
	nextTrial time.Time
}

// Limit sets the limit in requests per second and this VM's position among all that send
// to the process, from 0; a count of 0 means that the position is unknown.
func (p *Pacer) Limit(perSecond float64, index, count int, now time.Time) {
	if count < 1 || index < 0 || index >= count {
		index, count = -1, max(count, assumedEntries)
	}
	perSecond = min(perSecond, maxRate)
	if p.limited && p.limit == perSecond && p.index == index && p.count == count {
		return
	}
	p.limited, p.limit, p.index, p.count = true, perSecond, index, count
	if !p.isMember() {
		p.limiter, p.nextTrial = nil, now.Add(p.trialInterval())
		return
	}
	share := max(perSecond, minRate) / float64(p.members())
	burst := max(int(share*burstTime.Seconds()), 1)
	if p.limiter != nil {
		p.limiter.SetLimitAt(now, rate.Limit(share))
		p.limiter.SetBurstAt(now, burst)
		return
	}
	// The request whose answer named the limit has used the first share.
	p.limiter = rate.NewLimiter(rate.Limit(share), burst)
	p.limiter.AllowN(now, burst)
}

// Unlimit removes the limit.
func (p *Pacer) Unlimit() { p.limited, p.limiter = false, nil }

// members returns the number of VMs that share the limit.
func (p *Pacer) members() int { return int(min(max(p.limit/minMemberRate, 1), float64(p.count))) }

// isMember reports whether this VM is one of them. Which VMs are depends on the process, so
// that the limits of several processes are not all shared by the same VMs.
func (p *Pacer) isMember() bool {
	if p.index < 0 {
		return false
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(p.Process))
	first := int(hash.Sum64() % uint64(p.count))
	return (p.index-first+p.count)%p.count < p.members()
}

// trialInterval returns a random time between two trials of this VM.
func (p *Pacer) trialInterval() time.Duration {
	random := rand.Float64()
	if p.Random != nil {
		random = p.Random()
	}
	return time.Duration(float64(p.meanTrialInterval()) * (0.5 + random))
}

func (p *Pacer) meanTrialInterval() time.Duration {
	others := p.count - p.members()
	if p.index < 0 {
		others = p.count
	}
	return time.Duration(float64(max(others, 1)) / max(trialRate, p.limit*trialShare) * float64(time.Second))
}

// advanceTrial moves the next trial on if its window has passed.
func (p *Pacer) advanceTrial(now time.Time) {
	mean := p.meanTrialInterval()
	window := min(time.Duration(float64(mean)*trialWindow), maxTrialWindow)
	if now.Before(p.nextTrial.Add(window)) {
		return
	}
	p.nextTrial = p.nextTrial.Add(p.trialInterval())
	if now.After(p.nextTrial) {
		p.nextTrial = now.Add(p.trialInterval())
	}
}

// Wait returns how long it takes until this VM may send the request number ahead+1 of those
// that wait for the process; 0 if it may be sent now.
func (p *Pacer) Wait(ahead int, now time.Time) time.Duration {
	if !p.limited {
		return 0
	}
	if p.limiter == nil {
		p.advanceTrial(now)
		return max(p.nextTrial.Sub(now), 0) + time.Duration(ahead)*p.meanTrialInterval()
	}
	missing := float64(ahead+1) - p.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the request may be sent after the wait.
	return time.Duration(missing/float64(p.limiter.Limit())*float64(time.Second)).Truncate(time.Millisecond) + time.Millisecond
}

// Take counts a request that is sent now and reports whether it may be.
func (p *Pacer) Take(now time.Time) bool {
	if !p.limited {
		return true
	}
	if p.limiter != nil {
		return p.limiter.AllowN(now, 1)
	}
	if p.Wait(0, now) > 0 {
		return false
	}
	p.nextTrial = now.Add(p.trialInterval())
	return true
}

// Member reports whether this VM has a share of the limit, so that a short wait helps.
func (p *Pacer) Member() bool { return !p.limited || p.limiter != nil }

// Spacing returns the mean time between two requests that all VMs together may send.
func (p *Pacer) Spacing() time.Duration {
	if !p.limited {
		return 0
	}
	return time.Duration(float64(time.Second) / max(p.limit, minRate))
}
