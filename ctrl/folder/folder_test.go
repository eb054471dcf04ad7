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

// control stands in for the committed state.
type control struct {
	mutex     sync.Mutex
	committed conf.Config
	winner    string
	asks      []uint64
	// lose answers get lost after the commit, and down calls fail before it.
	lose, down int
}

func (c *control) fetch(context.Context) (*conf.Config, string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down > 0 {
		c.down--
		return nil, "", fmt.Errorf("no leader")
	}
	if c.committed.Number == 0 {
		return nil, "", nil
	}
	copied := c.committed
	return &copied, c.winner, nil
}

func (c *control) submit(_ context.Context, ask *plane.SubmitRequest) (*plane.SubmitReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asks = append(c.asks, ask.Config.Number)
	switch {
	case ask.Config.Number == c.committed.Number+1:
		c.committed, c.winner = *ask.Config, ask.Author
	case ask.Config.Number != c.committed.Number || ask.Config.Digest() != c.committed.Digest():
		return &plane.SubmitReply{Refused: plane.KindConflict, Winner: c.winner, ConfigNumber: c.committed.Number}, nil
	}
	if c.lose > 0 {
		c.lose--
		return nil, fmt.Errorf("answer lost")
	}
	return &plane.SubmitReply{ConfigNumber: c.committed.Number}, nil
}

// bench is a watched folder with its control, in a bubble.
type bench struct {
	t       *testing.T
	control *control
	dir     string
	record  string
	log     bytes.Buffer
	stop    func()
}

// run starts a bench whose folder and committed configuration have the given
// rates, with 0 for an empty one, and a record when it is not nil.
func run(t *testing.T, folder, committed int64, number uint64, body func(b *bench)) {
	bubble.Test(t, func(t *testing.T) {
		b := &bench{t: t, control: &control{winner: "someone"}, dir: t.TempDir(), record: filepath.Join(t.TempDir(), "record")}
		b.commit(number, committed)
		b.write("a.json", text(folder))
		b.start()
		body(b)
		b.stop()
	})
}

func text(rate int64) string {
	return fmt.Sprintf(`{"workspaces": {"w": {"rate": %d, "burst": 1}}}`, rate)
}

func (b *bench) write(name, text string) {
	require.NoError(b.t, os.WriteFile(filepath.Join(b.dir, name), []byte(text), 0o600))
}

// commit puts a configuration in force past the folder.
func (b *bench) commit(number uint64, rate int64) {
	if number == 0 {
		return
	}
	dir := b.t.TempDir()
	require.NoError(b.t, os.WriteFile(filepath.Join(dir, "a.json"), []byte(text(rate)), 0o600))
	config, err := conf.Load(dir)
	require.NoError(b.t, err)
	config.Number = number
	b.control.mutex.Lock()
	defer b.control.mutex.Unlock()
	b.control.committed = *config
}

// start starts the process anew and gives it time.
func (b *bench) start() {
	if b.stop != nil {
		b.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Watcher{
		Host: host.Host{VM: "c1", Log: event.New(&b.log, "c1")}, Dir: b.dir, RecordFile: b.record,
		Fetch: b.control.fetch, Submit: b.control.submit,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	b.stop = func() {
		cancel()
		<-done
	}
	b.wait()
}

func (b *bench) wait() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

// require checks what is committed and how often submissions were made.
func (b *bench) require(rate int64, number uint64, asks int) {
	b.t.Helper()
	require.Equal(b.t, rate, b.control.committed.Workspaces["w"].Rate, &b.log)
	require.Equal(b.t, number, b.control.committed.Number, &b.log)
	require.Len(b.t, b.control.asks, asks, &b.log)
}

func TestChangeIsSubmittedUnderTheNextNumber(t *testing.T) {
	run(t, 1, 1, 4, func(b *bench) {
		b.require(1, 4, 0)
		b.write("a.json", text(2))
		b.wait()
		b.require(2, 5, 1)
		b.write("b.json", "{} // only a comment")
		b.wait()
		b.require(2, 5, 1)
		require.NotContains(t, b.log.String(), "event=folder-refused")
	})
}

func TestFirstConfigurationIsSubmitted(t *testing.T) {
	run(t, 1, 0, 0, func(b *bench) { b.require(1, 1, 1) })
}

func TestHalfWrittenFileDoesNoHarm(t *testing.T) {
	run(t, 1, 1, 1, func(b *bench) {
		b.write("a.json", text(2)[:20])
		b.wait()
		b.wait()
		b.require(1, 1, 0)
		require.Equal(t, 1, strings.Count(b.log.String(), "event=folder-refused"))
		b.write("a.json", text(2))
		b.wait()
		b.require(2, 2, 1)
	})
}

func TestFilesBeingCopiedAreSubmittedTogether(t *testing.T) {
	run(t, 1, 1, 1, func(b *bench) {
		for i := range 40 {
			b.write(fmt.Sprintf("b%d.json", i), text(int64(i+2)))
			time.Sleep(settle - time.Millisecond)
		}
		b.write("c.json", text(99))
		b.wait()
		b.require(99, 2, 1)
	})
}

func TestMissingFolderIsNotAnEmptyConfiguration(t *testing.T) {
	run(t, 1, 1, 1, func(b *bench) {
		require.NoError(t, os.Remove(filepath.Join(b.dir, "a.json")))
		b.wait()
		b.require(1, 1, 0)
	})
}

func TestStaleFolderNeverOverridesAfterRestart(t *testing.T) {
	run(t, 1, 0, 0, func(b *bench) {
		b.commit(2, 7)
		b.start()
		b.require(7, 2, 1)
		require.NotContains(t, b.log.String(), "event=folder-stale")
		b.write("a.json", text(3))
		b.wait()
		b.require(3, 3, 2)
	})
}

func TestEditDuringDowntime(t *testing.T) {
	for name, others := range map[string]bool{"nothing else committed": false, "others committed": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 0, 0, func(b *bench) {
				b.stop()
				b.write("a.json", text(3))
				if others {
					b.commit(2, 7)
				}
				b.start()
				if !others {
					b.require(3, 2, 2)
					return
				}
				b.require(7, 2, 1)
				require.Contains(t, b.log.String(), "event=folder-stale")
			})
		})
	}
}

func TestNewDiskSubmitsNothingUntilAChange(t *testing.T) {
	run(t, 1, 7, 5, func(b *bench) {
		b.require(7, 5, 0)
		b.write("a.json", text(2))
		b.wait()
		b.require(2, 6, 1)
	})
}

func TestLoserOfARaceIsNotRetriedUntilItChanges(t *testing.T) {
	run(t, 1, 1, 1, func(b *bench) {
		b.write("a.json", `{"number": 2, "workspaces": {"w": {"rate": 5, "burst": 1}}}`)
		b.commit(2, 9)
		b.wait()
		b.wait()
		b.require(9, 2, 1)
		require.Contains(t, b.log.String(), "winner=someone")
		b.write("a.json", `{"number": 3, "workspaces": {"w": {"rate": 5, "burst": 1}}}`)
		b.wait()
		b.require(5, 3, 2)
	})
}

func TestLostAnswerAndAbsentLeaderCommitOnce(t *testing.T) {
	run(t, 1, 1, 1, func(b *bench) {
		b.control.lose, b.control.down = 1, 2
		b.write("a.json", text(2))
		b.wait()
		b.wait()
		b.wait()
		b.require(2, 2, 1)
	})
}

func TestLostRequestKeepsItsNumber(t *testing.T) {
	run(t, 1, 1, 1, func(b *bench) {
		f := &Watcher{Host: host.Host{VM: "c1"}, Dir: b.dir, Fetch: b.control.fetch, Submit: b.control.submit, RecordFile: b.record}
		now := content{config: &conf.Config{}, mark: "x"}
		require.Equal(t, uint64(2), f.number(now, 1))
		require.Equal(t, uint64(2), f.number(now, 8))
		require.Equal(t, uint64(9), f.number(content{config: &conf.Config{}, mark: "y"}, 8))
	})
}

func TestOwnEarlierChangeIsFollowed(t *testing.T) {
	run(t, 1, 1, 1, func(b *bench) {
		b.control.committed.Number = 1
		stale := b.control.committed
		fetches := 0
		f := &Watcher{
			Host: host.Host{VM: "c1", Log: event.New(&b.log, "c1")}, Dir: b.dir, RecordFile: b.record, Submit: b.control.submit,
			Fetch: func(ctx context.Context) (*conf.Config, string, error) {
				fetches++
				return &stale, "", nil
			},
			seen: "something",
		}
		b.stop()
		b.commit(2, 6)
		b.control.winner = "folder@c1"
		b.write("a.json", text(3))
		f.look(context.Background())
		f.look(context.Background())
		b.require(3, 3, 2)
		require.Equal(t, 2, fetches)
		b.start()
	})
}

func TestNotifyTellsOfChanges(t *testing.T) {
	dir := t.TempDir()
	events, stop, err := Notify(dir)
	require.NoError(t, err)
	defer stop()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.json"), nil, 0o600))
	<-events
}
