package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of all machines; each machine has a loopback address of its own.
const (
	portFirst   = 27600
	portLast    = 27615
	portFront   = 27620
	portReady   = 27621
	portControl = 27622
	portApp     = 27623
)

const zone = "rajkot"

// deployment is a small deployment: front machines that run entry and ctrl, and side
// machines that run agent beside a model worker.
type deployment struct {
	network   string
	folder    string
	program   string
	record    *record
	guard     net.Listener
	fronts    []string
	seeds     []string
	processes map[string]*process
	workers   []*worker
	contracts []string
	mutex     sync.Mutex
	next      int
	config    map[string]any
	version   int
}

// process is one of the project's programs on one machine.
type process struct {
	name, role, settings string
	command              *exec.Cmd
	ended                chan struct{}
}

// newDeployment claims a loopback network and starts ctrl and entry on three machines.
func newDeployment(r *record) (*deployment, error) {
	d := &deployment{record: r, processes: map[string]*process{}, program: "target/platform",
		contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota"}}
	for range 200 {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(190), rand.IntN(250))
		guard, err := net.Listen("tcp", fmt.Sprintf("%s.254:%d", network, portFirst))
		if err == nil {
			d.network, d.guard = network, guard
			break
		}
	}
	if d.guard == nil {
		return nil, fmt.Errorf("no free loopback network")
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d.folder = folder
	for i := range 3 {
		ip := fmt.Sprintf("%s.%d", d.network, i+1)
		d.fronts = append(d.fronts, ip)
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", ip, portControl))
	}
	return d, nil
}

// start starts a role on a machine. first is first_start of the settings.
func (d *deployment) start(ip, role string, first bool) error {
	name := role + "-" + ip
	settings := map[string]any{
		"node": "node-" + ip, "role": role, "ip": ip, "zone": zone, "region": "gujarat", "zones": map[string]string{zone: "gujarat"},
		"port_range": []int{portFirst, portLast}, "seeds": d.seeds, "first_start": first, "is_counted": role != "agent",
		"limits":    map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
		"discovery": "registration", "entry": "vip", "beat_interval_ms": 1200, "contracts": d.contracts,
		"tolerate": map[string]any{"machines": 1, "zones": 0, "regions": 0}, "config_mode": "highest",
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_closed": false,
			"revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 62, "quota_window_s": 8, "quota_over": 0.1,
			"quota_slack": 11000, "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": false, "lease_ms": 3000,
			"thaw_ms": 300, "ceiling_window_s": 5, "ceiling_over": 1.1, "version_ms": 5000,
		},
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	switch role {
	case "entry":
		settings["machine_class"], settings["serves"] = "front", []string{"front"}
		settings["listen"] = map[string]string{"front": at(portFront), "ready": at(portReady)}
	case "ctrl":
		settings["machine_class"], settings["serves"] = "front", []string{"control"}
		settings["listen"] = map[string]string{"control": at(portControl)}
		data := filepath.Join(d.folder, "data-"+ip)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		settings["data_dir"] = data
	case "agent":
		settings["machine_class"], settings["serves"] = "side", []string{}
		settings["listen"] = map[string]string{}
		settings["app"], settings["service"] = at(portApp), "models"
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(d.folder, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := &process{name: name, role: role, settings: file, ended: make(chan struct{})}
	p.command = exec.Command(d.program, role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LANG=C", "TANAGERSPINDLE_BOOT=" + file}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	d.mutex.Lock()
	d.processes[name] = p
	d.mutex.Unlock()
	return nil
}

// signal sends a signal to a process.
func (d *deployment) signal(ip, role string, s syscall.Signal) {
	d.mutex.Lock()
	p := d.processes[role+"-"+ip]
	d.mutex.Unlock()
	d.record.line("signal %v to %s", s, p.name)
	_ = p.command.Process.Signal(s)
}

// running reports whether a process still runs.
func (d *deployment) running(ip, role string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	select {
	case <-d.processes[role+"-"+ip].ended:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the folder. KEEP in the environment keeps it.
func (d *deployment) close() {
	for _, p := range d.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range d.processes {
		select {
		case <-p.ended:
		case <-time.After(2 * time.Second):
		}
	}
	for _, w := range d.workers {
		w.stop()
	}
	_ = d.guard.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
		return
	}
	fmt.Println("kept", d.folder)
}

// startAll starts the three core machines, the workers with their agents, and sends the
// first configuration.
func (d *deployment) startAll(engines, desks int) error {
	for _, ip := range d.fronts {
		if err := d.start(ip, "ctrl", true); err != nil {
			return err
		}
		if err := d.start(ip, "entry", true); err != nil {
			return err
		}
	}
	for i := range engines {
		ip := fmt.Sprintf("%s.%d", d.network, 20+i)
		w := newWorker(d, fmt.Sprintf("i-%08x", rand.Uint32()), "models", ip, "m")
		if err := w.start(); err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		if err := d.start(ip, "agent", true); err != nil {
			return err
		}
	}
	for i := range desks {
		ip := fmt.Sprintf("%s.%d", d.network, 60+i)
		w := newWorker(d, fmt.Sprintf("i-%08x", rand.Uint32()), "desk", ip, "")
		if err := w.start(); err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	d.config = defaultConfig()
	if !d.putUntil(d.config, 15*time.Second) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	return nil
}
