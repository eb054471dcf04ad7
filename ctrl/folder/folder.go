// Package folder watches an operators' folder on a control VM and submits its
// content when operators change it.
//
// The committed configuration is authoritative and the folder only a way to
// change it: several folders and the command line may be in use at once, and
// a VM may come back with old files. So the content counts, not the time of
// files, and it is submitted only when it is known to be an operator's change
// that follows what is committed:
//
//   - While the process runs, content that differs from what it was when last
//     looked at is a change made now. It is submitted under the next number,
//     or under the folder's own. A conflict is reported with the winner and
//     the content is not tried again until it changes, so that the loser of a
//     race never overrides the winner.
//   - An answer that got lost is asked for again under the same number, so
//     that one change cannot be committed twice or over another's.
//   - At a start, the content is compared with the Record, which holds the
//     digest that the folder had when it was last in line with the committed
//     configuration, and that configuration's number. Unchanged content is
//     not submitted, whatever has been committed since. Changed content is
//     submitted if nothing has been committed since; otherwise nobody can
//     tell an edit from an old copy, and it is reported and left alone until
//     it changes again or an operator applies it.
//   - Without a Record (a new disk), content equal to the committed
//     configuration is taken as in line; other content is submitted only if
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
	// DefaultPollInterval is the time between two looks when no event comes; events
	// get lost, and some file systems have none.
	DefaultPollInterval = 2 * time.Second
	// settle is how long the content must stay the same, so that files being
	// copied are not taken for the whole.
	settle = 300 * time.Millisecond
	// callTimeout bounds one question to control.
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
	// Host is the daemon's.
	Host host.Host
	// Dir is the operators' folder.
	Dir string
	// RecordFile is the file that remembers the digest last in line with the
	// committed configuration; it belongs into the data folder.
	RecordFile string
	// PollInterval is the time between two looks; zero means DefaultPoll.
	PollInterval time.Duration
	// Fetch returns the committed configuration and its author. It must not
	// be older than the call; nil means that nothing was ever committed.
	Fetch func(ctx context.Context) (*conf.Config, string, error)
	// Submit proposes a configuration.
	Submit func(ctx context.Context, ask *plane.SubmitRequest) (*plane.SubmitReply, error)
	// Notify sends on the channel when something in the folder may have
	// changed, until the returned function is called. Nil only polls.
	Notify func(dir string) (<-chan struct{}, func(), error)

	// seen is the mark of the content that needs nothing more, and sum that of
	// the files it was read from; empty and 0 until the first look is done.
	seen string
	sum  uint64
	// pending is the content being submitted and the number it was given.
	pending record
	// complaint is the last fault logged, so that each is logged once.
	complaint string
}

// content is what the folder holds.
type content struct {
	config *conf.Config
	// digest is the configuration's, and mark the digest together with the
	// number that the folder asks for.
	digest, mark string
	// sum is the hash of the files.
	sum uint64
}

// Run watches until ctx ends.
func (f *Watcher) Run(ctx context.Context) error {
	events, stop := f.notify()
	defer stop()
	poll := f.PollInterval
	if poll == 0 {
		poll = DefaultPollInterval
	}
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for {
		f.look(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-events:
		case <-ticker.C:
		}
	}
}

func (f *Watcher) notify() (<-chan struct{}, func()) {
	if f.Notify == nil {
		return nil, func() {}
	}
	events, stop, err := f.Notify(f.Dir)
	if err != nil {
		f.Host.Log.Write("folder-events-off", "dir", f.Dir, "err", err)
		return nil, func() {}
	}
	return events, stop
}

// look submits the content if it needs to be.
func (f *Watcher) look(ctx context.Context) {
	now, ok := f.read(ctx)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	committed, _, err := f.Fetch(call)
	if err != nil {
		f.complain("folder-waiting", "err", err)
		return
	}
	if committed == nil {
		committed = &conf.Config{}
	}
	switch {
	case committed.Digest() == now.digest:
		f.accept(now, committed.Number)
	case f.seen == "" && !f.mayStart(now.mark, committed.Number):
		f.finish(now)
	default:
		f.submit(call, now, committed.Number)
	}
}

// read returns the content if it is new and has stayed the same for a while.
func (f *Watcher) read(ctx context.Context) (content, bool) {
	sum, _ := conf.Fingerprint(f.Dir)
	if sum == f.sum && f.seen != "" {
		return content{}, false
	}
	for settled := false; !settled; {
		if !pause.For(ctx, settle) {
			return content{}, false
		}
		next, _ := conf.Fingerprint(f.Dir)
		settled, sum = next == sum, next
	}
	config, err := conf.Load(f.Dir)
	if again, _ := conf.Fingerprint(f.Dir); again != sum {
		return content{}, false
	}
	if err != nil {
		f.complain("folder-refused", "dir", f.Dir, "err", err)
		return content{}, false
	}
	digest := config.Digest()
	now := content{config: config, digest: digest, mark: fmt.Sprintf("%s#%d", digest, config.Number), sum: sum}
	if now.mark == f.seen {
		f.finish(now)
		return content{}, false
	}
	return now, true
}

// mayStart reports whether the content found at the start is a change that
// follows the committed configuration.
func (f *Watcher) mayStart(mark string, committed uint64) bool {
	known, err := readRecord(f.RecordFile)
	switch {
	case err != nil:
		f.Host.Log.Write("folder-record-unusable", "file", f.RecordFile, "err", err)
		return false
	case known.Mark == mark:
		return false
	case known.Number == committed:
		return true
	}
	f.Host.Log.Write("folder-stale", "dir", f.Dir, "committed", committed, "record", known.Number)
	return false
}

func (f *Watcher) submit(ctx context.Context, now content, committed uint64) {
	number := f.number(now, committed)
	ask := *now.config
	ask.Number = number
	author := "folder@" + f.Host.VM
	answer, err := f.Submit(ctx, &plane.SubmitRequest{Config: &ask, Author: author})
	if err != nil {
		f.complain("folder-waiting", "err", err)
		return
	}
	switch {
	case answer.Refused == plane.KindNone:
		f.Host.Log.Write("folder-submitted", "dir", f.Dir, "number", number)
		f.accept(now, number)
	case answer.Refused == plane.KindConflict && answer.Winner == author && now.config.Number == 0:
		// An earlier change of this folder, whose answer was lost, has the
		// number; this one follows it.
		f.pending.Number = number + 1
	case answer.Refused == plane.KindConflict || answer.Refused == plane.KindInvalid:
		f.Host.Log.Write("folder-rejected", "number", number, "kind", answer.Refused, "winner", answer.Winner, "detail", answer.Detail)
		f.finish(now)
	default:
		f.complain("folder-waiting", "kind", answer.Refused, "detail", answer.Detail)
	}
}

// number returns the number to submit the content under. It stays the same
// until the content changes.
func (f *Watcher) number(now content, committed uint64) uint64 {
	if now.config.Number != 0 {
		return now.config.Number
	}
	if f.pending.Mark != now.mark {
		f.pending = record{Mark: now.mark, Number: committed + 1}
	}
	return f.pending.Number
}

// accept remembers that the folder is in line with the committed
// configuration.
func (f *Watcher) accept(now content, number uint64) {
	f.finish(now)
	known := record{Mark: now.mark, Number: number}
	if err := known.write(f.RecordFile); err != nil {
		f.Host.Log.Write("folder-record-unusable", "file", f.RecordFile, "err", err)
	}
}

// finish notes that the content needs nothing more.
func (f *Watcher) finish(now content) {
	f.seen, f.sum = now.mark, now.sum
	f.pending = record{}
	f.complaint = ""
}

// complain logs a fault unless it is the one logged last.
func (f *Watcher) complain(event string, keyvals ...any) {
	text := event + fmt.Sprint(keyvals...)
	if text == f.complaint {
		return
	}
	f.complaint = text
	f.Host.Log.Write(event, keyvals...)
}
