package main

import (
	"fmt"
	"time"
)

const (
	// routeStep is how many routes a step of growth adds: the count of big_config on a small
	// site's sheet is at most 448.
	routeStep = 448
	// growthSteps is the number of these steps, changes that of the changes after them: a day may
	// contain hundreds of changes.
	growthSteps = 14
	changes     = 600
	// The changes come in storms like config_storm on a small site's sheet: one each changeGap,
	// as many as fit into 1.5 s, then a pause.
	changeGap  = 60 * time.Millisecond
	stormSize  = 25
	stormPause = time.Second
	// memoryTime is how long the case runs at most.
	memoryTime = 108 * time.Second
)

// memoryCase lets the configuration grow and change often. The control processes must stay
// within the memory of their machines.
func memoryCase(r *rig, trouble bool) (bool, error) {
	var core []*process
	for number := 1; number <= 3; number++ {
		p, err := r.start("ctrl", r.machine(number, true), memoryMB)
		if err != nil {
			return false, err
		}
		core = append(core, p)
	}
	o := r.operator()
	version := 1
	if status, err := o.put(configuration(version, 10, 1500), 20*time.Second); err != nil || status != 200 {
		return false, fmt.Errorf("the first configuration: status %d, %w", status, err)
	}
	r.note("the first configuration is acknowledged")
	end := r.began.Add(memoryTime)
	routes, acknowledged := 10, 0
	for i := 0; trouble && i < growthSteps+changes && time.Now().Before(end) && endedOften(core) < 2; i++ {
		began := time.Now()
		version += 3
		if i < growthSteps {
			routes += routeStep
		}
		body := configuration(version, routes, 1500+i)
		status, err := o.put(body, 20*time.Second)
		if err != nil || status != 200 {
			r.note("version %d (%d routes, %d bytes): status %d, %v", version, routes, len(body), status, err)
			continue
		}
		acknowledged++
		if i%20 == 0 || i < growthSteps {
			r.note("version %d (%d routes, %d bytes) is acknowledged", version, routes, len(body))
		}
		time.Sleep(changeGap - min(time.Since(began), changeGap))
		if i%stormSize == stormSize-1 {
			time.Sleep(stormPause)
		}
	}
	if !trouble {
		time.Sleep(20 * time.Second)
	}
	for _, p := range core {
		p.mutex.Lock()
		r.note("ctrl on %s: peak %d MB of %d, %d ends for memory, %d in all", p.machine.name, p.peakMB, memoryMB, p.memoryEnds, p.ends)
		p.mutex.Unlock()
	}
	r.note("%d changes acknowledged", acknowledged)
	// Half of the core: two of three machines.
	return endedOften(core) < 2, nil
}

// endedOften returns how many machines of the core have a process that ended three times for
// memory over the limit.
func endedOften(core []*process) int {
	often := 0
	for _, p := range core {
		p.mutex.Lock()
		if p.memoryEnds >= 3 {
			often++
		}
		p.mutex.Unlock()
	}
	return often
}
