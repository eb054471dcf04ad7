package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine; machines differ by their loopback address.
const (
	portCallers  = 18221
	portReady    = 18224
	portControl  = 18229
	portEndpoint = 18228
	portFirst    = 17600
	portLast     = 17615
)

// bounds are the bounds of the small sites.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
	"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_closed": false, "revoke_ms": 5000,
	"budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 62, "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 11000,
	"recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": false, "lease_ms": 3000, "thaw_ms": 300,
	"ceiling_window_s": 5, "ceiling_over": 1.1, "version_ms": 5000,
}

// cluster is a deployment of the project's processes on loopback addresses.
type cluster struct {
	record  *record
	program string
	folder  string
	network string
	next    int
	// control are the addresses of the machines that serve control.
	control  []string
	machines []*machine

	mutex     sync.Mutex
	processes map[*process]struct{}
}

// machine is one address with its settings files.
type machine struct {
	name, ip string
	cluster  *cluster
}

// process is one role that runs on a machine.
type process struct {
	machine *machine
	role    string
	command *exec.Cmd
	ended   chan struct{}
	// settings are written again at each start, with first_start set to false after the first.
	settings map[string]any
}

func newCluster(r *record, program string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	return &cluster{record: r, program: program, folder: folder, network: network, next: 10, processes: map[*process]struct{}{}}, nil
}

// addMachine returns a machine with an address of its own.
func (c *cluster) addMachine(name string) *machine {
	c.next++
	m := &machine{name: name, ip: fmt.Sprintf("%s.%d", c.network, c.next), cluster: c}
	c.machines = append(c.machines, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings of a role, as the platform writes them.
func (m *machine) settings(role string) map[string]any {
	seeds := []string{}
	seeds = append(seeds, m.cluster.control...)
	s := map[string]any{
		"node": m.name, "role": role, "ip": m.ip, "zone": "rajkot", "region": "gujarat", "zones": map[string]string{"rajkot": "gujarat"},
		"port_range": []int{portFirst, portLast}, "seeds": seeds, "first_start": true, "is_counted": role == "ctrl",
		"limits":   map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
		"data_dir": nil, "discovery": "registration", "entry": "vip", "beat_interval_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": bounds, "config_mode": "highest",
	}
	switch role {
	case "entry":
		s["machine_class"], s["serves"] = "front", []string{"front"}
		s["listen"] = map[string]string{"front": m.address(portCallers), "ready": m.address(portReady)}
	case "ctrl":
		s["machine_class"], s["serves"] = "front", []string{"control"}
		s["listen"] = map[string]string{"control": m.address(portControl)}
		s["data_dir"] = filepath.Join(m.cluster.folder, "data-"+m.name)
	case "agent":
		s["machine_class"], s["serves"] = "side", []string{}
		s["listen"] = map[string]string{}
	}
	return s
}

// start starts a role on a machine. change may change the settings.
func (m *machine) start(role string, change func(settings map[string]any)) (*process, error) {
	p := &process{machine: m, role: role, settings: m.settings(role)}
	if change != nil {
		change(p.settings)
	}
	return p, p.start()
}

// start starts the process with its current settings.
func (p *process) start() error {
	c := p.machine.cluster
	boot := filepath.Join(c.folder, "boot-"+p.machine.name+"-"+p.role+".json")
	text, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(boot, text, 0o600); err != nil {
		return err
	}
	if folder, ok := p.settings["data_dir"].(string); ok {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(c.folder, "log-"+p.machine.name+"-"+p.role), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(c.program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "TANAGERSPINDLE_BOOT=" + boot}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	c.mutex.Lock()
	c.processes[p] = struct{}{}
	c.mutex.Unlock()
	p.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		err := command.Wait()
		c.record.write("process %s/%s ended: %v", p.machine.name, p.role, err)
		_ = log.Close()
		close(ended)
	}(p.command, p.ended)
	p.settings["first_start"] = false
	c.record.write("process %s/%s started, pid %d", p.machine.name, p.role, p.command.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.machine.cluster.record.write("process %s/%s gets %v", p.machine.name, p.role, s)
	_ = p.command.Process.Signal(s)
}

// stop ends the process as the platform does: SIGTERM, then SIGKILL after grace_s.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(8 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// close ends all processes and removes the folder, unless the logs are kept.
func (c *cluster) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for p := range c.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if kept := os.Getenv("REVIEW_KEEP"); kept != "" {
		c.record.write("the logs are kept")
		_ = os.Rename(c.folder, kept)
		return
	}
	_ = os.RemoveAll(c.folder)
}

// startControl starts a number of control machines with a disk.
func (c *cluster) startControl(count int) ([]*process, error) {
	var machines []*machine
	for i := range count {
		m := c.addMachine(fmt.Sprintf("core-%d", i+1))
		machines = append(machines, m)
		c.control = append(c.control, m.address(portControl))
	}
	var started []*process
	for _, m := range machines {
		p, err := m.start("ctrl", nil)
		if err != nil {
			return nil, err
		}
		started = append(started, p)
	}
	return started, nil
}

// call sends a call to control as the platform's callers do: to the next machine after a
// failure, a 5xx or a second without an answer.
func (c *cluster) call(method, path string, body any, patience time.Duration) (status int, answer []byte, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(patience)
	for at := 0; ; at++ {
		request, err := http.NewRequest(method, "http://"+c.control[at%len(c.control)]+path, bytes.NewReader(text))
		if err != nil {
			return 0, nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			answer, _ = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode < 500 {
				return response.StatusCode, answer, nil
			}
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		if time.Now().After(end) {
			return 0, nil, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// configure sends a configuration until it is acknowledged.
func (c *cluster) configure(config map[string]any) error {
	status, answer, err := c.call(http.MethodPut, "/tanagerspindle/config", config, 20*time.Second)
	c.record.write("configuration %v: status %d %s %v", config["version"], status, answer, err)
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("configuration refused: %d %s", status, answer)
	}
	return err
}

// awaitReady waits until the entry on a machine says that it is ready.
func (m *machine) awaitReady(patience time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.address(portReady) + "/tanagerspindle/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready: %v", m.name, err)
		}
	}
}

// dial connects to an address of the deployment.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
