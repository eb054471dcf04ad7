package cmds

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/burn"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// fakeControl answers calls in place of the control replicas c1, the leader, and
// c2.
type fakeControl struct {
	mutex     sync.Mutex
	committed *conf.Config
	submitted plane.SubmitReply
	admin     plane.AdminReply
	bans      []plane.Ban
	// wantedVoters is Status.WantedVoters.
	wantedVoters int32
	// dropReplies is the number of submissions that get no reply.
	dropReplies int
	submits     []plane.SubmitRequest
	// orders are the orders received.
	orders []plane.AdminRequest
}

// serve returns a handler that answers one request, or closes the stream without
// an answer if reply returns false.
func serve[Request, Reply any](reply func(request *Request) (*Reply, bool)) link.Handler {
	return func(_ context.Context, stream *wire.Stream) error {
		request := new(Request)
		if err := stream.Receive(request); err != nil {
			return err
		}
		answer, ok := reply(request)
		if !ok {
			return nil
		}
		return stream.Send(answer)
	}
}

func (r *fakeControl) handlers(name string) map[string]link.Handler {
	return map[string]link.Handler{
		plane.MethodFetch: serve(func(*plane.FetchRequest) (*plane.FetchReply, bool) {
			return &plane.FetchReply{Config: r.committed}, true
		}),
		plane.MethodSubmit: serve(func(request *plane.SubmitRequest) (*plane.SubmitReply, bool) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.submits = append(r.submits, *request)
			r.dropReplies--
			return &r.submitted, r.dropReplies < 0
		}),
		plane.MethodAdmin: serve(func(request *plane.AdminRequest) (*plane.AdminReply, bool) {
			r.orders = append(r.orders, *request)
			return &r.admin, true
		}),
		plane.MethodStatus: serve(func(*plane.StatusRequest) (*plane.Status, bool) { return r.status(name), true }),
	}
}

func (r *fakeControl) status(name string) *plane.Status {
	status := &plane.Status{
		Replica: 1, Name: name, Leader: "c1", Term: 3, Commit: 40, ConfigNumber: 7, Entries: []string{"e1", "e2"}, Bans: r.bans, WantedVoters: r.wantedVoters,
		Members: []plane.Member{
			{Replica: 1, Name: "c1", Address: "10.0.0.1:7000", Voter: true},
			{Replica: 2, Name: "c2", Address: "10.0.0.2:7000", Voter: true, LagEntries: 3, SilentFor: span.Duration(200 * time.Millisecond)},
			{Replica: 9, Name: "c3", Address: "10.0.0.3:7000", LagEntries: 40},
		},
		Endpoints: []roster.Record{
			{Agent: "a1", Incarnation: 1, Address: "10.0.1.1:7100", DataCentre: "rajkot", Model: "base-7b", AdapterSlots: 4, RequestSlots: 8, Running: 2, Queued: []int32{1, 2, 0}, Ready: true, ResidentAdapters: make([]roster.ResidentAdapter, 3)},
			{Agent: "a2", Incarnation: 1, Address: "10.0.1.2:7100", DataCentre: "surat", Service: "filing", RequestSlots: 2, Draining: true},
		},
	}
	for _, length := range burn.WindowLengths() {
		status.Burn = append(status.Burn, plane.BurnWindow{Workspace: "w", Route: "r", Length: span.Duration(length), Good: 95, Bad: 5, Share: 0.9})
	}
	return status
}

// run runs one command line against the fake replicas in a synctest bubble and
// returns its output, errors and exit code as one text.
func run(t *testing.T, r *fakeControl, arguments ...string) string {
	var result string
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(context.Background())
		for _, name := range []string{"c1", "c2"} {
			listener, err := network.Listen(name + ":1")
			require.NoError(t, err)
			go func() { _ = link.Serve(ctx, listener, r.handlers(name)) }()
		}
		var output, errorOutput bytes.Buffer
		p := &Program{
			Output: &output, Errors: &errorOutput, Author: "asha@ops", Random: strings.NewReader(strings.Repeat("0123456789", 4)),
			ExtraCommands: []*cli.Command{{Name: "sample", Action: func(context.Context, *cli.Command) error { return fmt.Errorf("broken") }}},
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return network.Dialer("ops")(ctx, address)
			},
		}
		code := p.Main(ctx, append([]string{"spindle"}, arguments...))
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		result = fmt.Sprintf("%s--- errors\n%s--- exit code %d\n", output.String(), errorOutput.String(), code)
	})
	return result
}

// writeFolder writes an operators' folder with one file and returns its path.
func writeFolder(t *testing.T, text string) string {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "all.json"), []byte(text), 0o600))
	return dir
}

const (
	good = `{"workspaces": {"w": {"rate": 5, "burst": 9}}}`
	bad  = `{"workspaces": {"w": {"rate": 0, "burst": "x"}}}`
)

func TestOutputs(t *testing.T) {
	both := []string{"--control", "c2:1,c1:1"}
	digest := strings.Repeat("ab", 32)
	for name, test := range map[string]struct {
		replicas  *fakeControl
		arguments []string
	}{
		"check-good":        {&fakeControl{}, []string{"check", writeFolder(t, good)}},
		"check-bad":         {&fakeControl{}, []string{"check", writeFolder(t, bad)}},
		"check-bad-json":    {&fakeControl{}, []string{"check", "--json", writeFolder(t, bad)}},
		"check-usage":       {&fakeControl{}, []string{"check"}},
		"no-command":        {&fakeControl{}, []string{"launch"}},
		"further-fails":     {&fakeControl{}, []string{"sample"}},
		"flag-usage":        {&fakeControl{}, []string{"status", "--colour"}},
		"no-control":        {&fakeControl{}, []string{"status"}},
		"apply-bad":         {&fakeControl{}, append(both, "apply", writeFolder(t, bad))},
		"apply-done":        {&fakeControl{submitted: plane.SubmitReply{ConfigNumber: 1, InForce: true}}, append(both, "apply", writeFolder(t, good))},
		"apply-done-json":   {&fakeControl{submitted: plane.SubmitReply{ConfigNumber: 1, InForce: true}}, append(both, "--json", "apply", writeFolder(t, good))},
		"apply-conflict":    {&fakeControl{submitted: plane.SubmitReply{Refused: plane.KindConflict, ConfigNumber: 1, Winner: "ravi@ops"}}, append(both, "apply", writeFolder(t, good))},
		"apply-lagging":     {&fakeControl{submitted: plane.SubmitReply{ConfigNumber: 1, Lagging: []string{"e1", "a7"}}}, append(both, "apply", writeFolder(t, good))},
		"apply-invalid":     {&fakeControl{submitted: plane.SubmitReply{Refused: plane.KindInvalid, Detail: "rates"}}, append(both, "apply", writeFolder(t, good))},
		"apply-leaderless":  {&fakeControl{submitted: plane.SubmitReply{Refused: plane.KindNoLeader}}, append(both, "apply", writeFolder(t, good))},
		"key-new":           {&fakeControl{}, []string{"key", "new", "--workspace", "w", "--note", "front desk"}},
		"key-new-json":      {&fakeControl{}, []string{"key", "new", "--workspace", "w", "--json"}},
		"status":            {&fakeControl{}, append(both, "status")},
		"status-json":       {&fakeControl{}, append(both, "status", "--json")},
		"status-half":       {&fakeControl{}, []string{"status", "--control", "c9:1,c2:1"}},
		"status-few-voters": {&fakeControl{wantedVoters: 3}, append(both, "status")},
		"status-none":       {&fakeControl{}, []string{"status", "--control", "c9:1"}},
		"report":            {&fakeControl{}, append(both, "report")},
		"replace":           {&fakeControl{}, append(both, "replace", "c3")},
		"replace-refused":   {&fakeControl{admin: plane.AdminReply{Refused: plane.KindMissing, Detail: "no replica c8"}}, append(both, "replace", "c8")},
		"replace-timeout":   {&fakeControl{admin: plane.AdminReply{Refused: plane.KindTimeout, Detail: "the new replica does not answer"}}, append(both, "replace", "c3")},
		"move-json":         {&fakeControl{}, append(both, "move", "c2", "--json")},
		"ban-list":          {&fakeControl{bans: []plane.Ban{{Digest: []byte{1, 255}, Crashes: 2, SoleSuspectCrashes: 1, Remaining: span.Duration(time.Hour)}}}, append(both, "ban", "list")},
		"ban-list-none":     {&fakeControl{}, append(both, "ban", "list")},
		"ban-lift":          {&fakeControl{}, append(both, "ban", "lift", digest)},
		"losses":            {&fakeControl{}, []string{"losses", "--width", "4s", "../losses/testdata/logs.txt"}},
		"losses-usage":      {&fakeControl{}, []string{"losses", "--width", "0s", "../losses/testdata/logs.txt"}},
		"ban-lift-usage":    {&fakeControl{}, append(both, "ban", "lift", "zz")},
	} {
		t.Run(name, func(t *testing.T) {
			goldie.New(t).Assert(t, name, []byte(run(t, test.replicas, test.arguments...)))
		})
	}
}

func TestApplyUsesTheNextNumberOrTheFoldersOwn(t *testing.T) {
	same, err := conf.Load(writeFolder(t, good))
	require.NoError(t, err)
	same.Number = 7
	for name, test := range map[string]struct {
		committed *conf.Config
		text      string
		want      uint64
	}{
		"first":         {nil, good, 1},
		"next":          {&conf.Config{Number: 7}, good, 8},
		"own number":    {&conf.Config{Number: 7}, `{"number": 3, "workspaces": {}}`, 3},
		"already there": {same, good, 7},
	} {
		t.Run(name, func(t *testing.T) {
			r := &fakeControl{committed: test.committed, submitted: plane.SubmitReply{InForce: true}}
			require.Contains(t, run(t, r, "apply", "--control", "c1:1", writeFolder(t, test.text)), "exit code 0")
			require.Equal(t, test.want, r.submits[0].Config.Number)
			require.Equal(t, "asha@ops", r.submits[0].Author)
		})
	}
}

func TestSubmitRetriesUnderTheSameNumber(t *testing.T) {
	r := &fakeControl{dropReplies: 3, submitted: plane.SubmitReply{InForce: true}}
	require.Contains(t, run(t, r, "apply", "--control", "c1:1,c2:1", writeFolder(t, good)), "exit code 0")
	require.Len(t, r.submits, 4)
	for _, request := range r.submits {
		require.Equal(t, uint64(1), request.Config.Number)
	}
}

func TestReportDrawsPicture(t *testing.T) {
	file := filepath.Join(t.TempDir(), "burn.png")
	require.Contains(t, run(t, &fakeControl{}, "report", "--control", "c1:1", "--picture", file), "exit code 0")
	require.FileExists(t, file)
}

func TestOrdersReachControl(t *testing.T) {
	r := &fakeControl{}
	run(t, r, "--control", "c1:1", "replace", "c3")
	run(t, r, "--control", "c1:1", "move", "c2")
	run(t, r, "--control", "c1:1", "ban", "lift", "01ff")
	require.Equal(t, []plane.AdminRequest{
		{Order: plane.OrderReplace, Name: "c3"}, {Order: plane.OrderMove, Name: "c2"}, {Order: plane.OrderLift, Digest: []byte{1, 255}},
	}, r.orders)
}
