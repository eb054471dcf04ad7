package cmds

import (
	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

func (p *Program) replace() *cli.Command {
	return p.replicaCommand("replace", plane.OrderReplace,
		"remove the lost control replica NAME and admit the empty one that took its place", "is replaced")
}
