package main

import (
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// quotaRate and quotaBurst are the tenant's rate_per_s and burst, in tokens; a lookup counts lookupTokens.
	quotaRate    = 55716
	quotaBurst   = 55716
	lookupTokens = 1000
	quotaWindow  = 8 * time.Second
	// quotaLimit is the bound of QUOTA: (rate x window + burst) x (1 + quota_over) + quota_slack.
	quotaLimit = (quotaRate*8+quotaBurst)*11/10 + 11000
	// stormGap is the pause between two configurations, stormChanges their number.
	stormGap     = 330 * time.Millisecond
	stormChanges = 12
)

// quotaConfig returns a configuration with or without the tenant.
func quotaConfig(version int, tenant bool) map[string]any {
	config := defaultConfig()
	config["version"] = version
	tenants := []any{map[string]any{"name": "poor", "api_keys": []string{keyPoor}, "priority": 1, "unit": "token_stream", "plain_tokens": lookupTokens,
		"rate_per_s": 5000, "burst": 5000}}
	if tenant {
		tenants = append(tenants, map[string]any{"name": "rich", "api_keys": []string{keyRich}, "priority": 0, "unit": "token_stream",
			"plain_tokens": lookupTokens, "rate_per_s": quotaRate, "burst": quotaBurst})
	}
	config["tenants"] = tenants
	return config
}

// returningTenant has the operator take a tenant out of the configuration and put it back, several times in a
// row, while the tenant sends more than its quota. Without the trouble, the same number of configurations is
// sent, all with the tenant.
func returningTenant(r *record, trouble bool) int {
	d, err := newDeployment(r)
	if err != nil {
		return cannot
	}
	defer d.close()
	if err := d.startAll(0, 3); err != nil {
		r.line("%v", err)
		return cannot
	}
	type run struct{ sent, arrived time.Time }
	var mutex sync.Mutex
	sent, runs := map[string]time.Time{}, []run{}
	for _, w := range d.workers {
		w.serveRun = func(_ http.ResponseWriter, q *http.Request, _ []byte) bool {
			mutex.Lock()
			defer mutex.Unlock()
			if q.Header.Get("X-Tenant") == "rich" {
				runs = append(runs, run{sent[q.Header.Get("X-Request-Id")], time.Now()})
			}
			return false
		}
	}
	version := 2
	if !d.putUntil(quotaConfig(version, true), 10*time.Second) {
		return cannot
	}
	stop := make(chan struct{})
	statuses := map[int]int{}
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(130 * time.Millisecond):
				}
				a := d.askAs(d.fronts[i%3], "/lookup/x", keyRich, func(id string) {
					mutex.Lock()
					sent[id] = time.Now()
					mutex.Unlock()
				})
				mutex.Lock()
				statuses[a.status]++
				mutex.Unlock()
				r.line("client: %s got %d, error %v", a.id, a.status, a.err)
			}
		}()
	}
	time.Sleep(9 * time.Second)
	for i := range stormChanges {
		version++
		if !d.putUntil(quotaConfig(version, !trouble || i%2 == 1), 5*time.Second) {
			return cannot
		}
		time.Sleep(stormGap)
	}
	time.Sleep(9 * time.Second)
	close(stop)
	wait.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	most, at := 0, time.Time{}
	for i := range runs {
		tokens, end := 0, runs[i].sent.Add(quotaWindow)
		for _, other := range runs[i:] {
			if other.arrived.Before(end) {
				tokens += lookupTokens
			}
		}
		if tokens > most {
			most, at = tokens, runs[i].sent
		}
	}
	r.line("answers by status: %v; %d requests of the tenant ran", statuses, len(runs))
	r.line("most tokens of the tenant in %v: %d from %.3f s on; QUOTA allows %d", quotaWindow, most, at.Sub(r.started).Seconds(), quotaLimit)
	switch {
	case len(runs) < 500:
		return cannot
	case most > quotaLimit:
		return broken
	}
	return held
}
