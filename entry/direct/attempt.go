package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/crash"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

const (
	// maxBuffered is the largest answer that is buffered until it is complete,
	// in bytes.
	maxBuffered = 64 << 10
	// maxBufferedWhenShort replaces maxBuffered while memory is short, in bytes.
	maxBufferedWhenShort = 16 << 10
	// streamBufferSize is the size of one read from a stream, in bytes.
	streamBufferSize = 4 << 10
	// maxFirstDelay and maxEventGap are how long an engine may send nothing
	// before the first event and between two events until another engine is sought
	// that can continue the stream, on routes that do not state how long callers wait
	// without data. maxFirstDelay is the most on other routes, too.
	maxFirstDelay = 2 * time.Second
	maxEventGap   = 1200 * time.Millisecond
	// retryObjectives is the multiple of the objective for the time to the first
	// token after which an unanswered request that may run again is retried at
	// another endpoint.
	retryObjectives = 2
)

// attempt sends the request to an endpoint and forwards the answer to the
// caller.
func (j *job) attempt(ctx context.Context, t *target) (verdict, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := j.startWatchdog(&t.endpoint, cancel)
	defer func() { j.secured = watchdog.stop() }()
	j.watchdog = watchdog
	bodySent, ok := j.request.Memory.BeginSend(t.endpoint.Name, int64(len(j.request.Body)))
	if !ok {
		return verdictNotRun, &Error{Op: "send", Kind: KindBacklog}
	}
	defer bodySent()
	sent := time.Now()
	j.request.Endpoint, j.request.FailedAttempts, j.request.AdmissionWait = t.endpoint.Name, j.tries, t.waited
	c := j.newCall(t, sent)
	if j.request.Memory != nil {
		c.OnSent = bodySent
	}
	answer, err := t.send(attemptCtx, j.filter.Send, c)
	if err != nil {
		return j.handleSendError(ctx, attemptCtx, t, err)
	}
	defer func() { _ = answer.Body.Close() }()
	j.delivered++
	if answer.NotExecuted {
		j.filter.Endpoints.MarkMissing(t.endpoint.Name, j.adapterKey())
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxBuffered))
		return verdictNotRun, &Error{Op: "send", Kind: KindAnswer, Err: statusError(answer.Status)}
	}
	if !valid(answer) {
		return j.handleBroken(ctx, attemptCtx, t, &Error{Op: "check answer", Kind: KindAnswer, Err: statusError(answer.Status)})
	}
	isStream := j.request.Route.Stream && answer.Status == http.StatusOK && answer.isEventStream()
	watchdog.headReceived(isStream)
	var verdict verdict
	switch {
	case isStream:
		verdict, err = j.stream(answer, t.endpoint, watchdog)
	case j.headSent:
		// An error answer cannot take the place of the rest of a stream.
		verdict, err = verdictFailed, statusError(answer.Status)
	default:
		verdict, err = j.buffer(answer)
	}
	switch verdict {
	case verdictBroken:
		return j.handleBroken(ctx, attemptCtx, t, err)
	case verdictComplete, verdictFailed:
		j.recordAnswer(t, verdict, time.Since(sent))
	}
	return verdict, err
}

// recordAnswer records a complete answer of an endpoint, which may be an error answer.
func (j *job) recordAnswer(t *target, verdict verdict, latency time.Duration) {
	j.filter.Endpoints.RecordAnswer(t.endpoint.Name, latency, verdict == verdictFailed, time.Now())
	if verdict == verdictComplete && j.request.Suspect && j.filter.OnSuspectCleared != nil {
		j.filter.OnSuspectCleared(j.request.Digest)
	}
	if verdict == verdictComplete {
		j.recordAnswered()
		if j.filter.OnCompleted != nil {
			j.filter.OnCompleted(crash.Request{Digest: j.request.Digest, Parts: j.parts}, time.Now())
		}
	}
	if verdict == verdictComplete && j.adapterKey() != "" {
		j.filter.Endpoints.MarkResident(t.endpoint.Name, j.adapterKey(), time.Now())
	}
}

// newCall describes the attempt at the target, with the caller's remaining time
// and, for a resumed stream, the last event that the caller has received. sent is
// when the attempt is sent.
func (j *job) newCall(t *target, sent time.Time) *Call {
	c := &Call{
		Request: j.request, Endpoint: t.endpoint, Version: t.version, Priority: j.priority(),
		Remaining: max(time.Until(j.request.Deadline()), time.Millisecond), NewConnection: j.tries > 0,
		OnNotice: func(notice advert.Notice) { j.recordNotice(&t.endpoint, notice, sent) },
	}
	if c.Version == 0 && j.request.Adapter != "" {
		c.Version = j.filter.minVersion(j.request.Model, j.request.Adapter)
	}
	if j.cutter.HasLastID {
		last := j.cutter.LastID
		c.LastEventID = &last
	}
	return c
}

// handleSendError classifies an attempt that got no answer. A failed connection
// attempt proves that the request did not run.
func (j *job) handleSendError(ctx, attemptCtx context.Context, t *target, err error) (verdict, error) {
	if errors.Is(err, &httpc.Error{Kind: httpc.KindDial}) {
		if errors.Is(ctx.Err(), context.Canceled) {
			return verdictCallerGone, err
		}
		// A watchdog that cancels the connection attempt has recorded the silence.
		if attemptCtx.Err() == nil || ctx.Err() != nil {
			j.recordUnconnected(t.endpoint.Name, err)
		}
		return verdictNotRun, err
	}
	j.delivered++
	return j.handleBroken(ctx, attemptCtx, t, err)
}

// recordUnconnected records a failed connection to an endpoint.
func (j *job) recordUnconnected(endpoint string, err error) {
	if connectTimedOut(err) {
		j.filter.Endpoints.RecordConnectTimeout(endpoint, time.Now())
		return
	}
	j.filter.Endpoints.MarkUnreachable(endpoint, time.Now())
}

// handleBroken classifies an attempt that may have run and got no complete
// answer.
func (j *job) handleBroken(ctx, attemptCtx context.Context, t *target, err error) (verdict, error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		j.ran = chain.RanUnknown
		return verdictCallerGone, err
	}
	cause := context.Cause(attemptCtx)
	if cause != nil && ctx.Err() == nil {
		err = cause
	}
	if cause == nil && j.filter.OnConnectionLost != nil && connectionLost(err) {
		request := crash.Request{Digest: j.request.Digest, Parts: j.parts, Begun: j.cutter.EventCount > 0}
		j.filter.OnConnectionLost(t.endpoint, request, time.Now())
	}
	if ctx.Err() == nil && !errors.Is(err, &Error{Kind: KindUnresponsive}) {
		j.filter.Endpoints.MarkUnreachable(t.endpoint.Name, time.Now())
		j.filter.Endpoints.RecordAnswer(t.endpoint.Name, 0, true, time.Now())
	}
	return verdictBroken, err
}

// connectionLost reports whether an attempt ended with its connection, which may be the
// sign of a crash.
func connectionLost(err error) bool {
	return errors.Is(err, &httpc.Error{Kind: httpc.KindBroken}) || errors.Is(err, &Error{Kind: KindTruncated})
}

// valid reports whether an answer comes from the endpoint itself, in the
// encoding in which the endpoint sent it.
func valid(answer *Answer) bool {
	return answer.Authentic && answer.Header.Get("Content-Encoding") == ""
}

// buffer reads a complete answer before forwarding it. An error answer is kept
// and forwarded only if no further attempt succeeds.
func (j *job) buffer(answer *Answer) (verdict, error) {
	limit := int64(maxBuffered)
	if j.request.Memory.IsFilling() {
		limit = maxBufferedWhenShort
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return verdictBroken, err
	}
	buffered := &bufferedAnswer{status: answer.Status, header: fields(answer.Header), body: body}
	if int64(len(body)) > limit {
		return j.forwardLarge(answer, buffered)
	}
	space := int64(cap(body))
	j.request.Memory.Take(space)
	if j.failure == nil {
		// An error answer is kept, so that its memory counts until the request ends.
		defer func() {
			if j.failure == nil {
				j.request.Memory.Take(-space)
			}
		}()
	}
	if answer.Status >= http.StatusInternalServerError {
		j.failure = buffered
		return verdictFailed, statusError(answer.Status)
	}
	if err := buffered.send(j); err != nil {
		return verdictCallerGone, err
	}
	return verdictComplete, nil
}

// forwardLarge forwards an answer that is too large to be buffered; start holds its
// head and the bytes read so far.
func (j *job) forwardLarge(answer *Answer, start *bufferedAnswer) (verdict, error) {
	j.headSent = true
	if err := j.request.Write(&call.Frame{Type: call.FrameHead, Status: int32(start.status), Header: start.header}); err != nil {
		return verdictCallerGone, err
	}
	data := start.body
	// The parts that follow reuse the space, of which a caller that reads nothing keeps one in
	// memory.
	buffer := start.body[:cap(start.body)]
	j.request.Memory.Take(int64(len(buffer)))
	defer j.request.Memory.Take(-int64(len(buffer)))
	for {
		if err := j.request.Write(&call.Frame{Type: call.FramePart, Data: data}); err != nil {
			return verdictCallerGone, err
		}
		n, err := answer.Body.Read(buffer)
		data = buffer[:n]
		if errors.Is(err, io.EOF) {
			return j.finish(data)
		}
		if err != nil {
			return verdictBroken, err
		}
	}
}

// stream forwards events as each is received completely.
func (j *job) stream(answer *Answer, endpoint advert.Record, watchdog *watchdog) (verdict, error) {
	j.cutter.Resume()
	eventsBefore, answered := j.cutter.EventCount, false
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := answer.Body.Read(buffer)
		hadID, formerID := j.cutter.HasLastID, j.cutter.LastID
		complete, splitErr := j.cutter.Push(buffer[:n])
		if splitErr != nil {
			err = splitErr
		}
		if len(complete) > 0 {
			if !answered {
				answered = true
				j.recordAnswered()
				j.recordOrigin(endpoint)
			}
			j.lastReceived = time.Now()
			j.filter.Endpoints.RecordHeard(endpoint.Name, j.lastReceived)
			switch {
			case !j.cutter.Resumable():
				// Another endpoint would repeat what the caller has.
				watchdog.endSupervision()
			case !hadID || j.cutter.LastID != formerID:
				watchdog.eventReceived(j.progress())
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			if j.forwardEvents(answer, complete) != nil {
				return verdictCallerGone, err
			}
			return verdictBroken, err
		}
		if j.forwardEvents(answer, complete) != nil {
			return verdictCallerGone, err
		}
		if err != nil {
			j.recordStreamEnd(answer)
			if err := j.checkStreamEnd(answer, eventsBefore); err != nil {
				return verdictBroken, err
			}
			// An empty stream has a head too.
			if err := j.sendHead(answer); err != nil {
				return verdictCallerGone, err
			}
			return j.finish(nil)
		}
	}
}

// checkStreamEnd returns an error if the body of a stream has ended but the stream
// is incomplete. An endpoint that crashes may close its connection regularly.
func (j *job) checkStreamEnd(answer *Answer, eventsBefore int) error {
	insideEvent := len(j.cutter.Partial()) > 0
	withoutEvent := answer.EndsWithConnection && j.cutter.EventCount == eventsBefore
	if insideEvent || withoutEvent {
		return &Error{Op: "read stream", Kind: KindTruncated, Err: io.ErrUnexpectedEOF}
	}
	return nil
}

// recordStreamEnd counts and logs how a stream ended, unless its framing and its
// events both mark the end.
func (j *job) recordStreamEnd(answer *Answer) {
	partial := len(j.cutter.Partial())
	if partial > 0 {
		j.filter.Host.Meter.Add("streams_ended_inside_event", 1)
	}
	if answer.EndsWithConnection {
		j.filter.Host.Meter.Add("streams_ended_with_connection", 1)
	}
	if partial > 0 || answer.EndsWithConnection {
		j.filter.Host.Log.Write("stream-ended", "request", j.request.ID, "endpoint", j.request.Endpoint, "with_connection", answer.EndsWithConnection,
			"events", j.cutter.EventCount, "partial_bytes", partial)
	}
}

// forwardEvents writes complete events to the caller, preceded by the head of
// the answer before the first of them.
func (j *job) forwardEvents(answer *Answer, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if err := j.sendHead(answer); err != nil {
		return err
	}
	j.watchdog.beginWrite()
	defer j.watchdog.endWrite()
	return j.request.Write(&call.Frame{Type: call.FramePart, Data: events})
}

// sendHead writes the head of the answer to the caller unless the caller already
// has it.
func (j *job) sendHead(answer *Answer) error {
	if j.headSent {
		return nil
	}
	j.headSent, j.streaming = true, true
	return j.request.Write(&call.Frame{Type: call.FrameHead, Status: int32(answer.Status), Header: fields(answer.Header)})
}

// finish writes the remaining bytes of the answer to the caller and ends the
// answer.
func (j *job) finish(rest []byte) (verdict, error) {
	if len(rest) > 0 {
		if err := j.request.Write(&call.Frame{Type: call.FramePart, Data: rest}); err != nil {
			return verdictCallerGone, err
		}
	}
	if err := j.request.Write(&call.Frame{Type: call.FrameEnd}); err != nil {
		return verdictCallerGone, err
	}
	return verdictComplete, nil
}

func fields(header http.Header) []call.Field {
	list := make([]call.Field, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			list = append(list, call.Field{Name: name, Value: value})
		}
	}
	return list
}
