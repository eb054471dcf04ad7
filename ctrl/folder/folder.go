// Package folder watches an operators' folder on a control VM and submits its
// content when operators change it.
//
// The committed configuration is authoritative, and the folder is only one way
// to change it: several folders and the command line may be in use at once, and
// a VM may restart with old files. Therefore the content decides, not the
// modification times, and it is submitted only if it is known to be an
// operator's change to the committed configuration:
//
//   - While the process runs, content that differs from the content at the
//     last check is a new change. It is submitted under the next number, or
//     under the number that the folder itself gives. A conflict is logged with
//     the winner, and the content is not submitted again until it changes, so
//     that the loser of a race never overrides the winner.
//   - After a lost reply the content is submitted again under the same number,
//     so that one change is not committed twice or over another change.
//   - At a start, the content is compared with RecordFile, which holds the
//     digest of the content that last matched the committed configuration, and
//     the number of that configuration. Unchanged content is not submitted,
//     whatever has been committed since. Changed content is submitted if
//     nothing has been committed since. Otherwise an edit cannot be told from
//     an old copy: the content is logged as stale and ignored until it changes
//     again or an operator submits it by other means.
//   - Without a RecordFile (a new disk), content equal to the committed
//     configuration counts as matching; other content is submitted only if
//     nothing was ever committed.
package folder

import (
	"context"
	"fmt"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// DefaultPollInterval is the time between two checks without a file system
	// event: events can get lost, and some file systems have none.
	DefaultPollInterval = 2 * time.Second
	// settleTime is how long the content must stay unchanged before it is read,
	// so that files are not read while they are being copied.
	settleTime = 300 * time.Millisecond
	// callTimeout bounds the calls to control of one check.
	callTimeout = 10 * time.Second
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindRecord Kind = "cannot use record"
	KindWatch  Kind = "cannot watch folder"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Watcher watches one operators' folder. Its exported fields are set before
// Run.
type Watcher struct {
	// Host provides the log and the name of the VM.
	Host host.Host
	// Dir is the operators' folder.
	Dir string
	// RecordFile stores which content last matched the committed configuration.
	// It belongs in the data directory.
	RecordFile string
	// PollInterval is the time between two checks; zero means
	// DefaultPollInterval.
	PollInterval time.Duration
	// Fetch returns the committed configuration and its author. The result must
	// not be older than the call; nil means that nothing was ever committed.
	Fetch func(ctx context.Context) (*conf.Config, string, error)
	// Submit submits a configuration to control.
	Submit func(ctx context.Context, request *plane.SubmitRequest) (*plane.SubmitReply, error)
	// Notify returns a channel that receives a value when the folder may have
	// changed, and a function that ends the notifications. Nil only polls.
	Notify func(dir string) (<-chan struct{}, func(), error)

	// handledMark is the mark of the content that needs no further action, and
	// handledFingerprint the hash of its files; both are zero until the first
	// check is done.
	handledMark        string
	handledFingerprint uint64
	// pending is the content being submitted and its submission number.
	pending record
	// lastLogged is the last problem logged, so that a repeated one is logged once.
	lastLogged string
}

// content is the configuration read from the folder.
type content struct {
	config *conf.Config
	// digest is the configuration's digest; mark combines it with the number
	// that the folder gives, 0 for none.
	digest, mark string
	// fingerprint is the hash of the files.
	fingerprint uint64
}

// Run watches the folder until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	events, stop := w.subscribe()
	defer stop()
	poll := w.PollInterval
	if poll == 0 {
		poll = DefaultPollInterval
	}
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for {
		w.check(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-events:
		case <-ticker.C:
		}
	}
}

// subscribe starts the notifications. Without them the channel is nil and the
// watcher only polls.
func (w *Watcher) subscribe() (<-chan struct{}, func()) {
	if w.Notify == nil {
		return nil, func() {}
	}
	events, stop, err := w.Notify(w.Dir)
	if err != nil {
		w.Host.Log.Write("folder-events-off", "dir", w.Dir, "err", err)
		return nil, func() {}
	}
	return events, stop
}

// check submits the folder's content if it is an operator's change.
func (w *Watcher) check(ctx context.Context) {
	found, ok := w.readStable(ctx)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	committed, _, err := w.Fetch(call)
	if err != nil {
		w.complain("folder-waiting", "err", err)
		return
	}
	if committed == nil {
		committed = &conf.Config{}
	}
	switch {
	case committed.Digest() == found.digest:
		w.recordCommitted(found, committed.Number)
	case w.handledMark == "" && !w.isChangeAtStart(found.mark, committed.Number):
		w.markHandled(found)
	default:
		w.submit(call, found, committed.Number)
	}
}

// readStable returns the content if it is new and has not changed for settleTime.
func (w *Watcher) readStable(ctx context.Context) (content, bool) {
	fingerprint, _ := conf.Fingerprint(w.Dir)
	if fingerprint == w.handledFingerprint && w.handledMark != "" {
		return content{}, false
	}
	for settled := false; !settled; {
		if !pause.For(ctx, settleTime) {
			return content{}, false
		}
		next, _ := conf.Fingerprint(w.Dir)
		settled, fingerprint = next == fingerprint, next
	}
	config, err := conf.Load(w.Dir)
	if again, _ := conf.Fingerprint(w.Dir); again != fingerprint {
		return content{}, false
	}
	if err != nil {
		w.complain("folder-refused", "dir", w.Dir, "err", err)
		return content{}, false
	}
	digest := config.Digest()
	found := content{config: config, digest: digest, mark: fmt.Sprintf("%s#%d", digest, config.Number), fingerprint: fingerprint}
	if found.mark == w.handledMark {
		w.markHandled(found)
		return content{}, false
	}
	return found, true
}

// isChangeAtStart reports whether the content found at the start is a change to
// the committed configuration, rather than an old or ambiguous copy.
func (w *Watcher) isChangeAtStart(mark string, committed uint64) bool {
	stored, err := readRecord(w.RecordFile)
	switch {
	case err != nil:
		w.Host.Log.Write("folder-record-unusable", "file", w.RecordFile, "err", err)
		return false
	case stored.Mark == mark:
		return false
	case stored.Number == committed:
		return true
	}
	w.Host.Log.Write("folder-stale", "dir", w.Dir, "committed", committed, "record", stored.Number)
	return false
}

func (w *Watcher) submit(ctx context.Context, found content, committed uint64) {
	number := w.submissionNumber(found, committed)
	proposed := *found.config
	proposed.Number = number
	author := "folder@" + w.Host.VM
	reply, err := w.Submit(ctx, &plane.SubmitRequest{Config: &proposed, Author: author})
	if err != nil {
		w.complain("folder-waiting", "err", err)
		return
	}
	switch {
	case reply.Refused == plane.KindNone:
		w.Host.Log.Write("folder-submitted", "dir", w.Dir, "number", number)
		w.recordCommitted(found, number)
	case reply.Refused == plane.KindConflict && reply.Winner == author && found.config.Number == 0:
		// The number was committed by an earlier change of this folder whose
		// reply was lost; submit this change under the next number.
		w.pending.Number = number + 1
	case reply.Refused == plane.KindConflict || reply.Refused == plane.KindInvalid:
		w.Host.Log.Write("folder-rejected", "number", number, "kind", reply.Refused, "winner", reply.Winner, "detail", reply.Detail)
		w.markHandled(found)
	default:
		w.complain("folder-waiting", "kind", reply.Refused, "detail", reply.Detail)
	}
}

// submissionNumber returns the number to submit the content under. The number
// stays the same until the content changes.
func (w *Watcher) submissionNumber(found content, committed uint64) uint64 {
	if found.config.Number != 0 {
		return found.config.Number
	}
	if w.pending.Mark != found.mark {
		w.pending = record{Mark: found.mark, Number: committed + 1}
	}
	return w.pending.Number
}

// recordCommitted stores that the content matches the committed configuration of
// the given number.
func (w *Watcher) recordCommitted(found content, number uint64) {
	w.markHandled(found)
	stored := record{Mark: found.mark, Number: number}
	if err := stored.write(w.RecordFile); err != nil {
		w.Host.Log.Write("folder-record-unusable", "file", w.RecordFile, "err", err)
	}
}

// markHandled notes that the content needs no further action until it changes.
func (w *Watcher) markHandled(found content) {
	w.handledMark, w.handledFingerprint = found.mark, found.fingerprint
	w.pending = record{}
	w.lastLogged = ""
}

// complain logs a problem unless it is the one logged last.
func (w *Watcher) complain(event string, keyvals ...any) {
	text := event + fmt.Sprint(keyvals...)
	if text == w.lastLogged {
		return
	}
	w.lastLogged = text
	w.Host.Log.Write(event, keyvals...)
}
