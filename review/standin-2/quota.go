package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// quotaCase lets a tenant ask for more than its quota while two operators change the
// configuration at the same time: the changes of the second one, which go out first, were made
// before the tenant was entered. The tenant's quota is the same in all that have it.
func quotaCase(r *rig, trouble bool) (bool, error) {
	const rate, burst, size, window = 40000, 40000, 2000, 8 * time.Second
	const allowed = (rate*8+burst)*1.1 + 11000
	var fronts []machine
	for number := 1; number <= 3; number++ {
		m := r.machine(number, true)
		if _, err := r.start("ctrl", m, memoryMB); err != nil {
			return false, err
		}
		if _, err := r.start("entry", m, memoryMB); err != nil {
			return false, err
		}
		fronts = append(fronts, m)
	}
	var workers []*worker
	for number := 1; number <= 3; number++ {
		w, err := r.startWorker(number, "registry", 24, 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer w.close()
		workers = append(workers, w)
	}
	other := tenant{name: "tenant-1", keys: []string{"n2ctnfzs989anu6wsjnb"}, rate: rate, burst: burst}
	asking := tenant{name: "tenant-2", keys: []string{"i9n73hh2b9wu3fexd9dn"}, rate: rate, burst: burst}
	routes := []map[string]any{route("r-look", "/look/", "safe", "registry", 2, 1500)}
	d := &document{version: 5, services: []string{"registry"}, routes: routes, tenants: []tenant{other, asking}}
	o := r.operator()
	if status, err := o.put(d.text(), 20*time.Second); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the first configuration: status %d, %w", status, err)
	}
	if err := r.awaitReady(fronts, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	traffic := time.Now()
	go func() {
		for i := 0; trouble && i < 3; i++ {
			time.Sleep(time.Until(traffic.Add(3*time.Second + time.Duration(i)*1200*time.Millisecond)))
			for _, tenants := range [][]tenant{{other}, {other, asking}} {
				d.version += 4
				d.tenants = tenants
				status, err := o.put(d.text(), 5*time.Second)
				r.note("version %d with %d tenants: status %d, %v", d.version, len(tenants), status, err)
				time.Sleep(200 * time.Millisecond)
			}
		}
	}()
	var mutex sync.Mutex
	var attempts []*attempt
	var group sync.WaitGroup
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; time.Since(traffic) < 16*time.Second; i++ {
		<-ticker.C
		front := r.frontAddress(fronts[i%len(fronts)])
		group.Go(func() {
			a := r.send(front, call{
				method: http.MethodGet, path: fmt.Sprintf("/look/%d", i), host: "site.example", key: asking.keys[0], deadline: 1500 * time.Millisecond,
				tokens: fmt.Sprintf("%d,%d", size-500, 500),
			})
			mutex.Lock()
			defer mutex.Unlock()
			attempts = append(attempts, a)
		})
	}
	group.Wait()
	ran := allRuns(workers)
	counts := map[string]int{}
	var times []time.Time
	for _, a := range attempts {
		if a.failure != "" {
			counts[a.failure]++
		} else {
			counts[fmt.Sprint(a.status)]++
		}
		if len(ran[a.id]) > 0 {
			times = append(times, ran[a.id][0].at)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		most = max(most, (last-first+1)*size)
	}
	r.note("%d attempts: %v", len(attempts), counts)
	r.note("at most %d tokens ran in %s; allowed are %.0f", most, window, float64(allowed))
	return float64(most) <= allowed, nil
}
