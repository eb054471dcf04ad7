// Package launch runs a daemon as a process: it loads the settings, sets up logging,
// networking and the metrics server, handles signals and determines the exit code.
package launch

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

// Exit codes of a daemon.
const (
	// ExitStopped means that the daemon stopped without a failure.
	ExitStopped = 0
	// ExitFailed means that the daemon ended because of a failure.
	ExitFailed = 1
	// ExitUsage means that the arguments or the settings are invalid.
	ExitUsage = 2
	// ExitForced means that a second signal interrupted a graceful stop.
	ExitForced = 130
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindRole        Kind = "settings are for another role"
	KindUsage       Kind = "expected one argument, the settings file"
	KindExposed     Kind = "listening beyond loopback is not allowed"
	KindListen      Kind = "cannot listen"
	KindDial        Kind = "cannot connect"
	KindCertificate Kind = "handshake failed"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Program is a daemon that runs as a process. Its fields are set before Main.
type Program struct {
	// Role is the daemon's role, which must be the one in the settings.
	Role string
	// Arguments are the command-line arguments, without the program's name.
	Arguments []string
	// Output receives the event log and error messages.
	Output io.Writer
	// Signals delivers the signals to stop. The first one ends the context of Serve;
	// the second one ends the process immediately.
	Signals <-chan os.Signal
	// Serve runs the daemon until ctx ends; then it finishes the requests in flight
	// and returns nil.
	Serve func(ctx context.Context, h host.Host, s *setup.Settings) error
}

// Run runs a daemon of the given role with the arguments of this process until
// SIGTERM or an interrupt, and returns the exit code.
func Run(role string, serve func(ctx context.Context, h host.Host, s *setup.Settings) error) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	p := Program{Role: role, Arguments: os.Args[1:], Output: os.Stderr, Signals: signals, Serve: serve}
	return p.Main()
}

// Main runs the program and returns its exit code.
func (p *Program) Main() int {
	settings, err := p.load()
	if err != nil {
		_, _ = io.WriteString(p.Output, err.Error()+"\n")
		return ExitUsage
	}
	h, err := p.host(settings)
	if err != nil {
		_, _ = io.WriteString(p.Output, err.Error()+"\n")
		return ExitUsage
	}
	return p.serve(h, settings)
}

// load parses the arguments and loads the settings.
func (p *Program) load() (*setup.Settings, error) {
	flags := flag.NewFlagSet(p.Role, flag.ContinueOnError)
	flags.SetOutput(p.Output)
	if err := flags.Parse(p.Arguments); err != nil {
		return nil, &Error{Op: "read arguments", Kind: KindUsage, Err: err}
	}
	if flags.NArg() != 1 {
		return nil, &Error{Op: "read arguments", Kind: KindUsage}
	}
	settings, err := setup.Load(flags.Arg(0))
	if err != nil {
		return nil, err
	}
	if settings.Role != p.Role {
		return nil, &Error{Op: "start " + p.Role, Kind: KindRole}
	}
	return settings, nil
}

func (p *Program) host(s *setup.Settings) (host.Host, error) {
	network, err := newNetwork(s)
	if err != nil {
		return host.Host{}, err
	}
	return host.Host{
		VM:         s.Name,
		DataCentre: s.DataCentre,
		Log:        event.New(p.Output, s.Role+"/"+s.Name),
		Meter:      meter.New(),
		Dial:       network.dial,
		Listen:     network.listen,
	}, nil
}

// serve runs the daemon and its metrics server until the daemon ends or a second
// signal arrives, and returns the exit code.
func (p *Program) serve(h host.Host, s *setup.Settings) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closeMetrics, err := serveMetrics(h, s.Metrics)
	if err != nil {
		h.Log.Write("failed", "err", err)
		return ExitFailed
	}
	defer closeMetrics()
	ended := make(chan error, 1)
	go func() { ended <- p.Serve(ctx, h, s) }()
	h.Log.Write("started", "role", s.Role, "data_centre", s.DataCentre)
	stopping := false
	for {
		select {
		case err := <-ended:
			return exitCode(h, err)
		case got := <-p.Signals:
			if stopping {
				h.Log.Write("forced", "signal", got)
				return ExitForced
			}
			stopping = true
			h.Log.Write("stopping", "signal", got)
			cancel()
		}
	}
}

// exitCode logs how the daemon ended and returns the exit code.
func exitCode(h host.Host, err error) int {
	if err != nil {
		h.Log.Write("failed", "err", err)
		return ExitFailed
	}
	h.Log.Write("stopped")
	return ExitStopped
}
