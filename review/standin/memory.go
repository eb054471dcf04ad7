package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings, in KiB: the platform kills a process that uses more.
	memoryLimit = 284 << 10
	// bigRoutes is how many routes one step of growth adds, bigSteps the number of steps.
	bigRoutes = 448
	bigSteps  = 24
	// operators is the number of operators that send at once: those of two storms with a pause of 0.22 s each. Together
	// they send a change each growPause.
	operators    = 4
	growPause    = 110 * time.Millisecond
	stormLength  = 85 * time.Second
	restartDelay = 300 * time.Millisecond
	// manyEnds is how often a process may end by itself before it is a fault.
	manyEnds = 3
)

// grownConfig returns a configuration with more routes; change is different for each version.
func grownConfig(version, routes, change int) map[string]any {
	config := defaultConfig()
	config["version"] = version
	list := config["routes"].([]any)
	for i := range routes {
		list = append(list, map[string]any{"name": fmt.Sprintf("r-%07d", i), "host": host, "path_prefix": fmt.Sprintf("/more%06d/", i), "route_type": "safe",
			"timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false})
	}
	list[len(list)-1].(map[string]any)["timeout_ms"] = 1500 + change%100
	config["routes"] = list
	return config
}

// residentKB returns the resident memory of a process in KiB, 0 if it has ended.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// growingMemory has the configuration grow and then change in quick succession. The platform kills a process of
// control that uses more than its memory limit, and starts it again. Without the trouble, the configuration stays
// small and changes as often.
func growingMemory(r *record, trouble bool) int {
	d, err := newDeployment(r)
	if err != nil {
		return cannot
	}
	defer d.close()
	if err := d.startAll(0, 1); err != nil {
		r.line("%v", err)
		return cannot
	}
	version, routes, acked, running := 1, 1, 0, true
	var mutex sync.Mutex
	// put sends the next configuration until it is acknowledged.
	put := func() {
		mutex.Lock()
		version++
		if trouble && routes < bigRoutes*bigSteps {
			routes += bigRoutes
		}
		number := version
		body, _ := json.Marshal(grownConfig(version, routes, version))
		if number%20 == 0 {
			r.line("operator: sends version %d, %d routes, %d KB", number, routes, len(body)>>10)
		}
		mutex.Unlock()
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if status, _ := callFor(5*time.Second, http.MethodPut, d.control(), "/tanagerspindle/config", body); status == http.StatusOK {
				mutex.Lock()
				acked++
				mutex.Unlock()
				return
			}
		}
		r.line("operator: version %d was not acknowledged in 5 s", number)
	}
	ends, peaks := map[string]int{}, map[string]int{}
	restart := make(chan string, 100)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, ip := range d.fronts {
				d.mutex.Lock()
				p := d.processes["ctrl-"+ip]
				d.mutex.Unlock()
				kb := residentKB(p.command.Process.Pid)
				mutex.Lock()
				peaks[ip] = max(peaks[ip], kb)
				mutex.Unlock()
				if kb <= memoryLimit {
					continue
				}
				r.line("platform: ctrl on %s uses %d MB of %d: killed", ip, kb>>10, memoryLimit>>10)
				_ = p.command.Process.Signal(syscall.SIGKILL)
				<-p.ended
				mutex.Lock()
				ends[ip]++
				mutex.Unlock()
				restart <- ip
			}
		}
	}()
	restartEnded := func() {
		for {
			select {
			case ip := <-restart:
				time.Sleep(restartDelay)
				_ = d.start(ip, "ctrl", false)
			default:
				return
			}
		}
	}
	for range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				began := time.Now()
				mutex.Lock()
				going := running
				mutex.Unlock()
				if !going {
					return
				}
				put()
				time.Sleep(max(operators*growPause-time.Since(began), 0))
			}
		}()
	}
	for end := time.Now().Add(stormLength); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		restartEnded()
	}
	mutex.Lock()
	running = false
	mutex.Unlock()
	close(stop)
	wait.Wait()
	many := 0
	for _, ip := range d.fronts {
		if ends[ip] >= manyEnds {
			many++
		}
	}
	r.line("%d changes acknowledged; most memory %v KB; processes over the limit by machine: %v", acked, peaks, ends)
	switch {
	case acked < 50:
		return cannot
	case many*2 >= len(d.fronts):
		return broken
	}
	return held
}
