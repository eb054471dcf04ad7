package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// recoverTime is recover_s of the sheets whose core bears the loss of two machines.
	recoverTime = 15 * time.Second
	// wipedMemoryMB is the memory of a front machine with a disk on one of these sheets.
	wipedMemoryMB = 184
	// downTime is down_s of the closings on the sheets.
	downTime = 1500 * time.Millisecond
	// wipeReadTime is how long the operator reads back.
	wipeReadTime = 45 * time.Second
)

// wipeCase starts a core of six machines that bears the loss of two. Right after a configuration
// was acknowledged, two of them lose their disks while the others lose power. With trouble, two
// machines had lost power while the deployment started, and come back with the others.
func wipeCase(r *rig, trouble bool) (bool, error) {
	core := make([]*process, 6)
	// The seeds, 1 to 3, start last, 0.3 s after the first machines.
	for i, number := range []int{5, 6, 4, 1, 2, 3} {
		time.Sleep(time.Until(r.began.Add(time.Duration(i) * startSpread / 5)))
		if trouble && number == 1 {
			for _, p := range core[4:] {
				r.note("%s loses power", p.machine.name)
				p.hold()
			}
		}
		m := r.machine(number, true)
		fields := r.settings("ctrl", m, wipedMemoryMB)
		fields["tolerate"] = map[string]int{"machines": 2, "zones": 0, "regions": 0}
		bounds := fields["bounds"].(map[string]any)
		bounds["contact_window_ms"], bounds["ack_ms"], bounds["catch_up_s"], bounds["recover_s"] = 4000, 5000, 6, 15
		p, err := r.startWith("ctrl", m, fields)
		if err != nil {
			return false, err
		}
		core[number-1] = p
	}
	o := r.operator()
	body := configuration(7, 10, 1500)
	status, err := o.put(body, 30*time.Second)
	r.note("version 7: status %d, %v", status, err)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("version 7: status %d, %w", status, err)
	}
	for _, p := range core {
		r.noteEvents(p, "event=group-begun")
		p.hold()
	}
	r.note("all machines of the core have lost power")
	for _, p := range core[:2] {
		if err := os.RemoveAll(filepath.Join(p.folder, "data")); err != nil {
			return false, err
		}
		if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
			return false, err
		}
		r.note("%s has lost its disk", p.machine.name)
	}
	time.Sleep(downTime)
	for _, p := range core {
		p.resume()
	}
	r.note("all machines are back")
	back := time.Now()
	for time.Since(back) < wipeReadTime {
		for _, host := range o.hosts {
			status, err = o.send(http.MethodGet, host, nil)
			if err == nil && status == http.StatusOK {
				r.note("version 7 comes %.1f s after the machines are back", time.Since(back).Seconds())
				return time.Since(back) < recoverTime, nil
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	r.note("the acknowledged configuration has not come for %.0f s", wipeReadTime.Seconds())
	return false, nil
}

// hold ends the process until resume.
func (p *process) hold() {
	p.mutex.Lock()
	p.held = true
	done := p.done
	p.mutex.Unlock()
	p.signal(syscall.SIGKILL)
	<-done
}

// resume lets the platform start the process again.
func (p *process) resume() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.held = false
}

func (p *process) isHeld() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.held
}
