package cmds

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// overview is the result of status: the leader's view where it answers, and
// what each address said. It does not change when the messages between the
// processes do.
type overview struct {
	Leader    string         `json:"leader"`
	Term      uint64         `json:"term"`
	Commit    uint64         `json:"commit"`
	Number    uint64         `json:"number"`
	Members   []plane.Member `json:"members"`
	Endpoints []endpoint     `json:"endpoints"`
	Entries   []string       `json:"entries"`
	Bans      []listedBan    `json:"bans"`
	Replicas  []replica      `json:"replicas"`
	// burn holds the counts for report.
	burn []plane.BurnWindow
}

// endpoint is what operators need to know of one.
type endpoint struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Serves is the engine's model or the plain service's name.
	Serves string `json:"serves"`
	State  string `json:"state"`
	// Running and Queued count requests, Adapters what is in the Slots.
	Running          int32 `json:"running"`
	RequestSlots     int32 `json:"places"`
	Queued           int64 `json:"queued"`
	ResidentAdapters int   `json:"adapters"`
	AdapterSlots     int32 `json:"slots"`
}

func newEndpoint(r roster.Record) endpoint {
	return endpoint{
		Name: r.Agent, Address: r.Address, DataCentre: r.DataCentre, Serves: r.Model + r.Service, State: stateOf(r),
		Running: r.Running, RequestSlots: r.RequestSlots, Queued: sum(r.Queued), ResidentAdapters: len(r.ResidentAdapters), AdapterSlots: r.AdapterSlots,
	}
}

func newOverview(s *plane.Status, replicas []replica) *overview {
	view := &overview{
		Leader: s.Leader, Term: s.Term, Commit: s.Commit, Number: s.ConfigNumber, Members: s.Members, Entries: s.Entries,
		Endpoints: make([]endpoint, 0, len(s.Endpoints)), Bans: listBans(s.Bans), Replicas: replicas, burn: s.Burn,
	}
	for _, record := range s.Endpoints {
		view.Endpoints = append(view.Endpoints, newEndpoint(record))
	}
	return view
}

// replica is what one address of control answered.
type replica struct {
	Address string `json:"address"`
	Name    string `json:"name"`
	Leader  string `json:"leader"`
	Commit  uint64 `json:"commit"`
	Number  uint64 `json:"number"`
	Fault   string `json:"fault,omitempty"`
	// status is the whole answer; nil after a fault.
	status *plane.Status
}

func (p *Program) status() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show control's replicas, daemons and endpoints",
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArgument(c); err != nil {
				return err
			}
			view, err := p.overview(ctx, c)
			if err != nil {
				return err
			}
			return p.show(c, view, view.text())
		},
	}
}

// overview asks every replica at once.
func (p *Program) overview(ctx context.Context, c *cli.Command) (*overview, error) {
	control, err := p.control(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, control.timeout)
	defer cancel()
	replicas := make([]replica, len(control.addresses))
	var group conc.WaitGroup
	for i, address := range control.addresses {
		group.Go(func() { replicas[i] = control.askStatus(ctx, address) })
	}
	group.Wait()
	best := choose(replicas)
	if best == nil {
		return nil, &Error{Op: c.FullName(), Kind: KindUnreachable, Err: fmt.Errorf("%s", faultsOf(replicas))}
	}
	return newOverview(best, replicas), nil
}

func (k *control) askStatus(ctx context.Context, address string) replica {
	status := &plane.Status{}
	if err := k.call(ctx, address, plane.MethodStatus, 0, &plane.StatusRequest{}, status); err != nil {
		return replica{Address: address, Fault: err.Error()}
	}
	return replica{
		Address: address, Name: status.Name, Leader: status.Leader,
		Commit: status.Commit, Number: status.ConfigNumber, status: status,
	}
}

// choose returns the view of the leader with the highest term, else of the
// replica that has applied most.
func choose(replicas []replica) *plane.Status {
	var best *plane.Status
	for _, r := range replicas {
		if r.status != nil && (best == nil || better(r.status, best)) {
			best = r.status
		}
	}
	return best
}

func better(a, b *plane.Status) bool {
	if leads(a) != leads(b) {
		return leads(a)
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Commit > b.Commit
}

func leads(s *plane.Status) bool { return s.Name == s.Leader }

func faultsOf(replicas []replica) string {
	var faults []string
	for _, r := range replicas {
		faults = append(faults, r.Fault)
	}
	return strings.Join(faults, "; ")
}

func (o *overview) text() string {
	var text strings.Builder
	leader := o.Leader
	if leader == "" {
		leader = "none"
	}
	_, _ = fmt.Fprintf(&text, "leader %s, term %d, commit %d, configuration %d\n", leader, o.Term, o.Commit, o.Number)
	for _, r := range o.Replicas {
		if r.Fault != "" {
			_, _ = fmt.Fprintf(&text, "no answer from %s: %s\n", r.Address, r.Fault)
		}
	}
	o.writeMembers(&text)
	o.writeEndpoints(&text)
	_, _ = fmt.Fprintf(&text, "\nentries: %s\n", orNone(strings.Join(o.Entries, ", ")))
	_, _ = fmt.Fprintf(&text, "quarantined or suspected requests: %d\n", len(o.Bans))
	return text.String()
}

func (o *overview) writeMembers(text *strings.Builder) {
	text.WriteString("\n")
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REPLICA\tADDRESS\tVOTER\tLAG\tSILENT")
	for _, member := range o.Members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", member.Name, member.Address, yes(member.Voter), member.LagEntries, member.SilentFor)
	}
	_ = table.Flush()
}

func (o *overview) writeEndpoints(text *strings.Builder) {
	text.WriteString("\n")
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ENDPOINT\tADDRESS\tDATA CENTRE\tSERVES\tSTATE\tRUNNING\tQUEUED\tADAPTERS")
	for _, e := range o.Endpoints {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%d/%d\n",
			e.Name, e.Address, e.DataCentre, e.Serves, e.State, e.Running, e.RequestSlots, e.Queued, e.ResidentAdapters, e.AdapterSlots)
	}
	_ = table.Flush()
}

func stateOf(record roster.Record) string {
	switch {
	case record.Removed:
		return "gone"
	case record.Draining:
		return "leaving"
	case record.Ready:
		return "ready"
	}
	return "not ready"
}

func sum(counts []int32) int64 {
	total := int64(0)
	for _, count := range counts {
		total += int64(count)
	}
	return total
}

func yes(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
