package main

import (
	"fmt"
	"net/http"
	"time"
)

// tenantsCase changes to a configuration without tenants, under which no request needs a key.
func tenantsCase(r *rig, trouble bool) (bool, error) {
	const configTime = 2 * time.Second
	var fronts []machine
	for number := 1; number <= 3; number++ {
		m := r.machine(number, true)
		for _, role := range []string{"ctrl", "entry"} {
			if _, err := r.start(role, m, memoryMB); err != nil {
				return false, err
			}
		}
		fronts = append(fronts, m)
	}
	w, err := r.startWorker(1, "registry", 6, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer w.close()
	d := &document{
		version: 5, services: []string{"registry"}, routes: []map[string]any{route("r-look", "/look/", "safe", "registry", 2, 1500)},
		tenants: []tenant{{name: "tenant-1", keys: []string{"i9n73hh2b9wu3fexd9dn"}, rate: 82617, burst: 82617}},
	}
	o := r.operator()
	if status, err := o.put(d.text(), 20*time.Second); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the first configuration: status %d, %w", status, err)
	}
	if err := r.awaitReady(fronts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		d.version, d.withoutTenants = 9, true
		status, err := o.put(d.text(), 10*time.Second)
		r.note("version 9 without tenants: status %d, %v", status, err)
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("version 9: status %d, %w", status, err)
		}
	}
	time.Sleep(configTime + 5*time.Second)
	counts, denied, all := map[string]int{}, 0, 300
	for i := range all {
		a := r.send(r.frontAddress(fronts[i%len(fronts)]), call{
			method: http.MethodGet, path: fmt.Sprintf("/look/%d", i), host: "site.example", key: "i9n73hh2b9wu3fexd9dn", deadline: 1500 * time.Millisecond,
		})
		if a.failure != "" {
			counts[a.failure]++
		} else {
			counts[fmt.Sprint(a.status)]++
		}
		if a.status/100 == 4 && a.seal == "" && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.note("%d requests: %v; %d denied, allowed are %d", all, counts, denied, 5+all/500)
	return denied <= 5+all/500, nil
}
