package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
)

const (
	deskKey   = "demo-surat-desk"
	otherKey  = "demo-rajkot-desk"
	kioskKey  = "demo-kiosk"
	leaverKey = "demo-leaver"
	summary   = "surat-summary"
	completed = "/v1/completions"
	// burstSize is how many requests the small workspace sends, thinkTime the
	// pause before each.
	burstSize = 7
	thinkTime = 300 * time.Millisecond
)

func (d *Demo) steps() []func(context.Context) {
	return []func(context.Context){
		d.completions, d.models, d.services, d.filings, d.strangers, d.malformed,
		d.overRate, d.versionSwitch, d.withdrawal,
	}
}

func prompted(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, tokens, stream)
}

// expect judges a completion by what the stand-in engine must have said.
func (d *Demo) expect(q question, r reply, adapter, version, prompt string, tokens int) {
	want := model.Answer(adapter, version, prompt, 0, tokens)
	text, whole := r.text()
	wrong := ""
	if !whole || text != want {
		wrong = fmt.Sprintf("want the %d tokens of %s version %s, whole", tokens, adapter, version)
	}
	d.judge(q, r, wrong)
}

// expectRefusal judges a refusal.
func (d *Demo) expectRefusal(q question, r reply, status int) {
	_, ran := r.refusal()
	wrong := ""
	if r.status != status || ran != "no" {
		wrong = fmt.Sprintf("want status %d and ran no", status)
	}
	d.judge(q, r, wrong)
}

func (d *Demo) completions(ctx context.Context) {
	const prompt = "Summarize the judgments against Example Traders."
	whole := question{name: "completion", key: deskKey, method: http.MethodPost, path: completed, body: prompted(summary, prompt, 12, false)}
	d.expect(whole, d.ask(ctx, 0, whole), summary, "1", prompt, 12)
	streamed := question{name: "streamed completion, other entry", key: deskKey, method: http.MethodPost, path: completed, body: prompted(summary, prompt, 40, true)}
	d.expect(streamed, d.ask(ctx, 1, streamed), summary, "1", prompt, 40)
	body := fmt.Sprintf(`{"model":"rajkot-notes","messages":[{"role":"user","content":%q}],"max_tokens":10,"stream":true}`, prompt)
	chat := question{name: "streamed chat", key: otherKey, method: http.MethodPost, path: "/v1/chat/completions", body: body}
	d.expect(chat, d.ask(ctx, 0, chat), "rajkot-notes", "1", prompt, 10)
}

func (d *Demo) models(ctx context.Context) {
	q := question{name: "models of one workspace", key: deskKey, method: http.MethodGet, path: "/v1/models"}
	r := d.ask(ctx, 0, q)
	wrong := ""
	if r.status != http.StatusOK || !strings.Contains(r.body, summary) || strings.Contains(r.body, "rajkot-notes") {
		wrong = "want the workspace's own adapters only"
	}
	d.judge(q, r, wrong)
}

func (d *Demo) services(ctx context.Context) {
	lookup := question{name: "lookup", key: deskKey, method: http.MethodGet, path: "/register/17"}
	d.expectStatus(lookup, d.ask(ctx, 0, lookup), http.StatusOK)
	open := question{name: "open route without a key", method: http.MethodGet, path: "/hours"}
	d.expectStatus(open, d.ask(ctx, 1, open), http.StatusOK)
	method := question{name: "wrong method", key: deskKey, method: http.MethodDelete, path: "/register/17"}
	d.expectRefusal(method, d.ask(ctx, 0, method), http.StatusMethodNotAllowed)
}

func (d *Demo) expectStatus(q question, r reply, status int) {
	wrong := ""
	if r.status != status {
		wrong = fmt.Sprintf("want status %d", status)
	}
	d.judge(q, r, wrong)
}

// filings sends one filing twice, to two entries; it must run once.
func (d *Demo) filings(ctx context.Context) {
	q := question{name: "filing", key: deskKey, method: http.MethodPost, path: "/filings", body: `{"case":"C-1"}`, once: "demo-filing-1"}
	first := d.ask(ctx, 0, q)
	d.expectStatus(q, first, http.StatusCreated)
	q.name = "the same filing at another entry"
	second := d.ask(ctx, 1, q)
	wrong := ""
	if second.body != first.body || second.status != first.status {
		wrong = "want the recorded answer"
	}
	if ran := d.fleet.Services[0].Filings()["demo-filing-1"]; ran != 1 {
		wrong = fmt.Sprintf("the filing ran %d times", ran)
	}
	d.judge(q, second, wrong)
	q.name, q.body = "another filing under the same key", `{"case":"C-2"}`
	d.expectRefusal(q, d.ask(ctx, 0, q), http.StatusUnprocessableEntity)
}

func (d *Demo) strangers(ctx context.Context) {
	body := prompted(summary, "x", 4, false)
	wrong := question{name: "wrong key", key: "demo-nobody", method: http.MethodPost, path: completed, body: body}
	d.expectRefusal(wrong, d.ask(ctx, 0, wrong), http.StatusUnauthorized)
	missing := question{name: "no key", method: http.MethodPost, path: completed, body: body}
	d.expectRefusal(missing, d.ask(ctx, 1, missing), http.StatusUnauthorized)
	foreign := question{name: "another workspace's adapter", key: otherKey, method: http.MethodPost, path: completed, body: body}
	d.expectRefusal(foreign, d.ask(ctx, 0, foreign), http.StatusNotFound)
}

func (d *Demo) malformed(ctx context.Context) {
	broken := question{name: "malformed JSON", key: deskKey, method: http.MethodPost, path: completed, body: `{"model":`}
	d.expectRefusal(broken, d.ask(ctx, 0, broken), http.StatusBadRequest)
	unknown := question{name: "unknown adapter", key: deskKey, method: http.MethodPost, path: completed, body: prompted("nothing", "x", 4, false)}
	d.expectRefusal(unknown, d.ask(ctx, 0, unknown), http.StatusNotFound)
}

// overRate goes on asking, as a person does, after the small workspace's burst
// is used up. Some requests are answered, the others refused at once with a
// time to come back, because the caller would not wait so long.
func (d *Demo) overRate(ctx context.Context) {
	const prompt = "Opening hours, please."
	q := question{name: "beyond the burst", key: kioskKey, method: http.MethodPost, path: completed, body: prompted("kiosk-short", prompt, 60, true)}
	answered, refused := 0, 0
	for turn := range burstSize {
		time.Sleep(thinkTime)
		r := d.ask(ctx, turn, q)
		if r.status == http.StatusTooManyRequests && r.header.Get("Retry-After") != "" {
			refused++
			d.expectRefusal(q, r, http.StatusTooManyRequests)
			continue
		}
		answered++
		d.expect(q, r, "kiosk-short", "1", prompt, 60)
	}
	d.summarize("beyond the burst", answered > 0 && refused > 0, fmt.Sprintf("%d answered, %d refused", answered, refused))
}

func (d *Demo) summarize(name string, good bool, detail string) {
	d.count++
	verdict := "ok"
	if !good {
		verdict = "WRONG"
		d.failed++
	}
	_, _ = fmt.Fprintf(d.Out, "%-44s %s: %s\n", name, verdict, detail)
}

// change applies a changed copy of the configuration.
func (d *Demo) change(ctx context.Context, name string, edit func(*conf.Config)) {
	data, err := codec.Encode(d.config)
	next := &conf.Config{}
	if err == nil {
		err = codec.Decode(data, next)
	}
	start := time.Now()
	if err == nil {
		edit(next)
		next.Number++
		err = d.fleet.Apply(ctx, next)
		d.config = next
	}
	d.summarize(name, err == nil, fmt.Sprintf("in force everywhere after %v, err %v", time.Since(start).Round(time.Millisecond), err))
}

func (d *Demo) versionSwitch(ctx context.Context) {
	d.change(ctx, "switch to version 2", func(next *conf.Config) {
		adapter := next.Adapters[summary]
		adapter.Current = "2"
		next.Adapters[summary] = adapter
	})
	const prompt = "Which version?"
	q := question{name: "completion after the switch", key: deskKey, method: http.MethodPost, path: completed, body: prompted(summary, prompt, 6, false)}
	d.expect(q, d.ask(ctx, 0, q), summary, "2", prompt, 6)
}

// withdrawal takes a key away while a long answer streams under it.
func (d *Demo) withdrawal(ctx context.Context) {
	q := question{name: "stream under a key withdrawn meanwhile", key: leaverKey, method: http.MethodPost, path: completed, body: prompted(summary, "long", 3000, true)}
	var stream reply
	var flight conc.WaitGroup
	flight.Go(func() { stream = d.ask(ctx, 0, q) })
	time.Sleep(300 * time.Millisecond)
	d.change(ctx, "withdraw a key", func(next *conf.Config) { delete(next.Keys, digest.Key(leaverKey)) })
	flight.Wait()
	_, whole := stream.text()
	code, _ := stream.refusal()
	wrong := ""
	if whole || code == "" {
		wrong = "want an error event in place of the end"
	}
	d.judge(q, stream, wrong)
	again := question{name: "request under the withdrawn key", key: leaverKey, method: http.MethodPost, path: completed, body: prompted(summary, "x", 4, false)}
	d.expectRefusal(again, d.ask(ctx, 1, again), http.StatusUnauthorized)
}
