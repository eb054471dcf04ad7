package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/spindle/losses"
)

// defaultWidth is the default of the option --width.
const defaultWidth = 2 * time.Second

func (p *Program) losses() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "count the outcomes of requests in the logs of entries and agents, by time",
		ArgsUsage: "FILE...",
		Flags:     []cli.Flag{&cli.DurationFlag{Name: "width", Value: defaultWidth, Usage: "length of one period"}},
		Action: func(_ context.Context, c *cli.Command) error {
			table := &losses.Table{Width: c.Duration("width")}
			if c.NArg() == 0 || table.Width <= 0 {
				return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("want at least one log file and a positive width")}
			}
			for _, name := range c.Args().Slice() {
				if err := readLog(table.Read, name); err != nil {
					return &Error{Op: c.FullName(), Kind: KindFailed, Err: err}
				}
			}
			if err := table.Write(p.Output); err != nil {
				return &Error{Op: c.FullName(), Kind: KindFailed, Err: err}
			}
			return nil
		},
	}
}
