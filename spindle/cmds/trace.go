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
		Usage:     "tell one request's story and its cause from the logs of several processes",
		ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() < 2 {
				return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("want the request's ID and at least one log file")}
			}
			return p.tell(c, c.Args().First(), c.Args().Tail())
		},
	}
}

func (p *Program) tell(c *cli.Command, id string, files []string) error {
	s := &story.Trace{ID: id}
	for _, name := range files {
		if err := readLog(s, name); err != nil {
			return &Error{Op: c.FullName(), Kind: KindFailed, Err: err}
		}
	}
	if err := s.Assemble(); err != nil {
		return &Error{Op: c.FullName(), Kind: KindFailed, Err: err}
	}
	return s.Write(p.Output)
}

// readLog reads a file, or the standard input for "-".
func readLog(s *story.Trace, name string) (err error) {
	if name == "-" {
		return s.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return s.Read(io.Reader(file))
}
