package cmds

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/spindle/report"
)

const (
	flagPicture = "picture"
	flagMetrics = "metrics"
)

func (p *Program) report() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show how goals burn their error budgets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagPicture, Usage: "also draw the burn rates into this PNG file"},
			&cli.StringSliceFlag{Name: flagMetrics, Usage: "private metrics addresses of daemons to show, IP:port,..."},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArgument(c); err != nil {
				return err
			}
			return p.showReport(ctx, c)
		},
	}
}

func (p *Program) showReport(ctx context.Context, c *cli.Command) error {
	view, err := p.overview(ctx, c)
	if err != nil {
		return err
	}
	result := report.New(view.burn)
	if addresses := c.StringSlice(flagMetrics); len(addresses) > 0 {
		result.Fetch(ctx, p.Client, addresses)
	}
	if file := c.String(flagPicture); file != "" {
		if err := result.WritePicture(file); err != nil {
			return &Error{Op: c.FullName(), Kind: KindRefused, Err: err}
		}
	}
	var text strings.Builder
	if err := result.WriteText(&text); err != nil {
		return err
	}
	return p.show(c, result, text.String())
}
