package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// orderResult is the result of a command that sends an order to control.
type orderResult struct {
	Order plane.Order `json:"order"`
	Name  string      `json:"name"`
}

func (p *Program) move() *cli.Command {
	return p.replicaCommand("move", plane.OrderMove, "hand control's leadership to the replica NAME", "leads")
}

// replicaCommand returns a command that sends control an order about one replica.
func (p *Program) replicaCommand(command string, order plane.Order, usage, done string) *cli.Command {
	return &cli.Command{
		Name:      command,
		Usage:     usage,
		ArgsUsage: "NAME",
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := argument(c, "the replica's name")
			if err != nil {
				return err
			}
			control, err := p.newControlClient(c)
			if err != nil {
				return err
			}
			if err := control.order(ctx, &plane.AdminRequest{Order: order, Name: name}); err != nil {
				return err
			}
			return p.show(c, orderResult{Order: order, Name: name}, fmt.Sprintf("%s %s\n", name, done))
		},
	}
}
