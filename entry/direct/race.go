package direct

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/hedge"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// race is the first attempt of a request and, if its answer is late, a second one beside
// it, the hedge. The goroutine of the job owns the race and the state of the job: it
// alone records results and writes to the caller. Each attempt has a goroutine that reads
// an answer and hands it over.
type race struct {
	job     *job
	ctx     context.Context
	first   *leg
	second  *leg
	running int
	// results and plans hand over ended attempts and prepared hedges. Nothing is received
	// any more once over is closed.
	results chan *leg
	plans   chan *hedgePlan
	over    chan struct{}
}

// leg is one attempt of a race.
type leg struct {
	target  *target
	call    *Call
	isHedge bool
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// lost is closed when the other attempt has given the answer.
	lost chan struct{}
	// watchdog supervises the first attempt until a hedge is sent.
	watchdog *watchdog
	sent     time.Time
	// answer is nil if Send failed. body is the beginning of the answer, whole up to
	// maxBuffered bytes, and err the error of Send or of reading. ended is when body was
	// complete. They are set when the leg is handed over.
	answer *Answer
	body   []byte
	err    error
	ended  time.Time
}

// race sends the request to an endpoint and, if the answer is late, to a second one. The
// first whole success is delivered and the other attempt cancelled. If one attempt fails,
// the other one is waited for. It returns the verdict of the attempt that ended last; a
// failure before that has been recorded.
func (j *job) race(ctx context.Context, t *target) (advert.Record, verdict, error) {
	r := &race{job: j, ctx: ctx, results: make(chan *leg), plans: make(chan *hedgePlan), over: make(chan struct{})}
	defer close(r.over)
	preparing, stop := context.WithCancel(ctx)
	defer stop()
	j.request.Endpoint, j.request.FailedAttempts, j.request.AdmissionWait = t.endpoint.Name, j.tries, t.waited
	r.first = r.start(t, false)
	threshold, known := j.filter.Hedges.Threshold(j.service, j.request.RouteName, time.Now())
	var late <-chan time.Time
	if known && !j.hedged {
		timer := time.NewTimer(threshold)
		defer timer.Stop()
		late = timer.C
	}
	for {
		select {
		case <-late:
			r.consider(preparing, threshold)
		case plan := <-r.plans:
			r.hedge(plan)
		case l := <-r.results:
			r.running--
			verdict, err := r.settle(l)
			if secured := l.watchdog.stop(); r.second == nil {
				j.secured = secured
			} else {
				secured.drop()
			}
			l.close()
			if verdict == verdictComplete || r.running == 0 {
				return l.target.endpoint, verdict, r.end(l, verdict, err)
			}
			if verdict != verdictCallerGone {
				j.recordFailure(l.target.endpoint, verdict, err)
			}
		}
	}
}

// start sends the request to an endpoint. The attempt is handed over when it has ended or
// its answer is too large to buffer.
func (r *race) start(t *target, isHedge bool) *leg {
	l := &leg{target: t, isHedge: isHedge, sent: time.Now(), lost: make(chan struct{}), watchdog: &watchdog{}}
	t.release = sync.OnceFunc(t.release)
	l.ctx, l.cancel = context.WithCancelCause(r.ctx)
	if !isHedge {
		l.watchdog = r.job.startWatchdog(&t.endpoint, l.cancel)
	}
	l.call = r.job.newCall(t, l.sent)
	l.call.NewConnection = l.call.NewConnection || isHedge
	r.running++
	go func() {
		l.fetch(r.job.filter.Send)
		select {
		case r.results <- l:
			return
		case <-l.lost:
		case <-r.over:
		}
		l.close()
	}()
	return l
}

// fetch sends the call and reads the answer as far as it is buffered.
func (l *leg) fetch(send func(ctx context.Context, c *Call) (*Answer, error)) {
	defer l.watchdog.endSupervision()
	defer func() { l.ended = time.Now() }()
	if l.answer, l.err = l.target.send(l.ctx, send, l.call); l.err != nil {
		l.answer = nil
		return
	}
	if l.answer.NotExecuted {
		_, _ = io.Copy(io.Discard, io.LimitReader(l.answer.Body, maxBuffered))
		return
	}
	if !valid(l.answer) {
		return
	}
	l.watchdog.headReceived(false)
	l.body, l.err = io.ReadAll(io.LimitReader(l.answer.Body, maxBuffered+1))
}

// close ends the attempt and what it holds.
func (l *leg) close() {
	l.cancel(nil)
	l.watchdog.stop().drop()
	if l.answer != nil {
		_ = l.answer.Body.Close()
	}
	l.target.release()
}

// consider decides on a hedge and has it prepared beside the race, since the first answer
// may still come meanwhile.
func (r *race) consider(ctx context.Context, threshold time.Duration) {
	j := r.job
	plan, endpoint := j.decideHedge(r.first, threshold)
	if plan.cause != hedge.CauseNone {
		j.recordHedgeDenied(r.first, plan)
		return
	}
	helper, policy := j.copyForHedge(r.first.target.endpoint.Name), j.filter.Hedges
	go func() {
		helper.prepareHedge(ctx, plan, endpoint)
		select {
		case r.plans <- plan:
		case <-r.over:
			plan.drop(policy)
		}
	}()
}

// hedge sends the prepared hedge, unless that is no longer allowed.
func (r *race) hedge(plan *hedgePlan) {
	j := r.job
	switch {
	case plan.target == nil:
	case r.ctx.Err() != nil:
		plan.cause = hedge.CauseTime
	case j.mustNotRun():
		plan.cause = hedge.CauseRemoved
	case !j.filter.Endpoints.Claim(&plan.target.endpoint, plan.target.admitted, time.Now()):
		plan.cause = hedge.CauseEndpoint
	}
	if plan.cause != hedge.CauseNone {
		plan.drop(j.filter.Hedges)
		j.recordHedgeDenied(r.first, plan)
		return
	}
	// The hedge takes over from the watchdog: the first answer may still come.
	r.first.watchdog.stop().drop()
	plan.settle(true)
	r.second = r.start(plan.target, true)
	j.recordHedgeSent(r.first, r.second, plan)
}

// settle records the result of an attempt and delivers a whole success.
func (r *race) settle(l *leg) (verdict, error) {
	j := r.job
	if l.answer == nil {
		return j.handleSendError(r.ctx, l.ctx, l.target, l.err)
	}
	j.delivered++
	switch {
	case l.answer.NotExecuted:
		j.filter.Endpoints.MarkMissing(l.target.endpoint.Name, j.adapterKey())
		return verdictNotRun, &Error{Op: "send", Kind: KindAnswer, Err: statusError(l.answer.Status)}
	case !valid(l.answer):
		return j.handleBroken(r.ctx, l.ctx, l.target, &Error{Op: "check answer", Kind: KindAnswer, Err: statusError(l.answer.Status)})
	case l.err != nil:
		return j.handleBroken(r.ctx, l.ctx, l.target, l.err)
	}
	buffered := &bufferedAnswer{status: l.answer.Status, header: fields(l.answer.Header), body: l.body}
	if len(l.body) <= maxBuffered && l.answer.Status >= http.StatusInternalServerError {
		j.failure = buffered
		j.recordAnswer(l.target, verdictFailed, l.ended.Sub(l.sent))
		return verdictFailed, statusError(l.answer.Status)
	}
	return r.deliver(l, buffered)
}

// deliver cancels the other attempt and forwards the answer to the caller.
func (r *race) deliver(l *leg, buffered *bufferedAnswer) (verdict, error) {
	j := r.job
	r.cancelOther(l)
	j.request.Endpoint, j.request.AdmissionWait = l.target.endpoint.Name, l.target.waited
	j.ran = chain.RanUnknown
	if l.answer.Status < http.StatusBadRequest {
		// Refusals are faster than answers and would lower the threshold.
		j.filter.Hedges.RecordAnswer(j.service, j.request.RouteName, l.target.endpoint.Name, l.ended.Sub(l.sent), time.Now())
	}
	if len(buffered.body) > maxBuffered {
		verdict, err := j.forwardLarge(l.answer, buffered)
		if verdict == verdictBroken {
			return j.handleBroken(r.ctx, l.ctx, l.target, err)
		}
		if verdict == verdictComplete {
			j.recordAnswer(l.target, verdict, l.ended.Sub(l.sent))
		}
		return verdict, err
	}
	if err := buffered.send(j); err != nil {
		return verdictCallerGone, err
	}
	j.recordAnswer(l.target, verdictComplete, l.ended.Sub(l.sent))
	return verdictComplete, nil
}

// cancelOther cancels the attempt that has lost to the given one. How long it took until
// then is known to be too short.
func (r *race) cancelOther(winner *leg) {
	loser := r.second
	if winner.isHedge {
		loser = r.first
	}
	if loser == nil || r.running == 0 {
		return
	}
	loser.cancel(nil)
	close(loser.lost)
	r.running = 0
	now := time.Now()
	r.job.filter.Endpoints.RecordSlowAnswer(loser.target.endpoint.Name, now.Sub(loser.sent), now)
	if !loser.isHedge {
		r.job.filter.Hedges.RecordAnswer(r.job.service, r.job.request.RouteName, loser.target.endpoint.Name, now.Sub(loser.sent), now)
	}
}

// end records the end of a race.
func (r *race) end(last *leg, verdict verdict, err error) error {
	if r.second == nil {
		return err
	}
	if verdict != verdictComplete {
		last = nil
	}
	r.job.recordHedgeEnd(last, r.first.sent)
	return err
}
