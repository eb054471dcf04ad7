package bench

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/stubs/driver"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
)

// checkAnswers finds answers that are not those of their own request, whole.
func checkAnswers(requests []*driver.Request) []string {
	var broken []string
	for _, request := range requests {
		if request.Adapter == "" || !request.Answered() {
			continue
		}
		want := model.Answer(request.Adapter, "1", request.Prompt, 0, request.MaxTokens)
		if request.Text != want {
			broken = append(broken, fmt.Sprintf("answer of %s is not its own, whole: %d of %d bytes", request.Adapter, len(request.Text), len(want)))
		}
	}
	return broken
}

// checkEndpoints finds promises broken at the endpoints' side.
func checkEndpoints(requests []*driver.Request, f *fleet.Fleet, tenants []driver.Tenant) []string {
	var broken []string
	for _, engine := range f.Engines {
		broken = append(broken, engine.Violations()...)
	}
	broken = append(broken, checkFilings(requests, f)...)
	broken = append(broken, checkKeys(f, tenants)...)
	return append(broken, checkRates(requests, tenants)...)
}

// checkFilings finds filings that ran twice, were refused as not run although
// they ran, or were answered without having run.
func checkFilings(requests []*driver.Request, f *fleet.Fleet) []string {
	ran := map[string]int{}
	for _, service := range f.Services {
		for key, count := range service.Filings() {
			ran[key] += count
		}
	}
	var broken []string
	for key, count := range ran {
		if count > 1 {
			broken = append(broken, fmt.Sprintf("filing %s ran %d times", key, count))
		}
	}
	answered, denied := map[string]bool{}, map[string]int{}
	sent := map[string]int{}
	for _, request := range requests {
		if request.IdempotencyKey == "" {
			continue
		}
		sent[request.IdempotencyKey]++
		if request.Answered() {
			answered[request.IdempotencyKey] = true
		}
		if request.Ran == "no" {
			denied[request.IdempotencyKey]++
		}
	}
	for key, count := range sent {
		if answered[key] && ran[key] == 0 {
			broken = append(broken, fmt.Sprintf("filing %s was answered but did not run", key))
		}
		if denied[key] == count && ran[key] > 0 {
			broken = append(broken, fmt.Sprintf("filing %s was refused as not run but ran", key))
		}
	}
	sort.Strings(broken)
	return broken
}

// checkKeys looks for callers' keys in everything an endpoint received.
func checkKeys(f *fleet.Fleet, tenants []driver.Tenant) []string {
	var broken []string
	holds := func(text string) bool {
		for index := range tenants {
			if strings.Contains(text, tenants[index].InteractiveKey) || strings.Contains(text, tenants[index].BatchKey) {
				return true
			}
		}
		return false
	}
	for _, engine := range f.Engines {
		for _, received := range engine.Received() {
			if holds(fmt.Sprint(received.Header, received.Body)) {
				broken = append(broken, "an engine received a caller's key")
			}
		}
	}
	for _, service := range f.Services {
		for _, call := range service.Calls() {
			if holds(fmt.Sprint(call.Header, call.Body, call.Path)) {
				broken = append(broken, "a service received a caller's key")
			}
		}
	}
	return broken
}

// rateStep is the time between two looks at what a workspace received.
const rateStep = time.Second

// checkRates finds workspaces whose answered requests, counted from their
// first token to their end, exceed rate x time + burst over any span that
// starts with the run.
func checkRates(requests []*driver.Request, tenants []driver.Tenant) []string {
	var broken []string
	for index := range tenants {
		tenant := &tenants[index]
		if excess, at := excess(requests, tenant); excess > 0 {
			broken = append(broken, fmt.Sprintf("%s received %.0f tokens more than rate x time + burst after %v", tenant.Workspace, excess, at))
		}
	}
	return broken
}

// excess returns by how much the sum of the tokens of requests that had ended
// exceeds what the whole time up to then allowed, at its worst.
func excess(requests []*driver.Request, tenant *driver.Tenant) (worst float64, at time.Duration) {
	var ended []*driver.Request
	for _, request := range requests {
		if request.Workspace == tenant.Workspace && request.Answered() {
			ended = append(ended, request)
		}
	}
	if len(ended) == 0 {
		return 0, 0
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].Ended.Before(ended[j].Ended) })
	start := ended[0].Sent
	for _, request := range ended {
		if request.Sent.Before(start) {
			start = request.Sent
		}
	}
	sum := 0.0
	for _, request := range ended {
		sum += float64(max(request.PromptTokens+request.CompletionTokens, 1))
		allowed := float64(tenant.Burst) + float64(tenant.Rate)*(request.Ended.Sub(start)+rateStep).Seconds()
		if sum-allowed > worst {
			worst, at = sum-allowed, request.Ended.Sub(start)
		}
	}
	return worst, at
}
