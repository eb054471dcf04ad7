package cmds

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/folder"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
)

// deployment is a real control group with entries, in a bubble.
type deployment struct {
	t       *testing.T
	network *vnet.Network
	fleet   *fleet.Fleet
	// dir is the folder watched by ctrl0.
	dir string
}

func deploy(t *testing.T, body func(d *deployment)) {
	bubble.Test(t, func(t *testing.T) {
		d := &deployment{t: t, network: vnet.New(), dir: t.TempDir()}
		d.network.Latency = func(string, string) time.Duration { return time.Millisecond }
		d.fleet = &fleet.Fleet{
			Spec: fleet.Spec{Control: 3, Entries: 2, DataCentres: 3, LoadsPerSecond: 2, MaxConcurrentLoads: 8, Linger: time.Millisecond},
			Network: fleet.Network{
				Address: func(host, port string) string { return host + ":" + port },
				Listen:  d.network.Listen, Dialer: d.network.Dialer,
			},
			DataDir:          t.TempDir(),
			ConfigureControl: d.watch,
		}
		d.fleet.Start(t.Context())
		time.Sleep(5 * time.Second)
		body(d)
		d.fleet.Close()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// watch makes ctrl0 watch the folder.
func (d *deployment) watch(replica *daemon.Daemon) {
	if replica.Name != fleet.ControlName(0) {
		return
	}
	watched := &folder.Watcher{
		Host: replica.Host, Dir: d.dir, RecordFile: filepath.Join(replica.DataDir, "folder.json"),
		Fetch: replica.Fetch, Submit: replica.Submit,
	}
	replica.Watch = watched.Run
}

// run runs one command line and returns its exit code and output.
func (d *deployment) run(author string, arguments ...string) (int, string) {
	var output bytes.Buffer
	p := &Program{Output: &output, Errors: &output, Author: author, Dial: d.network.Dialer("ops")}
	flags := []string{"spindle", "--control", "ctrl1:control,ctrl2:control,ctrl0:control"}
	return p.Main(context.Background(), append(flags, arguments...)), output.String()
}

func (d *deployment) require(code int, output string, arguments ...string) {
	d.t.Helper()
	got, text := d.run("asha@ops", arguments...)
	require.Equal(d.t, code, got, text)
	require.Contains(d.t, text, output)
}

// rate returns an operators' folder that gives a workspace a rate.
func (d *deployment) rate(rate int) string { return folderOf(d.t, text(rate)) }

func text(rate int) string {
	return fmt.Sprintf(`{"workspaces": {"w": {"rate": %d, "burst": 9}}}`, rate)
}

func TestApplyWaitsUntilInForceAtRealControl(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.require(ExitDone, "number 1 is in force everywhere", "apply", d.rate(1))
		d.require(ExitDone, "number 1 is in force everywhere", "apply", d.rate(1))
		d.require(ExitDone, "number 2 is in force everywhere", "apply", d.rate(2))
		d.require(ExitDone, "configuration 2", "status")
		// A cut-off entry keeps its lease for 3 s; after that nobody needs to
		// wait for it.
		d.network.Isolate("entry0", "ctrl0", "ctrl1", "ctrl2")
		d.require(ExitLagging, "entry0", "apply", "--wait", "1s", d.rate(3))
		time.Sleep(5 * time.Second)
		d.require(ExitDone, "number 3 is in force everywhere", "apply", d.rate(3))
		d.network.Rejoin("entry0", "ctrl0", "ctrl1", "ctrl2")
		time.Sleep(5 * time.Second)
	})
}

func TestOperatorsRacingUnderOneNumber(t *testing.T) {
	deploy(t, func(d *deployment) {
		codes := make([]int, 4)
		var group sync.WaitGroup
		for i := range codes {
			dir := folderOf(d.t, fmt.Sprintf(`{"number": 1, "workspaces": {"w": {"rate": %d, "burst": 9}}}`, i+1))
			group.Go(func() { codes[i], _ = d.run(fmt.Sprintf("operator%d", i), "apply", dir) })
		}
		group.Wait()
		counts := map[int]int{}
		for _, code := range codes {
			counts[code]++
		}
		require.Equal(t, map[int]int{ExitDone: 1, ExitConflict: 3}, counts)
	})
}

func TestWatchedFolderAndCommandLineAtRealControl(t *testing.T) {
	deploy(t, func(d *deployment) {
		file := filepath.Join(d.dir, "a.json")
		require.NoError(t, os.WriteFile(file, []byte(text(1)), 0o600))
		time.Sleep(5 * time.Second)
		d.require(ExitDone, "configuration 1", "status")
		d.require(ExitDone, "number 2 is in force", "apply", d.rate(2))
		// A restart of the watching replica does not bring the folder back.
		require.NoError(t, d.fleet.Stop(fleet.ControlName(0)))
		d.fleet.StartControl(0)
		time.Sleep(20 * time.Second)
		d.require(ExitDone, "configuration 2", "status")
		require.NoError(t, os.WriteFile(file, []byte(text(3)), 0o600))
		time.Sleep(5 * time.Second)
		d.require(ExitDone, "configuration 3", "status")
	})
}

func TestOrdersAtRealControl(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.require(ExitDone, "number 1 is in force", "apply", d.rate(1))
		for _, name := range []string{"ctrl1", "ctrl2", "ctrl0"} {
			d.require(ExitDone, name+" leads", "move", name)
			time.Sleep(2 * time.Second)
			d.require(ExitDone, "leader "+name, "status")
		}
		d.require(ExitDone, "no quarantined", "ban", "list")
		d.require(ExitFailed, "no such quarantine", "ban", "lift", "01ff")
		d.require(ExitDone, "no requests counted yet", "report")
		for _, name := range []string{"ctrl0", "ctrl1"} {
			require.NoError(t, d.fleet.Stop(name))
		}
		d.require(ExitUnreachable, "", "apply", d.rate(2))
		d.fleet.StartControl(0)
		time.Sleep(10 * time.Second)
		d.require(ExitDone, "in force", "apply", d.rate(2))
	})
}

func TestReplaceAdmitsAnEmptyReplicaAtRealControl(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.require(ExitDone, "number 1 is in force", "apply", d.rate(1))
		require.NoError(t, d.fleet.Stop("ctrl2"))
		require.NoError(t, os.RemoveAll(filepath.Join(d.fleet.DataDir, "ctrl2")))
		d.fleet.StartControl(2)
		d.require(ExitDone, "ctrl2 is replaced", "replace", "ctrl2")
		// The repaired group must do without either of the others.
		require.NoError(t, d.fleet.Stop("ctrl1"))
		d.require(ExitDone, "number 2 is in force", "apply", d.rate(2))
		d.fleet.StartControl(1)
		d.require(ExitUnreachable, "", "replace", "ctrl9")
	})
}
