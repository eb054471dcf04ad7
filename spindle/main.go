// Command spindle is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/spindle/cmds"
	"github.com/tanagerspindle/tanagerspindle/spindle/demo"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := cmds.Program{
		Output: os.Stdout, Errors: os.Stderr, Author: author(),
		Further: []*cli.Command{
			deployment("demo", "run every role in this process and send sample requests", false),
			deployment("dev", "run every role in this process until stopped, to be used with curl", true),
		},
	}
	return program.Main(ctx, os.Args)
}

// deployment is a command that runs every role on loopback.
func deployment(name, usage string, stay bool) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{&cli.BoolFlag{Name: "log", Usage: "print the processes' events"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			d := demo.Demo{Out: os.Stdout, Stay: stay}
			if c.Bool("log") {
				d.Log = os.Stderr
			}
			if err := d.Run(ctx); err != nil {
				return cli.Exit(err, cmds.ExitFailed)
			}
			return nil
		},
	}
}

// author names the operator to others: user@VM.
func author() string {
	name := "operator"
	if current, err := user.Current(); err == nil {
		name = current.Username
	}
	if vm, err := os.Hostname(); err == nil {
		name += "@" + vm
	}
	return name
}
