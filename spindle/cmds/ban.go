package cmds

import (
	"context"
	"encoding/hex"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// banRecord is one quarantined or suspected request, as printed.
type banRecord struct {
	Digest             string        `json:"digest"`
	Suspect            bool          `json:"suspect"`
	Crashes            int32         `json:"deaths"`
	SoleSuspectCrashes int32         `json:"alone"`
	Remaining          span.Duration `json:"left"`
	// Part means that the digest is that of a part of prompts, not of one content.
	Part bool `json:"part"`
}

func (p *Program) ban() *cli.Command {
	return &cli.Command{
		Name:   "ban",
		Usage:  "list and lift quarantines of requests that crash endpoints",
		Action: requireCommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list quarantined and suspected requests and parts of prompts", Action: p.showBans},
			{Name: "lift", Usage: "end the quarantine of DIGEST", ArgsUsage: "DIGEST", Action: p.liftBan},
		},
	}
}

func (p *Program) showBans(ctx context.Context, c *cli.Command) error {
	if err := noArgument(c); err != nil {
		return err
	}
	view, err := p.overview(ctx, c)
	if err != nil {
		return err
	}
	return p.show(c, view.Bans, banText(view.Bans))
}

func listBans(bans []plane.Ban) []banRecord {
	list := make([]banRecord, 0, len(bans))
	for _, ban := range bans {
		list = append(list, banRecord{
			Digest: hex.EncodeToString(ban.Digest), Suspect: ban.Suspect, Crashes: ban.Crashes, SoleSuspectCrashes: ban.SoleSuspectCrashes, Remaining: ban.Remaining, Part: ban.Part,
		})
	}
	return list
}

func banText(list []banRecord) string {
	if len(list) == 0 {
		return "no quarantined or suspected requests\n"
	}
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "DIGEST\tOF\tSTATE\tDEATHS\tALONE\tLEFT")
	for _, ban := range list {
		state := "quarantined"
		if ban.Suspect {
			state = "suspect"
		}
		kind := "content"
		if ban.Part {
			kind = "part"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\n", ban.Digest, kind, state, ban.Crashes, ban.SoleSuspectCrashes, ban.Remaining)
	}
	_ = table.Flush()
	return text.String()
}

func (p *Program) liftBan(ctx context.Context, c *cli.Command) error {
	text, err := argument(c, "the digest")
	if err != nil {
		return err
	}
	digest, err := hex.DecodeString(text)
	if err != nil || len(digest) == 0 {
		return &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("the digest is not hexadecimal")}
	}
	control, err := p.newControlClient(c)
	if err != nil {
		return err
	}
	if err := control.order(ctx, &plane.AdminRequest{Order: plane.OrderLift, Digest: digest}); err != nil {
		return err
	}
	return p.show(c, orderResult{Order: plane.OrderLift, Name: text}, "the quarantine of "+text+" is lifted\n")
}
