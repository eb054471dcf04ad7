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

// replicas stands in for control: c1 leads, c2 follows.
type replicas struct {
	mutex     sync.Mutex
	committed *conf.Config
	submitted plane.SubmitReply
	admin     plane.AdminReply
	bans      []plane.Ban
	// lose submissions get no answer.
	lose int
	asks []plane.SubmitRequest
	// orders got.
	orders []plane.AdminRequest
}

// serve answers one question with reply, unless it is to get lost.
func serve[Ask, Reply any](reply func(ask *Ask) (*Reply, bool)) link.Handler {
	return func(_ context.Context, stream *wire.Stream) error {
		asked := new(Ask)
		if err := stream.Receive(asked); err != nil {
			return err
		}
		answer, ok := reply(asked)
		if !ok {
			return nil
		}
		return stream.Send(answer)
	}
}

func (r *replicas) handlers(name string) map[string]link.Handler {
	return map[string]link.Handler{
		plane.MethodFetch: serve(func(*plane.FetchRequest) (*plane.FetchReply, bool) {
			return &plane.FetchReply{Config: r.committed}, true
		}),
		plane.MethodSubmit: serve(func(ask *plane.SubmitRequest) (*plane.SubmitReply, bool) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.asks = append(r.asks, *ask)
			r.lose--
			return &r.submitted, r.lose < 0
		}),
		plane.MethodAdmin: serve(func(ask *plane.AdminRequest) (*plane.AdminReply, bool) {
			r.orders = append(r.orders, *ask)
			return &r.admin, true
		}),
		plane.MethodStatus: serve(func(*plane.StatusRequest) (*plane.Status, bool) { return r.status(name), true }),
	}
}

func (r *replicas) status(name string) *plane.Status {
	status := &plane.Status{
		Replica: 1, Name: name, Leader: "c1", Term: 3, Commit: 40, ConfigNumber: 7, Entries: []string{"e1", "e2"}, Bans: r.bans,
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

// run runs one command line against the replicas in a bubble and returns its
// output and exit code in one text.
func run(t *testing.T, r *replicas, arguments ...string) string {
	var result string
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(context.Background())
		for _, name := range []string{"c1", "c2"} {
			listener, err := network.Listen(name + ":1")
			require.NoError(t, err)
			go func() { _ = link.Serve(ctx, listener, r.handlers(name)) }()
		}
		var output, faults bytes.Buffer
		p := &Program{
			Output: &output, Errors: &faults, Author: "asha@ops", Random: strings.NewReader(strings.Repeat("0123456789", 4)),
			ExtraCommands: []*cli.Command{{Name: "sample", Action: func(context.Context, *cli.Command) error { return fmt.Errorf("broken") }}},
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return network.Dialer("ops")(ctx, address)
			},
		}
		code := p.Main(ctx, append([]string{"spindle"}, arguments...))
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		result = fmt.Sprintf("%s--- errors\n%s--- exit code %d\n", output.String(), faults.String(), code)
	})
	return result
}

// folderOf writes an operators' folder of one file.
func folderOf(t *testing.T, text string) string {
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
		replicas  *replicas
		arguments []string
	}{
		"check-good":       {&replicas{}, []string{"check", folderOf(t, good)}},
		"check-bad":        {&replicas{}, []string{"check", folderOf(t, bad)}},
		"check-bad-json":   {&replicas{}, []string{"check", "--json", folderOf(t, bad)}},
		"check-usage":      {&replicas{}, []string{"check"}},
		"no-command":       {&replicas{}, []string{"launch"}},
		"further-fails":    {&replicas{}, []string{"sample"}},
		"flag-usage":       {&replicas{}, []string{"status", "--colour"}},
		"no-control":       {&replicas{}, []string{"status"}},
		"apply-bad":        {&replicas{}, append(both, "apply", folderOf(t, bad))},
		"apply-done":       {&replicas{submitted: plane.SubmitReply{ConfigNumber: 1, InForce: true}}, append(both, "apply", folderOf(t, good))},
		"apply-done-json":  {&replicas{submitted: plane.SubmitReply{ConfigNumber: 1, InForce: true}}, append(both, "--json", "apply", folderOf(t, good))},
		"apply-conflict":   {&replicas{submitted: plane.SubmitReply{Refused: plane.KindConflict, ConfigNumber: 1, Winner: "ravi@ops"}}, append(both, "apply", folderOf(t, good))},
		"apply-lagging":    {&replicas{submitted: plane.SubmitReply{ConfigNumber: 1, Lagging: []string{"e1", "a7"}}}, append(both, "apply", folderOf(t, good))},
		"apply-invalid":    {&replicas{submitted: plane.SubmitReply{Refused: plane.KindInvalid, Detail: "rates"}}, append(both, "apply", folderOf(t, good))},
		"apply-leaderless": {&replicas{submitted: plane.SubmitReply{Refused: plane.KindNoLeader}}, append(both, "apply", folderOf(t, good))},
		"key-new":          {&replicas{}, []string{"key", "new", "--workspace", "w", "--note", "front desk"}},
		"key-new-json":     {&replicas{}, []string{"key", "new", "--workspace", "w", "--json"}},
		"status":           {&replicas{}, append(both, "status")},
		"status-json":      {&replicas{}, append(both, "status", "--json")},
		"status-half":      {&replicas{}, []string{"status", "--control", "c9:1,c2:1"}},
		"status-none":      {&replicas{}, []string{"status", "--control", "c9:1"}},
		"report":           {&replicas{}, append(both, "report")},
		"replace":          {&replicas{}, append(both, "replace", "c3")},
		"replace-refused":  {&replicas{admin: plane.AdminReply{Refused: plane.KindMissing, Detail: "no replica c8"}}, append(both, "replace", "c8")},
		"replace-timeout":  {&replicas{admin: plane.AdminReply{Refused: plane.KindTimeout, Detail: "the new replica does not answer"}}, append(both, "replace", "c3")},
		"move-json":        {&replicas{}, append(both, "move", "c2", "--json")},
		"ban-list":         {&replicas{bans: []plane.Ban{{Digest: []byte{1, 255}, Crashes: 2, SoleSuspectCrashes: 1, Remaining: span.Duration(time.Hour)}}}, append(both, "ban", "list")},
		"ban-list-none":    {&replicas{}, append(both, "ban", "list")},
		"ban-lift":         {&replicas{}, append(both, "ban", "lift", digest)},
		"ban-lift-usage":   {&replicas{}, append(both, "ban", "lift", "zz")},
	} {
		t.Run(name, func(t *testing.T) {
			goldie.New(t).Assert(t, name, []byte(run(t, test.replicas, test.arguments...)))
		})
	}
}

func TestApplyUsesTheNextNumberOrTheFoldersOwn(t *testing.T) {
	same, err := conf.Load(folderOf(t, good))
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
			r := &replicas{committed: test.committed, submitted: plane.SubmitReply{InForce: true}}
			require.Contains(t, run(t, r, "apply", "--control", "c1:1", folderOf(t, test.text)), "exit code 0")
			require.Equal(t, test.want, r.asks[0].Config.Number)
			require.Equal(t, "asha@ops", r.asks[0].Author)
		})
	}
}

func TestLostAnswerIsAskedForAgainUnderTheSameNumber(t *testing.T) {
	r := &replicas{lose: 3, submitted: plane.SubmitReply{InForce: true}}
	require.Contains(t, run(t, r, "apply", "--control", "c1:1,c2:1", folderOf(t, good)), "exit code 0")
	require.Len(t, r.asks, 4)
	for _, ask := range r.asks {
		require.Equal(t, uint64(1), ask.Config.Number)
	}
}

func TestReportDrawsPicture(t *testing.T) {
	file := filepath.Join(t.TempDir(), "burn.png")
	require.Contains(t, run(t, &replicas{}, "report", "--control", "c1:1", "--picture", file), "exit code 0")
	require.FileExists(t, file)
}

func TestOrdersReachControl(t *testing.T) {
	r := &replicas{}
	run(t, r, "--control", "c1:1", "replace", "c3")
	run(t, r, "--control", "c1:1", "move", "c2")
	run(t, r, "--control", "c1:1", "ban", "lift", "01ff")
	require.Equal(t, []plane.AdminRequest{
		{Order: plane.OrderReplace, Name: "c3"}, {Order: plane.OrderMove, Name: "c2"}, {Order: plane.OrderLift, Digest: []byte{1, 255}},
	}, r.orders)
}
