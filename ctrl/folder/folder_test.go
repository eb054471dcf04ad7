package folder

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// control simulates the control group with its committed configuration.
type control struct {
	mutex            sync.Mutex
	committed        conf.Config
	winner           string
	submittedNumbers []uint64
	// lostReplies is the number of next submissions whose reply is lost after
	// the commit, and failedFetches that of next fetches that fail.
	lostReplies, failedFetches int
}

func (c *control) fetch(context.Context) (*conf.Config, string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failedFetches > 0 {
		c.failedFetches--
		return nil, "", fmt.Errorf("no leader")
	}
	if c.committed.Number == 0 {
		return nil, "", nil
	}
	copied := c.committed
	return &copied, c.winner, nil
}

func (c *control) submit(_ context.Context, request *plane.SubmitRequest) (*plane.SubmitReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.submittedNumbers = append(c.submittedNumbers, request.Config.Number)
	switch {
	case request.Config.Number == c.committed.Number+1:
		c.committed, c.winner = *request.Config, request.Author
	case request.Config.Number != c.committed.Number || request.Config.Digest() != c.committed.Digest():
		return &plane.SubmitReply{Refused: plane.KindConflict, Winner: c.winner, ConfigNumber: c.committed.Number}, nil
	}
	if c.lostReplies > 0 {
		c.lostReplies--
		return nil, fmt.Errorf("reply lost")
	}
	return &plane.SubmitReply{ConfigNumber: c.committed.Number}, nil
}

// fixture is a watched folder and a simulated control group in a synctest bubble.
type fixture struct {
	t       *testing.T
	control *control
	dir     string
	record  string
	log     bytes.Buffer
	stop    func()
}

// withWatcher runs body with a started fixture whose folder has the given rate and whose committed
// configuration has the given rate and number; number 0 means that nothing is committed.
func withWatcher(t *testing.T, folder, committed int64, number uint64, body func(fx *fixture)) {
	bubble.Test(t, func(t *testing.T) {
		fx := &fixture{t: t, control: &control{winner: "someone"}, dir: t.TempDir(), record: filepath.Join(t.TempDir(), "record")}
		fx.commit(number, committed)
		fx.write("a.json", configText(folder))
		fx.start()
		body(fx)
		fx.stop()
	})
}

func configText(rate int64) string {
	return fmt.Sprintf(`{"workspaces": {"w": {"rate": %d, "burst": 1}}}`, rate)
}

func (fx *fixture) write(name, text string) {
	require.NoError(fx.t, os.WriteFile(filepath.Join(fx.dir, name), []byte(text), 0o600))
}

// commit commits a configuration other than through the folder; number 0 commits none.
func (fx *fixture) commit(number uint64, rate int64) {
	if number == 0 {
		return
	}
	dir := fx.t.TempDir()
	require.NoError(fx.t, os.WriteFile(filepath.Join(dir, "a.json"), []byte(configText(rate)), 0o600))
	config, err := conf.Load(dir)
	require.NoError(fx.t, err)
	config.Number = number
	fx.control.mutex.Lock()
	defer fx.control.mutex.Unlock()
	fx.control.committed = *config
}

// start starts or restarts the watcher and waits for its first checks.
func (fx *fixture) start() {
	if fx.stop != nil {
		fx.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		Host: host.Host{VM: "c1", Log: event.New(&fx.log, "c1")}, Dir: fx.dir, RecordFile: fx.record,
		Fetch: fx.control.fetch, Submit: fx.control.submit,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	fx.stop = func() {
		cancel()
		<-done
	}
	fx.wait()
}

func (fx *fixture) wait() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

// requireState checks the committed configuration and the number of submissions.
func (fx *fixture) requireState(rate int64, number uint64, submissions int) {
	fx.t.Helper()
	require.Equal(fx.t, rate, fx.control.committed.Workspaces["w"].Rate, &fx.log)
	require.Equal(fx.t, number, fx.control.committed.Number, &fx.log)
	require.Len(fx.t, fx.control.submittedNumbers, submissions, &fx.log)
}

func TestChangeIsSubmittedUnderTheNextNumber(t *testing.T) {
	withWatcher(t, 1, 1, 4, func(fx *fixture) {
		fx.requireState(1, 4, 0)
		fx.write("a.json", configText(2))
		fx.wait()
		fx.requireState(2, 5, 1)
		fx.write("b.json", "{} // only a comment")
		fx.wait()
		fx.requireState(2, 5, 1)
		require.NotContains(t, fx.log.String(), "event=folder-refused")
	})
}

func TestFirstConfigurationIsSubmitted(t *testing.T) {
	withWatcher(t, 1, 0, 0, func(fx *fixture) { fx.requireState(1, 1, 1) })
}

func TestPartiallyWrittenFileIsNotSubmitted(t *testing.T) {
	withWatcher(t, 1, 1, 1, func(fx *fixture) {
		fx.write("a.json", configText(2)[:20])
		fx.wait()
		fx.wait()
		fx.requireState(1, 1, 0)
		require.Equal(t, 1, strings.Count(fx.log.String(), "event=folder-refused"))
		fx.write("a.json", configText(2))
		fx.wait()
		fx.requireState(2, 2, 1)
	})
}

func TestFilesBeingCopiedAreSubmittedTogether(t *testing.T) {
	withWatcher(t, 1, 1, 1, func(fx *fixture) {
		for i := range 40 {
			fx.write(fmt.Sprintf("b%d.json", i), configText(int64(i+2)))
			time.Sleep(settleTime - time.Millisecond)
		}
		fx.write("c.json", configText(99))
		fx.wait()
		fx.requireState(99, 2, 1)
	})
}

func TestMissingFolderIsNotAnEmptyConfiguration(t *testing.T) {
	withWatcher(t, 1, 1, 1, func(fx *fixture) {
		require.NoError(t, os.Remove(filepath.Join(fx.dir, "a.json")))
		fx.wait()
		fx.requireState(1, 1, 0)
	})
}

func TestStaleFolderIsNotSubmittedAfterRestart(t *testing.T) {
	withWatcher(t, 1, 0, 0, func(fx *fixture) {
		fx.commit(2, 7)
		fx.start()
		fx.requireState(7, 2, 1)
		require.NotContains(t, fx.log.String(), "event=folder-stale")
		fx.write("a.json", configText(3))
		fx.wait()
		fx.requireState(3, 3, 2)
	})
}

func TestEditDuringDowntime(t *testing.T) {
	for name, others := range map[string]bool{"nothing else committed": false, "others committed": true} {
		t.Run(name, func(t *testing.T) {
			withWatcher(t, 1, 0, 0, func(fx *fixture) {
				fx.stop()
				fx.write("a.json", configText(3))
				if others {
					fx.commit(2, 7)
				}
				fx.start()
				if !others {
					fx.requireState(3, 2, 2)
					return
				}
				fx.requireState(7, 2, 1)
				require.Contains(t, fx.log.String(), "event=folder-stale")
			})
		})
	}
}

func TestNewDiskSubmitsNothingUntilAChange(t *testing.T) {
	withWatcher(t, 1, 7, 5, func(fx *fixture) {
		fx.requireState(7, 5, 0)
		fx.write("a.json", configText(2))
		fx.wait()
		fx.requireState(2, 6, 1)
	})
}

func TestConflictingChangeIsNotRetriedUntilItChanges(t *testing.T) {
	withWatcher(t, 1, 1, 1, func(fx *fixture) {
		fx.write("a.json", `{"number": 2, "workspaces": {"w": {"rate": 5, "burst": 1}}}`)
		fx.commit(2, 9)
		fx.wait()
		fx.wait()
		fx.requireState(9, 2, 1)
		require.Contains(t, fx.log.String(), "winner=someone")
		fx.write("a.json", `{"number": 3, "workspaces": {"w": {"rate": 5, "burst": 1}}}`)
		fx.wait()
		fx.requireState(5, 3, 2)
	})
}

func TestLostReplyAndMissingLeaderCommitOnce(t *testing.T) {
	withWatcher(t, 1, 1, 1, func(fx *fixture) {
		fx.control.lostReplies, fx.control.failedFetches = 1, 2
		fx.write("a.json", configText(2))
		fx.wait()
		fx.wait()
		fx.wait()
		fx.requireState(2, 2, 1)
	})
}

func TestLostRequestKeepsItsNumber(t *testing.T) {
	withWatcher(t, 1, 1, 1, func(fx *fixture) {
		w := &Watcher{Host: host.Host{VM: "c1"}, Dir: fx.dir, Fetch: fx.control.fetch, Submit: fx.control.submit, RecordFile: fx.record}
		now := content{config: &conf.Config{}, mark: "x"}
		require.Equal(t, uint64(2), w.submissionNumber(now, 1))
		require.Equal(t, uint64(2), w.submissionNumber(now, 8))
		require.Equal(t, uint64(9), w.submissionNumber(content{config: &conf.Config{}, mark: "y"}, 8))
	})
}

func TestOwnEarlierChangeIsFollowed(t *testing.T) {
	withWatcher(t, 1, 1, 1, func(fx *fixture) {
		fx.control.committed.Number = 1
		stale := fx.control.committed
		fetches := 0
		w := &Watcher{
			Host: host.Host{VM: "c1", Log: event.New(&fx.log, "c1")}, Dir: fx.dir, RecordFile: fx.record, Submit: fx.control.submit,
			Fetch: func(ctx context.Context) (*conf.Config, string, error) {
				fetches++
				return &stale, "", nil
			},
			handledMark: "something",
		}
		fx.stop()
		fx.commit(2, 6)
		fx.control.winner = "folder@c1"
		fx.write("a.json", configText(3))
		w.check(context.Background())
		w.check(context.Background())
		fx.requireState(3, 3, 2)
		require.Equal(t, 2, fetches)
		fx.start()
	})
}

func TestNotifyReportsChanges(t *testing.T) {
	dir := t.TempDir()
	events, stop, err := Notify(dir)
	require.NoError(t, err)
	defer stop()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.json"), nil, 0o600))
	<-events
}
