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

// checkAnswers reports completions that differ from the expected complete
// answer to their request.
func checkAnswers(requests []*driver.Request) []string {
	var violations []string
	for _, request := range requests {
		if request.Adapter == "" || !request.Answered() {
			continue
		}
		want := model.Answer(request.Adapter, "1", request.Prompt, 0, request.MaxTokens)
		if request.Text != want {
			violations = append(violations, fmt.Sprintf("answer of %s differs from the expected answer: got %d bytes, want %d", request.Adapter, len(request.Text), len(want)))
		}
	}
	return violations
}

// checkEndpoints reports guarantees that were violated according to the
// endpoints' records.
func checkEndpoints(requests []*driver.Request, f *fleet.Fleet, tenants []driver.Tenant) []string {
	var violations []string
	for _, engine := range f.Engines {
		violations = append(violations, engine.Violations()...)
	}
	violations = append(violations, checkFilings(requests, f)...)
	violations = append(violations, checkKeys(f, tenants)...)
	return append(violations, checkRates(requests, tenants)...)
}

// checkFilings reports filings that ran more than once, that were always
// refused as not run although they ran, or that were answered without having
// run.
func checkFilings(requests []*driver.Request, f *fleet.Fleet) []string {
	ran := map[string]int{}
	for _, service := range f.Services {
		for key, count := range service.Filings() {
			ran[key] += count
		}
	}
	var violations []string
	for key, count := range ran {
		if count > 1 {
			violations = append(violations, fmt.Sprintf("filing %s ran %d times", key, count))
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
			violations = append(violations, fmt.Sprintf("filing %s was answered but did not run", key))
		}
		if denied[key] == count && ran[key] > 0 {
			violations = append(violations, fmt.Sprintf("filing %s was refused as not run but ran", key))
		}
	}
	sort.Strings(violations)
	return violations
}

// checkKeys reports requests in which an endpoint received a caller's API key.
func checkKeys(f *fleet.Fleet, tenants []driver.Tenant) []string {
	var violations []string
	containsKey := func(text string) bool {
		for index := range tenants {
			if strings.Contains(text, tenants[index].InteractiveKey) || strings.Contains(text, tenants[index].BatchKey) {
				return true
			}
		}
		return false
	}
	for _, engine := range f.Engines {
		for _, received := range engine.Received() {
			if containsKey(fmt.Sprint(received.Header, received.Body)) {
				violations = append(violations, "an engine received a caller's key")
			}
		}
	}
	for _, service := range f.Services {
		for _, call := range service.Calls() {
			if containsKey(fmt.Sprint(call.Header, call.Body, call.Path)) {
				violations = append(violations, "a service received a caller's key")
			}
		}
	}
	return violations
}

// rateTolerance is added to the elapsed time when checkRates computes the
// allowed number of tokens.
const rateTolerance = time.Second

// checkRates reports workspaces that received more than rate x time + burst
// tokens. Time starts with the workspace's first answered request, and the
// tokens of a request count when it ends.
func checkRates(requests []*driver.Request, tenants []driver.Tenant) []string {
	var violations []string
	for index := range tenants {
		tenant := &tenants[index]
		if excess, at := worstExcess(requests, tenant); excess > 0 {
			violations = append(violations, fmt.Sprintf("%s received %.0f tokens more than rate x time + burst after %v", tenant.Workspace, excess, at))
		}
	}
	return violations
}

// worstExcess returns the largest number of tokens by which the ended requests
// of a workspace exceeded its allowance, and when that was.
func worstExcess(requests []*driver.Request, tenant *driver.Tenant) (worst float64, at time.Duration) {
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
		allowed := float64(tenant.Burst) + float64(tenant.Rate)*(request.Ended.Sub(start)+rateTolerance).Seconds()
		if sum-allowed > worst {
			worst, at = sum-allowed, request.Ended.Sub(start)
		}
	}
	return worst, at
}
