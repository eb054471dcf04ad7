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
	suratKey        = "demo-surat-desk"
	rajkotKey       = "demo-rajkot-desk"
	kioskKey        = "demo-kiosk"
	withdrawnKey    = "demo-leaver"
	summaryAdapter  = "surat-summary"
	completionsPath = "/v1/completions"
	// kioskRequests is the number of requests of the workspace with the small
	// rate, kioskPause the pause before each of them.
	kioskRequests = 7
	kioskPause    = 300 * time.Millisecond
)

func (d *Demo) steps() []func(context.Context) {
	return []func(context.Context){
		d.completions, d.models, d.services, d.filings, d.unauthorized, d.malformed,
		d.overRateLimit, d.versionSwitch, d.keyWithdrawal,
	}
}

func completionBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, tokens, stream)
}

// expectCompletion checks a completion against the deterministic answer of the
// simulated engine.
func (d *Demo) expectCompletion(e exchange, r result, adapter, version, prompt string, tokens int) {
	want := model.Answer(adapter, version, prompt, 0, tokens)
	text, complete := r.text()
	wrong := ""
	if !complete || text != want {
		wrong = fmt.Sprintf("want the %d tokens of %s version %s, whole", tokens, adapter, version)
	}
	d.recordResult(e, r, wrong)
}

// expectRefusal checks the status of a refusal and that the request has not run.
func (d *Demo) expectRefusal(e exchange, r result, status int) {
	_, ran := r.refusal()
	wrong := ""
	if r.status != status || ran != "no" {
		wrong = fmt.Sprintf("want status %d and ran no", status)
	}
	d.recordResult(e, r, wrong)
}

func (d *Demo) completions(ctx context.Context) {
	const prompt = "Summarize the judgments against Example Traders."
	single := exchange{name: "completion", key: suratKey, method: http.MethodPost, path: completionsPath, body: completionBody(summaryAdapter, prompt, 12, false)}
	d.expectCompletion(single, d.send(ctx, 0, single), summaryAdapter, "1", prompt, 12)
	streamed := exchange{name: "streamed completion, other entry", key: suratKey, method: http.MethodPost, path: completionsPath, body: completionBody(summaryAdapter, prompt, 40, true)}
	d.expectCompletion(streamed, d.send(ctx, 1, streamed), summaryAdapter, "1", prompt, 40)
	body := fmt.Sprintf(`{"model":"rajkot-notes","messages":[{"role":"user","content":%q}],"max_tokens":10,"stream":true}`, prompt)
	chat := exchange{name: "streamed chat", key: rajkotKey, method: http.MethodPost, path: "/v1/chat/completions", body: body}
	d.expectCompletion(chat, d.send(ctx, 0, chat), "rajkot-notes", "1", prompt, 10)
}

func (d *Demo) models(ctx context.Context) {
	e := exchange{name: "models of one workspace", key: suratKey, method: http.MethodGet, path: "/v1/models"}
	r := d.send(ctx, 0, e)
	wrong := ""
	if r.status != http.StatusOK || !strings.Contains(r.body, summaryAdapter) || strings.Contains(r.body, "rajkot-notes") {
		wrong = "want the workspace's own adapters only"
	}
	d.recordResult(e, r, wrong)
}

func (d *Demo) services(ctx context.Context) {
	lookup := exchange{name: "lookup", key: suratKey, method: http.MethodGet, path: "/register/17"}
	d.expectStatus(lookup, d.send(ctx, 0, lookup), http.StatusOK)
	open := exchange{name: "open route without a key", method: http.MethodGet, path: "/hours"}
	d.expectStatus(open, d.send(ctx, 1, open), http.StatusOK)
	method := exchange{name: "wrong method", key: suratKey, method: http.MethodDelete, path: "/register/17"}
	d.expectRefusal(method, d.send(ctx, 0, method), http.StatusMethodNotAllowed)
}

func (d *Demo) expectStatus(e exchange, r result, status int) {
	wrong := ""
	if r.status != status {
		wrong = fmt.Sprintf("want status %d", status)
	}
	d.recordResult(e, r, wrong)
}

// filings sends the same filing to two entries; it must run only once.
func (d *Demo) filings(ctx context.Context) {
	e := exchange{name: "filing", key: suratKey, method: http.MethodPost, path: "/filings", body: `{"case":"C-1"}`, idempotencyKey: "demo-filing-1"}
	first := d.send(ctx, 0, e)
	d.expectStatus(e, first, http.StatusCreated)
	e.name = "the same filing at another entry"
	second := d.send(ctx, 1, e)
	wrong := ""
	if second.body != first.body || second.status != first.status {
		wrong = "want the recorded answer"
	}
	if ran := d.fleet.Services[0].Filings()["demo-filing-1"]; ran != 1 {
		wrong = fmt.Sprintf("the filing ran %d times", ran)
	}
	d.recordResult(e, second, wrong)
	e.name, e.body = "another filing under the same key", `{"case":"C-2"}`
	d.expectRefusal(e, d.send(ctx, 0, e), http.StatusUnprocessableEntity)
}

func (d *Demo) unauthorized(ctx context.Context) {
	body := completionBody(summaryAdapter, "x", 4, false)
	wrong := exchange{name: "wrong key", key: "demo-nobody", method: http.MethodPost, path: completionsPath, body: body}
	d.expectRefusal(wrong, d.send(ctx, 0, wrong), http.StatusUnauthorized)
	missing := exchange{name: "no key", method: http.MethodPost, path: completionsPath, body: body}
	d.expectRefusal(missing, d.send(ctx, 1, missing), http.StatusUnauthorized)
	foreign := exchange{name: "another workspace's adapter", key: rajkotKey, method: http.MethodPost, path: completionsPath, body: body}
	d.expectRefusal(foreign, d.send(ctx, 0, foreign), http.StatusNotFound)
}

func (d *Demo) malformed(ctx context.Context) {
	broken := exchange{name: "malformed JSON", key: suratKey, method: http.MethodPost, path: completionsPath, body: `{"model":`}
	d.expectRefusal(broken, d.send(ctx, 0, broken), http.StatusBadRequest)
	unknown := exchange{name: "unknown adapter", key: suratKey, method: http.MethodPost, path: completionsPath, body: completionBody("nothing", "x", 4, false)}
	d.expectRefusal(unknown, d.send(ctx, 0, unknown), http.StatusNotFound)
}

// overRateLimit continues to send requests after a small workspace's burst is used
// up. Some requests are answered, the others refused at once with a Retry-After
// time, because they would have to wait too long.
func (d *Demo) overRateLimit(ctx context.Context) {
	const prompt = "Opening hours, please."
	e := exchange{name: "beyond the burst", key: kioskKey, method: http.MethodPost, path: completionsPath, body: completionBody("kiosk-short", prompt, 60, true)}
	answered, refused := 0, 0
	for attempt := range kioskRequests {
		time.Sleep(kioskPause)
		r := d.send(ctx, attempt, e)
		if r.status == http.StatusTooManyRequests && r.header.Get("Retry-After") != "" {
			refused++
			d.expectRefusal(e, r, http.StatusTooManyRequests)
			continue
		}
		answered++
		d.expectCompletion(e, r, "kiosk-short", "1", prompt, 60)
	}
	d.recordCheck("beyond the burst", answered > 0 && refused > 0, fmt.Sprintf("%d answered, %d refused", answered, refused))
}

func (d *Demo) recordCheck(name string, good bool, detail string) {
	d.checks++
	verdict := "ok"
	if !good {
		verdict = "WRONG"
		d.failures++
	}
	_, _ = fmt.Fprintf(d.Out, "%-44s %s: %s\n", name, verdict, detail)
}

// applyChange applies an edited copy of the configuration and checks that it comes
// into force everywhere.
func (d *Demo) applyChange(ctx context.Context, name string, edit func(*conf.Config)) {
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
	d.recordCheck(name, err == nil, fmt.Sprintf("in force everywhere after %v, err %v", time.Since(start).Round(time.Millisecond), err))
}

func (d *Demo) versionSwitch(ctx context.Context) {
	d.applyChange(ctx, "switch to version 2", func(next *conf.Config) {
		adapter := next.Adapters[summaryAdapter]
		adapter.Current = "2"
		next.Adapters[summaryAdapter] = adapter
	})
	const prompt = "Which version?"
	e := exchange{name: "completion after the switch", key: suratKey, method: http.MethodPost, path: completionsPath, body: completionBody(summaryAdapter, prompt, 6, false)}
	d.expectCompletion(e, d.send(ctx, 0, e), summaryAdapter, "2", prompt, 6)
}

// keyWithdrawal removes a key while a long answer to a request with the key is
// streamed.
func (d *Demo) keyWithdrawal(ctx context.Context) {
	e := exchange{name: "stream under a key withdrawn meanwhile", key: withdrawnKey, method: http.MethodPost, path: completionsPath, body: completionBody(summaryAdapter, "long", 3000, true)}
	var stream result
	var group conc.WaitGroup
	group.Go(func() { stream = d.send(ctx, 0, e) })
	time.Sleep(300 * time.Millisecond)
	d.applyChange(ctx, "withdraw a key", func(next *conf.Config) { delete(next.Keys, digest.Key(withdrawnKey)) })
	group.Wait()
	_, complete := stream.text()
	code, _ := stream.refusal()
	wrong := ""
	if complete || code == "" {
		wrong = "want an error event in place of the end"
	}
	d.recordResult(e, stream, wrong)
	again := exchange{name: "request under the withdrawn key", key: withdrawnKey, method: http.MethodPost, path: completionsPath, body: completionBody(summaryAdapter, "x", 4, false)}
	d.expectRefusal(again, d.send(ctx, 1, again), http.StatusUnauthorized)
}
