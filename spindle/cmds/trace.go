package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/spindle/story"
)

func (p *Program) trace() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines of one request from several processes, and the cause of its outcome",
		ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() < 2 {
				return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("want the request's ID and at least one log file")}
			}
			return p.writeTrace(c, c.Args().First(), c.Args().Tail())
		},
	}
}

func (p *Program) writeTrace(c *cli.Command, id string, files []string) error {
	t := &story.Trace{ID: id}
	for _, name := range files {
		if err := readLog(t.Read, name); err != nil {
			return &Error{Op: c.FullName(), Kind: KindFailed, Err: err}
		}
	}
	if err := t.Assemble(); err != nil {
		return &Error{Op: c.FullName(), Kind: KindFailed, Err: err}
	}
	return t.Write(p.Output)
}

// readLog passes a log file, or the standard input for "-", to read.
func readLog(read func(io.Reader) error, name string) (err error) {
	if name == "-" {
		return read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return read(file)
}
