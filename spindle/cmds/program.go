// Package cmds is the operators' command line, one file for each command.
package cmds

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Exit codes.
const (
	// ExitDone says that what was asked for is done.
	ExitDone = 0
	// ExitFailed says that files have faults or control refused.
	ExitFailed = 1
	// ExitUsage says that the command line is wrong.
	ExitUsage = 2
	// ExitConflict says that another operator has the number.
	ExitConflict = 3
	// ExitLagging says that the configuration is committed but not yet in
	// force everywhere.
	ExitLagging = 4
	// ExitUnreachable says that no control replica answered, or that control
	// has no leader. A change may or may not have been made: ask again.
	ExitUnreachable = 5
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindFailed      Kind = "failed"
	KindRefused     Kind = "refused"
	KindUsage       Kind = "wrong usage"
	KindConflict    Kind = "conflict"
	KindLagging     Kind = "not yet in force everywhere"
	KindUnreachable Kind = "no answer from control"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

var exitCodes = map[Kind]int{
	KindFailed:      ExitFailed,
	KindRefused:     ExitFailed,
	KindUsage:       ExitUsage,
	KindConflict:    ExitConflict,
	KindLagging:     ExitLagging,
	KindUnreachable: ExitUnreachable,
}

// Program is the command line. Its fields are set before Main.
type Program struct {
	// Output takes results, Errors what went wrong.
	Output, Errors io.Writer
	// Dial connects to control. Nil dials TCP, with the certificates of the
	// flags.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Random makes keys; nil is the operating system's.
	Random io.Reader
	// Client asks daemons for metrics; nil is the default one.
	Client *http.Client
	// Author tells other operators who changed something.
	Author string
	// ExtraCommands commands, beside this package's.
	ExtraCommands []*cli.Command
}

// Main runs the command line, whose first argument is the program's name, and
// returns the exit code.
func (p *Program) Main(ctx context.Context, arguments []string) int {
	if p.Random == nil {
		p.Random = rand.Reader
	}
	if p.Client == nil {
		p.Client = http.DefaultClient
	}
	err := p.command().Run(ctx, arguments)
	if err == nil {
		return ExitDone
	}
	var own *Error
	if errors.As(err, &own) {
		_, _ = fmt.Fprintln(p.Errors, err)
		return exitCodes[own.Kind]
	}
	_, _ = fmt.Fprintln(p.Errors, "spindle:", err)
	return ExitUsage
}

func (p *Program) command() *cli.Command {
	for _, further := range p.ExtraCommands {
		further.Action = failing(further.Action)
	}
	return &cli.Command{
		Name:           "spindle",
		Usage:          "operate tanagerspindle",
		Writer:         p.Output,
		ErrWriter:      p.Errors,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         requireCommand,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagControl, Usage: "addresses of control replicas, IP:port,...", Sources: cli.EnvVars("SPINDLE_CONTROL")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON object"},
			&cli.StringFlag{Name: flagCertificate, Usage: "PEM file with this operator's certificate", Sources: cli.EnvVars("SPINDLE_CERTIFICATE")},
			&cli.StringFlag{Name: flagKey, Usage: "PEM file with the certificate's private key", Sources: cli.EnvVars("SPINDLE_KEY")},
			&cli.StringFlag{Name: flagAuthority, Usage: "PEM file with the certificates that sign the daemons'", Sources: cli.EnvVars("SPINDLE_AUTHORITY")},
			&cli.DurationFlag{Name: flagTimeout, Usage: "how long to try to reach control", Value: 10 * time.Second},
		},
		Commands: append([]*cli.Command{
			p.check(),
			p.trace(), p.apply(), p.key(), p.status(), p.report(), p.replace(), p.move(), p.ban(),
		}, p.ExtraCommands...),
	}
}

// failing gives the errors of a further command this package's type, which
// carries the exit code.
func failing(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := action(ctx, c); err != nil {
			return &Error{Op: c.FullName(), Kind: KindFailed, Err: err}
		}
		return nil
	}
}

// Names of the flags that several commands use.
const (
	flagControl     = "control"
	flagJSON        = "json"
	flagCertificate = "certificate"
	flagKey         = "key"
	flagAuthority   = "authority"
	flagTimeout     = "timeout"
)

// requireCommand refuses a command line that names no command.
func requireCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("no command %q, see --help", name)}
	}
	return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("name a command, see --help")}
}

// argument returns the one argument that a command takes.
func argument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("want one argument, %s", what)}
	}
	return c.Args().First(), nil
}

// noArgument refuses arguments.
func noArgument(c *cli.Command) error {
	if c.Args().Len() != 0 {
		return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("want no argument")}
	}
	return nil
}

// show prints a result as JSON or as text.
func (p *Program) show(c *cli.Command, result any, text string) error {
	if !c.Bool(flagJSON) {
		_, err := io.WriteString(p.Output, text)
		return err
	}
	encoder := json.NewEncoder(p.Output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
