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

// deployment is a real control group with entries, in a synctest bubble.
type deployment struct {
	t       *testing.T
	network *vnet.Network
	fleet   *fleet.Fleet
	// dir is the operators' folder that ctrl0 watches.
	dir string
}

// withDeployment starts a deployment, runs body and stops the deployment.
func withDeployment(t *testing.T, body func(d *deployment)) {
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

// watch makes ctrl0 watch the operators' folder.
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

// requireRun runs one command line and checks its exit code and output.
func (d *deployment) requireRun(code int, output string, arguments ...string) {
	d.t.Helper()
	got, text := d.run("asha@ops", arguments...)
	require.Equal(d.t, code, got, text)
	require.Contains(d.t, text, output)
}

// rateFolder returns an operators' folder that sets the rate of a workspace.
func (d *deployment) rateFolder(rate int) string { return writeFolder(d.t, rateConfig(rate)) }

func rateConfig(rate int) string {
	return fmt.Sprintf(`{"workspaces": {"w": {"rate": %d, "burst": 9}}}`, rate)
}

func TestApplyWaitsUntilInForceAtRealControl(t *testing.T) {
	withDeployment(t, func(d *deployment) {
		d.requireRun(ExitDone, "number 1 is in force everywhere", "apply", d.rateFolder(1))
		d.requireRun(ExitDone, "number 1 is in force everywhere", "apply", d.rateFolder(1))
		d.requireRun(ExitDone, "number 2 is in force everywhere", "apply", d.rateFolder(2))
		d.requireRun(ExitDone, "configuration 2", "status")
		// A disconnected entry holds its lease for 3 s; after that control does
		// not wait for it.
		d.network.Isolate("entry0", "ctrl0", "ctrl1", "ctrl2")
		d.requireRun(ExitLagging, "entry0", "apply", "--wait", "1s", d.rateFolder(3))
		time.Sleep(5 * time.Second)
		d.requireRun(ExitDone, "number 3 is in force everywhere", "apply", d.rateFolder(3))
		d.network.Rejoin("entry0", "ctrl0", "ctrl1", "ctrl2")
		time.Sleep(5 * time.Second)
	})
}

func TestOperatorsRacingUnderOneNumber(t *testing.T) {
	withDeployment(t, func(d *deployment) {
		codes := make([]int, 4)
		var group sync.WaitGroup
		for i := range codes {
			dir := writeFolder(d.t, fmt.Sprintf(`{"number": 1, "workspaces": {"w": {"rate": %d, "burst": 9}}}`, i+1))
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
	withDeployment(t, func(d *deployment) {
		file := filepath.Join(d.dir, "a.json")
		require.NoError(t, os.WriteFile(file, []byte(rateConfig(1)), 0o600))
		time.Sleep(5 * time.Second)
		d.requireRun(ExitDone, "configuration 1", "status")
		d.requireRun(ExitDone, "number 2 is in force", "apply", d.rateFolder(2))
		// A restart of the watching replica must not submit the unchanged folder
		// again.
		require.NoError(t, d.fleet.Stop(fleet.ControlName(0)))
		d.fleet.StartControl(0)
		time.Sleep(20 * time.Second)
		d.requireRun(ExitDone, "configuration 2", "status")
		require.NoError(t, os.WriteFile(file, []byte(rateConfig(3)), 0o600))
		time.Sleep(5 * time.Second)
		d.requireRun(ExitDone, "configuration 3", "status")
	})
}

func TestOrdersAtRealControl(t *testing.T) {
	withDeployment(t, func(d *deployment) {
		d.requireRun(ExitDone, "number 1 is in force", "apply", d.rateFolder(1))
		for _, name := range []string{"ctrl1", "ctrl2", "ctrl0"} {
			d.requireRun(ExitDone, name+" leads", "move", name)
			time.Sleep(2 * time.Second)
			d.requireRun(ExitDone, "leader "+name, "status")
		}
		d.requireRun(ExitDone, "no quarantined", "ban", "list")
		d.requireRun(ExitFailed, "no such quarantine", "ban", "lift", "01ff")
		d.requireRun(ExitDone, "no requests counted yet", "report")
		for _, name := range []string{"ctrl0", "ctrl1"} {
			require.NoError(t, d.fleet.Stop(name))
		}
		d.requireRun(ExitUnreachable, "", "apply", d.rateFolder(2))
		d.fleet.StartControl(0)
		time.Sleep(10 * time.Second)
		d.requireRun(ExitDone, "in force", "apply", d.rateFolder(2))
	})
}

func TestReplaceAdmitsAnEmptyReplicaAtRealControl(t *testing.T) {
	withDeployment(t, func(d *deployment) {
		d.requireRun(ExitDone, "number 1 is in force", "apply", d.rateFolder(1))
		require.NoError(t, d.fleet.Stop("ctrl2"))
		require.NoError(t, os.RemoveAll(filepath.Join(d.fleet.DataDir, "ctrl2")))
		d.fleet.StartControl(2)
		d.requireRun(ExitDone, "ctrl2 is replaced", "replace", "ctrl2")
		// The replaced replica must be a voter: the group works without ctrl1.
		require.NoError(t, d.fleet.Stop("ctrl1"))
		d.requireRun(ExitDone, "number 2 is in force", "apply", d.rateFolder(2))
		d.fleet.StartControl(1)
		d.requireRun(ExitUnreachable, "", "replace", "ctrl9")
	})
}
