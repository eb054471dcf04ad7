package demo

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

// Commands returns the commands "demo" and "dev", which write to out; the
// processes' events go to log when the flag --log is given.
func Commands(out, log io.Writer) []*cli.Command {
	return []*cli.Command{
		command("demo", "run every role in one process, send a mixed set of requests and judge the answers", out, log, false),
		command("dev", "run every role in one process and stay up to be used with curl", out, log, true),
	}
}

func command(name, usage string, out, log io.Writer, stay bool) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{&cli.BoolFlag{Name: "log", Usage: "write the processes' events to standard error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			run := Demo{Out: out, KeepRunning: stay}
			if c.Bool("log") {
				run.Log = log
			}
			return run.Run(ctx)
		},
	}
}
