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

// overview is the result of the command status: the leader's view, or another
// replica's if the leader does not answer, and the answer of each address. Its
// JSON form is independent of the messages between processes.
type overview struct {
	Leader  string         `json:"leader"`
	Term    uint64         `json:"term"`
	Commit  uint64         `json:"commit"`
	Number  uint64         `json:"number"`
	Members []plane.Member `json:"members"`
	// Voters are among the members; WantedVoters are needed for the tolerated failures.
	Voters       int             `json:"voters"`
	WantedVoters int             `json:"voters_wanted"`
	Endpoints    []endpoint      `json:"endpoints"`
	Entries      []string        `json:"entries"`
	Bans         []banRecord     `json:"bans"`
	Replicas     []replicaStatus `json:"replicas"`
	// burn holds the request counts for the command report.
	burn []plane.BurnWindow
}

// endpoint is the state of one endpoint, as printed.
type endpoint struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Serves is the engine's model or the plain service's name.
	Serves string `json:"serves"`
	State  string `json:"state"`
	// Running and Queued count requests; RequestSlots is the maximum of Running,
	// AdapterSlots that of ResidentAdapters.
	Running          int32 `json:"running"`
	RequestSlots     int32 `json:"places"`
	Queued           int64 `json:"queued"`
	ResidentAdapters int   `json:"adapters"`
	AdapterSlots     int32 `json:"slots"`
}

func newEndpoint(r roster.Record) endpoint {
	return endpoint{
		Name: r.Agent, Address: r.Address, DataCentre: r.DataCentre, Serves: r.Model + r.Service, State: endpointState(r),
		Running: r.Running, RequestSlots: r.RequestSlots, Queued: sum(r.Queued), ResidentAdapters: len(r.ResidentAdapters), AdapterSlots: r.AdapterSlots,
	}
}

func newOverview(s *plane.Status, replicas []replicaStatus) *overview {
	view := &overview{
		Leader: s.Leader, Term: s.Term, Commit: s.Commit, Number: s.ConfigNumber, Members: s.Members, Entries: s.Entries,
		Endpoints: make([]endpoint, 0, len(s.Endpoints)), Bans: listBans(s.Bans), Replicas: replicas, burn: s.Burn,
	}
	view.WantedVoters = int(s.WantedVoters)
	for _, member := range s.Members {
		if member.Voter {
			view.Voters++
		}
	}
	for _, record := range s.Endpoints {
		view.Endpoints = append(view.Endpoints, newEndpoint(record))
	}
	return view
}

// replicaStatus is the answer of one control address, as printed.
type replicaStatus struct {
	Address string `json:"address"`
	Name    string `json:"name"`
	Leader  string `json:"leader"`
	Commit  uint64 `json:"commit"`
	Number  uint64 `json:"number"`
	Error   string `json:"fault,omitempty"`
	// status is the complete answer; nil after an error.
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

// overview fetches the status of all replicas in parallel.
func (p *Program) overview(ctx context.Context, c *cli.Command) (*overview, error) {
	control, err := p.newControlClient(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, control.timeout)
	defer cancel()
	replicas := make([]replicaStatus, len(control.addresses))
	var group conc.WaitGroup
	for i, address := range control.addresses {
		group.Go(func() { replicas[i] = control.fetchStatus(ctx, address) })
	}
	group.Wait()
	best := bestStatus(replicas)
	if best == nil {
		return nil, &Error{Op: c.FullName(), Kind: KindUnreachable, Err: fmt.Errorf("%s", joinErrors(replicas))}
	}
	return newOverview(best, replicas), nil
}

func (k *controlClient) fetchStatus(ctx context.Context, address string) replicaStatus {
	status := &plane.Status{}
	if err := k.call(ctx, address, plane.MethodStatus, 0, &plane.StatusRequest{}, status); err != nil {
		return replicaStatus{Address: address, Error: err.Error()}
	}
	return replicaStatus{
		Address: address, Name: status.Name, Leader: status.Leader,
		Commit: status.Commit, Number: status.ConfigNumber, status: status,
	}
}

// bestStatus returns the view of the leader with the highest term or, without a
// leader's answer, of the replica with the highest term and commit index.
func bestStatus(replicas []replicaStatus) *plane.Status {
	var best *plane.Status
	for _, r := range replicas {
		if r.status != nil && (best == nil || preferred(r.status, best)) {
			best = r.status
		}
	}
	return best
}

// preferred reports whether a is a better view than b.
func preferred(a, b *plane.Status) bool {
	if isLeader(a) != isLeader(b) {
		return isLeader(a)
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Commit > b.Commit
}

// isLeader reports whether the status is that of the leader itself.
func isLeader(s *plane.Status) bool { return s.Name == s.Leader }

func joinErrors(replicas []replicaStatus) string {
	var messages []string
	for _, r := range replicas {
		messages = append(messages, r.Error)
	}
	return strings.Join(messages, "; ")
}

func (o *overview) text() string {
	var text strings.Builder
	leader := o.Leader
	if leader == "" {
		leader = "none"
	}
	_, _ = fmt.Fprintf(&text, "leader %s, term %d, commit %d, configuration %d\n", leader, o.Term, o.Commit, o.Number)
	for _, r := range o.Replicas {
		if r.Error != "" {
			_, _ = fmt.Fprintf(&text, "no answer from %s: %s\n", r.Address, r.Error)
		}
	}
	if o.Voters < o.WantedVoters {
		_, _ = fmt.Fprintf(&text, "warning: control has %d voters, the tolerated failures need %d\n", o.Voters, o.WantedVoters)
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
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", member.Name, member.Address, yesNo(member.Voter), member.LagEntries, member.SilentFor)
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

func endpointState(record roster.Record) string {
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

func yesNo(value bool) string {
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
