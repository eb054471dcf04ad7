package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// startSpread is within what all machines of the deployment start.
	startSpread = 300 * time.Millisecond
	// killAt is when the process is killed: the last machine is about to start.
	killAt = 250 * time.Millisecond
	// birthTime is how long the operator tries: far beyond every bound of the sheet.
	birthTime = 40 * time.Second
	// readTime is how long the operator reads back, longer than the contact window.
	readTime = 5 * time.Second
)

// birthCase starts the deployment for the first time. One control process is killed once while
// the machines start, and the platform starts it again at once.
func birthCase(r *rig, trouble bool) (bool, error) {
	var core []*process
	for number := 1; number <= 3; number++ {
		if number == 3 {
			time.Sleep(time.Until(r.began.Add(killAt)))
			if trouble {
				r.note("SIGKILL of ctrl on %s", core[0].machine.name)
				core[0].signal(syscall.SIGKILL)
			}
			time.Sleep(time.Until(r.began.Add(startSpread)))
		}
		p, err := r.start("ctrl", r.machine(number, true), memoryMB)
		if err != nil {
			return false, err
		}
		r.note("ctrl on %s has started", p.machine.name)
		core = append(core, p)
	}
	return r.readsBack(core, r.operator(), trouble)
}

// replacedCase starts the deployment for the first time. One machine of the core is lost for good
// while the machines start, and an empty one comes two seconds later at another address.
func replacedCase(r *rig, trouble bool) (bool, error) {
	o := r.operator()
	var core []*process
	for i, number := range []int{3, 1, 2} {
		// The last machine starts 0.3 s after the first one.
		time.Sleep(time.Until(r.began.Add(time.Duration(i) * startSpread / 2)))
		if trouble && number == 1 {
			r.note("%s is lost for good", core[0].machine.name)
			core[0].lose()
		}
		p, err := r.start("ctrl", r.machine(number, true), memoryMB)
		if err != nil {
			return false, err
		}
		r.note("ctrl on %s has started", p.machine.name)
		core = append(core, p)
	}
	if trouble {
		time.Sleep(2 * time.Second)
		r.lost = 3
		o.hosts = r.seeds()
		p, err := r.startLater("ctrl", r.machine(4, true), memoryMB)
		if err != nil {
			return false, err
		}
		r.note("ctrl on %s has started with an empty disk", p.machine.name)
		for _, former := range core[1:] {
			if err := former.renew(); err != nil {
				return false, err
			}
		}
		core = append(core[1:], p)
		r.note("the settings name the seeds %v", r.seeds())
	}
	return r.readsBack(core, o, trouble)
}

// readsBack sends a configuration until it is acknowledged, and reports whether it is and then
// comes when it is read back.
func (r *rig) readsBack(core []*process, o *operator, trouble bool) (bool, error) {
	r.note("the operator sends version 7, and again until it is acknowledged")
	status, err := o.put(configuration(7, 10, 1500), birthTime)
	acknowledged := err == nil && status == http.StatusOK
	r.note("version 7: status %d, acknowledged %v", status, acknowledged)
	comes, last := false, 0
	for end := time.Now().Add(readTime); !comes && time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, host := range o.hosts {
			status, err := o.send(http.MethodGet, host, nil)
			if status != last {
				r.note("reading the configuration at %s: status %d, %v", host, status, err)
			}
			last = status
			comes = comes || err == nil && status == http.StatusOK
		}
	}
	for _, p := range core {
		r.note("ctrl on %s ended %d times", p.machine.name, p.ends)
	}
	if !trouble && !(acknowledged && comes) {
		return false, fmt.Errorf("no configuration without the disruption")
	}
	return acknowledged && comes, nil
}
