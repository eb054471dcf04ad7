package cmds

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// checkResult is the result of the command check.
type checkResult struct {
	Diagnostics strict.Diagnostics `json:"faults"`
	Workspaces  int                `json:"workspaces"`
	Keys        int                `json:"keys"`
	Adapters    int                `json:"adapters"`
	Routes      int                `json:"routes"`
}

func (p *Program) check() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check an operators' folder without changing anything",
		ArgsUsage: "DIR",
		Action: func(_ context.Context, c *cli.Command) error {
			dir, err := argument(c, "the folder")
			if err != nil {
				return err
			}
			return p.checkFolder(c, dir)
		},
	}
}

func (p *Program) checkFolder(c *cli.Command, dir string) error {
	config, err := conf.Load(dir)
	if err != nil {
		return p.showDiagnostics(c, err)
	}
	result := checkResult{
		Diagnostics: strict.Diagnostics{}, Workspaces: len(config.Workspaces), Keys: len(config.Keys),
		Adapters: len(config.Adapters), Routes: len(config.Routes),
	}
	text := fmt.Sprintf("no faults: %d workspaces, %d keys, %d adapters, %d routes\n",
		result.Workspaces, result.Keys, result.Adapters, result.Routes)
	return p.show(c, result, text)
}

// showDiagnostics prints each error of an operators' folder on a line of its own
// and returns the command's error.
func (p *Program) showDiagnostics(c *cli.Command, err error) error {
	var diagnostics strict.Diagnostics
	if !errors.As(err, &diagnostics) {
		return &Error{Op: c.FullName(), Kind: KindRefused, Err: err}
	}
	if err := p.show(c, checkResult{Diagnostics: diagnostics}, diagnostics.Error()+"\n"); err != nil {
		return err
	}
	return &Error{Op: c.FullName(), Kind: KindRefused, Err: fmt.Errorf("%d faults; nothing was changed", len(diagnostics))}
}
