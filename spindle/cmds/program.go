// Package cmds implements the operators' command line, one file for each command.
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
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that files have errors or that control refused.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitConflict means that another operator submitted other content under the
	// same number.
	ExitConflict = 3
	// ExitLagging means that the configuration is committed but not yet in
	// force everywhere.
	ExitLagging = 4
	// ExitUnreachable means that no control replica answered, or that control
	// has no leader. The change may or may not have been made: run the command
	// again.
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
	// Output receives results, Errors receives error messages.
	Output, Errors io.Writer
	// Dial connects to control; nil uses TCP with the certificates from the
	// flags.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Random is the source of keys; nil uses the operating system's.
	Random io.Reader
	// Client fetches daemons' metrics; nil uses http.DefaultClient.
	Client *http.Client
	// Author is shown to other operators as the origin of a change.
	Author string
	// ExtraCommands are added to the commands of this package.
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
	for _, extra := range p.ExtraCommands {
		extra.Action = wrapErrors(extra.Action)
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
			p.trace(), p.losses(), p.apply(), p.key(), p.status(), p.report(), p.replace(), p.move(), p.ban(),
		}, p.ExtraCommands...),
	}
}

// wrapErrors converts the errors of an extra command to this package's type, which
// determines the exit code.
func wrapErrors(action cli.ActionFunc) cli.ActionFunc {
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

// requireCommand returns the usage error of a command line without a command.
func requireCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("no command %q, see --help", name)}
	}
	return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("name a command, see --help")}
}

// argument returns the single argument of a command; what describes it in the
// usage error.
func argument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("want one argument, %s", what)}
	}
	return c.Args().First(), nil
}

// noArgument returns a usage error if there are arguments.
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
