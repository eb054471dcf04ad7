// Package demo runs every role in one process on loopback, sends a mixed set of
// requests and checks each answer.
package demo

import (
	"context"
	"embed"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/spindle/report"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
)

//go:embed sample/*.json
var sample embed.FS

const (
	// startTimeout bounds the time until every role is ready.
	startTimeout = 10 * time.Second
	// runTimeout bounds the requests of the whole demo.
	runTimeout = 30 * time.Second
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindStart  Kind = "deployment did not start"
	KindAnswer Kind = "an answer was not as it should be"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Demo is one run. Its fields are set before Run.
type Demo struct {
	// Out receives the requests with their answers and the report.
	Out io.Writer
	// Log receives the processes' events; nil discards them.
	Log io.Writer
	// KeepRunning keeps the deployment running until ctx ends and sends no
	// requests.
	KeepRunning bool

	fleet    *fleet.Fleet
	config   *conf.Config
	client   *http.Client
	failures int
	checks   int
}

// Run starts the deployment, sends the requests and returns an error of
// KindAnswer when an answer is not the expected one.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "spindle-demo-")
	if err != nil {
		return &Error{Op: "make data folder", Kind: KindStart, Err: err}
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := d.start(ctx, folder); err != nil {
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	defer d.fleet.Close()
	if d.KeepRunning {
		d.waitForEnd(ctx, filepath.Join(folder, "sample"))
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	for _, step := range d.steps() {
		step(ctx)
	}
	if err := d.report(ctx); err != nil {
		return err
	}
	if d.failures > 0 {
		return &Error{Op: "demo", Kind: KindAnswer, Err: fmt.Errorf("%d of %d", d.failures, d.checks)}
	}
	_, _ = fmt.Fprintf(d.Out, "\nall %d as they should be\n", d.checks)
	return nil
}

func (d *Demo) start(ctx context.Context, folder string) error {
	operators := filepath.Join(folder, "sample")
	if err := writeSample(operators); err != nil {
		return err
	}
	config, err := conf.Load(operators)
	if err != nil {
		return err
	}
	config.Number = 1
	d.config = config
	ports := &fleet.Ports{}
	d.fleet = &fleet.Fleet{
		Spec: deploymentSpec(),
		Network: fleet.Network{
			Address: func(host, port string) string { return ports.Address(host + ":" + port) },
			Listen:  ports.Listen,
			Dialer:  ports.Dialer,
		},
		DataDir: filepath.Join(folder, "data"),
		Log:     d.Log,
	}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	d.fleet.Start(context.WithoutCancel(ctx))
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fleet.Apply(ctx, config); err != nil {
		return err
	}
	return d.fleet.WaitReady(ctx)
}

// deploymentSpec returns the size and the speed of the demo's deployment.
func deploymentSpec() fleet.Spec {
	return fleet.Spec{
		Control: 3, Entries: 2, Engines: 3, Services: 1, DataCentres: 3,
		AdapterSlots: 2, MaxRequests: 8, MaxServiceRequests: 16,
		TokenTime: 5 * time.Millisecond, PrefillTime: 20 * time.Microsecond, Slowdown: 0.02,
		ServiceDelay: 10 * time.Millisecond, LoadsPerSecond: 10, MaxConcurrentLoads: 8, UnfencedEngines: 1,
		Linger: 100 * time.Millisecond, ReportDelay: 200 * time.Millisecond,
	}
}

func writeSample(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("make sample folder: %w", err)
	}
	files, err := sample.ReadDir("sample")
	if err != nil {
		return fmt.Errorf("read sample: %w", err)
	}
	for _, file := range files {
		data, err := sample.ReadFile("sample/" + file.Name())
		if err != nil {
			return fmt.Errorf("read sample: %w", err)
		}
		if err := os.WriteFile(filepath.Join(folder, file.Name()), data, 0o644); err != nil {
			return fmt.Errorf("write sample: %w", err)
		}
	}
	return nil
}

// waitForEnd prints how to use the deployment and waits until ctx ends.
func (d *Demo) waitForEnd(ctx context.Context, operators string) {
	entry := d.fleet.EntryAddresses()[0]
	_, _ = fmt.Fprintf(d.Out, "entries: %v\ncontrol: %v\noperators' folder: %s\n\n", d.fleet.EntryAddresses(), d.fleet.ControlAddresses(), operators)
	_, _ = fmt.Fprintf(d.Out, "curl -s http://%s/v1/completions -H 'Authorization: Bearer demo-surat-desk' \\\n", entry)
	_, _ = fmt.Fprintln(d.Out, `  -d '{"model":"surat-summary","prompt":"Summarize:","max_tokens":8}'`)
	_, _ = fmt.Fprintf(d.Out, "curl -s http://%s/register/17 -H 'Authorization: Bearer demo-surat-desk'\n", entry)
	<-ctx.Done()
}

func (d *Demo) report(ctx context.Context) error {
	status, err := d.fleet.Status(ctx)
	if err != nil {
		return &Error{Op: "report", Kind: KindAnswer, Err: err}
	}
	_, _ = fmt.Fprintln(d.Out)
	if err := report.New(status.Burn).WriteText(d.Out); err != nil {
		return &Error{Op: "report", Kind: KindAnswer, Err: err}
	}
	return nil
}
