package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

const (
	// mostHeld is the largest answer that is held until it is whole, in bytes.
	mostHeld = 64 << 10
	// piece is how much of a stream is read at once, in bytes.
	piece = 4 << 10
	// firstSilence and nextSilence are how long an engine may send nothing
	// before the first event and between two, where another can go on with the
	// stream. The users' callers leave after four seconds of silence.
	firstSilence = 2 * time.Second
	nextSilence  = 1200 * time.Millisecond
	// repeatAfter is the part of the goal, as a multiple, after which an
	// unanswered request that may repeat is tried elsewhere.
	repeatAfter = 2
)

// attempt sends the request to an endpoint and passes the answer on.
func (j *job) attempt(ctx context.Context, p *place) (verdict, error) {
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := j.watch(cancel)
	defer watchdog.stop()
	sent := time.Now()
	j.request.Endpoint, j.request.FailedAttempts, j.request.AdmissionWait = p.endpoint.Name, j.tries, p.waited
	answer, err := j.direct.Send(attempt, j.newCall(p))
	if err != nil {
		return j.unanswered(ctx, attempt, p, err)
	}
	defer func() { _ = answer.Body.Close() }()
	j.arrived++
	if answer.NotExecuted {
		j.direct.Endpoints.MarkMissing(p.endpoint.Name, j.key())
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, mostHeld))
		return verdictNotRun, &Error{Op: "send", Kind: KindAnswer, Err: errStatus(answer.Status)}
	}
	if !valid(answer) {
		return j.broken(ctx, attempt, p, &Error{Op: "check answer", Kind: KindAnswer, Err: errStatus(answer.Status)})
	}
	watchdog.next()
	var verdict verdict
	if j.request.Route.Stream && answer.Status == http.StatusOK {
		verdict, err = j.stream(answer, watchdog)
	} else {
		verdict, err = j.hold(answer)
	}
	switch verdict {
	case verdictBroken:
		return j.broken(ctx, attempt, p, err)
	case verdictWhole, verdictFailed:
		j.direct.Endpoints.RecordAnswer(p.endpoint.Name, time.Since(sent), verdict == verdictFailed)
		if verdict == verdictWhole && j.request.Suspect && j.direct.OnSuspectCleared != nil {
			j.direct.OnSuspectCleared(j.request.Digest)
		}
		if verdict == verdictWhole && j.key() != "" {
			j.direct.Endpoints.MarkResident(p.endpoint.Name, j.key(), time.Now())
		}
	}
	return verdict, err
}

func (j *job) newCall(p *place) *Call {
	c := &Call{
		Request: j.request, Endpoint: p.endpoint, Version: p.version, Priority: j.rank(),
		Remaining: max(time.Until(j.request.Deadline()), time.Millisecond), NewConnection: j.tries > 0,
	}
	if c.Version == 0 && j.request.Adapter != "" {
		c.Version = j.direct.version(j.request.Model, j.request.Adapter)
	}
	if j.cutter.HasLastID {
		last := j.cutter.LastID
		c.LastEventID = &last
	}
	return c
}

// unanswered judges an attempt without an answer.
func (j *job) unanswered(ctx, attempt context.Context, p *place, err error) (verdict, error) {
	if errors.Is(err, &httpc.Error{Kind: httpc.KindDial}) {
		if errors.Is(ctx.Err(), context.Canceled) {
			return verdictGone, err
		}
		j.direct.Endpoints.MarkUnreachable(p.endpoint.Name, time.Now())
		return verdictNotRun, err
	}
	j.arrived++
	return j.broken(ctx, attempt, p, err)
}

// broken judges an attempt that may have run and brought no whole answer.
func (j *job) broken(ctx, attempt context.Context, p *place, err error) (verdict, error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		j.ran = chain.RanUnknown
		return verdictGone, err
	}
	cause := context.Cause(attempt)
	if cause != nil && ctx.Err() == nil {
		err = cause
	}
	if cause == nil && j.direct.OnConnectionLost != nil && j.cutter.EventCount == 0 && errors.Is(err, &httpc.Error{Kind: httpc.KindBroken}) {
		j.direct.OnConnectionLost(p.endpoint, j.request.Digest, time.Now())
	}
	if ctx.Err() == nil {
		j.direct.Endpoints.MarkUnreachable(p.endpoint.Name, time.Now())
		j.direct.Endpoints.RecordAnswer(p.endpoint.Name, 0, true)
	}
	return verdictBroken, err
}

// valid reports whether an answer is the endpoint's own and as it sent it.
func valid(answer *Answer) bool {
	return answer.Authentic && answer.Header.Get("Content-Encoding") == ""
}

// hold reads an answer whole before it is passed on. A failure is kept for when
// no other attempt follows.
func (j *job) hold(answer *Answer) (verdict, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, mostHeld+1))
	if err != nil {
		return verdictBroken, err
	}
	kept := &held{status: answer.Status, header: fields(answer.Header), body: body}
	if len(body) > mostHeld {
		return j.passLarge(answer, kept)
	}
	if answer.Status >= http.StatusInternalServerError {
		j.failure = kept
		return verdictFailed, errStatus(answer.Status)
	}
	if err := kept.pass(j); err != nil {
		return verdictGone, err
	}
	return verdictWhole, nil
}

// passLarge passes an answer on that is too large to be held.
func (j *job) passLarge(answer *Answer, start *held) (verdict, error) {
	j.begun = true
	if err := j.request.Write(&call.Frame{Type: call.FrameHead, Status: int32(start.status), Header: start.header}); err != nil {
		return verdictGone, err
	}
	data := start.body
	buffer := make([]byte, mostHeld)
	for {
		if err := j.request.Write(&call.Frame{Type: call.FramePart, Data: data}); err != nil {
			return verdictGone, err
		}
		n, err := answer.Body.Read(buffer)
		data = buffer[:n]
		if errors.Is(err, io.EOF) {
			return j.endWith(data)
		}
		if err != nil {
			return verdictBroken, err
		}
	}
}

// stream passes whole events on as they come.
func (j *job) stream(answer *Answer, watchdog *watchdog) (verdict, error) {
	j.cutter.Resume()
	buffer := make([]byte, piece)
	for {
		n, err := answer.Body.Read(buffer)
		watchdog.next()
		j.heard = time.Now()
		whole, wrong := j.cutter.Push(buffer[:n])
		if wrong != nil {
			return verdictBroken, wrong
		}
		if err != nil && !errors.Is(err, io.EOF) {
			if j.pass(answer, whole) != nil {
				return verdictGone, err
			}
			return verdictBroken, err
		}
		if j.pass(answer, whole) != nil {
			return verdictGone, err
		}
		if err != nil {
			if !j.begun {
				// An empty stream is whole too.
				if err := j.open(answer); err != nil {
					return verdictGone, err
				}
			}
			return j.endWith(j.cutter.Partial())
		}
	}
}

// pass gives whole events to the caller, the head with the first of them.
func (j *job) pass(answer *Answer, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if err := j.open(answer); err != nil {
		return err
	}
	return j.request.Write(&call.Frame{Type: call.FramePart, Data: events})
}

func (j *job) open(answer *Answer) error {
	if j.begun {
		return nil
	}
	j.begun = true
	return j.request.Write(&call.Frame{Type: call.FrameHead, Status: int32(answer.Status), Header: fields(answer.Header)})
}

// endWith passes the last bytes on and ends the answer.
func (j *job) endWith(rest []byte) (verdict, error) {
	if len(rest) > 0 {
		if err := j.request.Write(&call.Frame{Type: call.FramePart, Data: rest}); err != nil {
			return verdictGone, err
		}
	}
	if err := j.request.Write(&call.Frame{Type: call.FrameEnd}); err != nil {
		return verdictGone, err
	}
	return verdictWhole, nil
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
