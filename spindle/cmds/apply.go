package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

const (
	flagWait   = "wait"
	flagAuthor = "author"
)

func (p *Program) apply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put an operators' folder in force and wait until it is",
		ArgsUsage: "DIR",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagWait, Usage: "how long to wait until it is in force everywhere", Value: 10 * time.Second},
			&cli.StringFlag{Name: flagAuthor, Usage: "who changes it, shown to others", Value: p.Author},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			dir, err := argument(c, "the folder")
			if err != nil {
				return err
			}
			config, err := conf.Load(dir)
			if err != nil {
				return p.showFaults(c, err)
			}
			return p.applyConfig(ctx, c, config)
		},
	}
}

func (p *Program) applyConfig(ctx context.Context, c *cli.Command, config *conf.Config) error {
	control, err := p.control(c)
	if err != nil {
		return err
	}
	if config.Number == 0 {
		fetched, err := control.fetch(ctx)
		if err != nil {
			return err
		}
		config.Number = numberFor(config, fetched.Config)
	}
	answer, err := control.submit(ctx, &plane.SubmitRequest{
		Config: config, Author: c.String(flagAuthor), Wait: span.Duration(c.Duration(flagWait)),
	})
	if err != nil {
		return err
	}
	return p.showSubmitted(c, config.Number, answer)
}

// numberFor returns the number to submit under: the next one, or the one in
// force when its content is the same, so that applying a folder twice changes
// nothing.
func numberFor(config, committed *conf.Config) uint64 {
	switch {
	case committed == nil:
		return 1
	case committed.Number > 0 && committed.Digest() == config.Digest():
		return committed.Number
	}
	return committed.Number + 1
}

func (p *Program) showSubmitted(c *cli.Command, number uint64, answer *plane.SubmitReply) error {
	text, failure := describe(c.FullName(), number, answer)
	if err := p.show(c, answer, text); err != nil {
		return err
	}
	return failure
}

// describe says in words what the answer means; the error carries the exit
// code.
func describe(op string, number uint64, answer *plane.SubmitReply) (string, error) {
	switch {
	case answer.Refused == plane.KindConflict:
		return "", &Error{Op: op, Kind: KindConflict, Err: fmt.Errorf(
			"number %d holds other content, submitted by %s; the newest number is %d", number, answer.Winner, answer.ConfigNumber)}
	case answer.Refused != plane.KindNone:
		return "", &Error{Op: op, Kind: KindRefused, Err: fmt.Errorf("%s: %s", answer.Refused, answer.Detail)}
	case !answer.InForce:
		return fmt.Sprintf("number %d is committed\n", number), &Error{Op: op, Kind: KindLagging, Err: fmt.Errorf(
			"still without it: %s", strings.Join(answer.Lagging, ", "))}
	}
	return fmt.Sprintf("number %d is in force everywhere\n", number), nil
}
