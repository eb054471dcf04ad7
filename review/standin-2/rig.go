package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a front machine on the sheets of the small sites.
	memoryMB = 284
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
)

// rig is one small deployment: machines on loopback addresses with the project's processes.
type rig struct {
	began   time.Time
	folder  string
	program string
	network int
	ports   ports
	record  *os.File
	// lost is the number of a machine that machine 4 has replaced, 0 if there is none.
	lost int

	mutex     sync.Mutex
	processes []*process
	closed    bool
	group     sync.WaitGroup
}

// ports are the ports of the day, the same on all machines.
type ports struct{ front, ready, control, app, first int }

// machine is one machine of the deployment.
type machine struct {
	name, zone, ip string
	disk           bool
}

// process is one role on one machine. The platform starts it again when it ends.
type process struct {
	rig     *rig
	role    string
	machine machine
	fields  map[string]any
	folder  string

	mutex sync.Mutex
	cmd   *exec.Cmd
	done  chan struct{}
	// lost is set when the machine is gone for good.
	lost bool
	// held is set while the machine has no power.
	held bool
	// ends counts the ends of the process that the platform did not order, over those for
	// memory beyond the limit.
	ends, memoryEnds int
	peakMB           int
}

func newRig(record string) (*rig, error) {
	program, err := filepath.Abs("target/platform")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the project is not built: %w", err)
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	r := &rig{began: time.Now(), folder: folder, program: program, record: file, network: 16 + rand.IntN(200)}
	base, err := freePorts(r.network)
	if err != nil {
		return nil, err
	}
	r.ports = ports{front: base, ready: base + 1, control: base + 2, app: base + 3, first: base + 8}
	return r, nil
}

// freePorts returns the first of 32 ports that nothing listens on.
func freePorts(network int) (int, error) {
	for range 50 {
		base := 20000 + rand.IntN(9000)
		free := true
		for port := base; port < base+32 && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, port))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// note writes a line to the record.
func (r *rig) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = io.WriteString(r.record, line)
}

// machine returns the machine with a number, from 1, in one of three zones.
func (r *rig) machine(number int, disk bool) machine {
	return machine{
		name: fmt.Sprintf("front-%d", number), zone: fmt.Sprintf("zone-%d", 1+(number-1)%3),
		ip: fmt.Sprintf("127.%d.%d.1", r.network, number), disk: disk,
	}
}

// seeds returns the control addresses of the first three machines.
func (r *rig) seeds() []string {
	var seeds []string
	for number := 1; number <= 4; number++ {
		if number == r.lost || number == 4 && r.lost == 0 {
			continue
		}
		seeds = append(seeds, fmt.Sprintf("%s:%d", r.machine(number, true).ip, r.ports.control))
	}
	return seeds
}

// settings returns the settings of a process, with the figures of a small site's sheet.
func (r *rig) settings(role string, m machine, memory int) map[string]any {
	listen := map[string]string{}
	serves := []string{}
	switch role {
	case "entry":
		listen["front"], listen["ready"] = fmt.Sprintf("%s:%d", m.ip, r.ports.front), fmt.Sprintf("%s:%d", m.ip, r.ports.ready)
		serves = append(serves, "front")
	case "ctrl":
		listen["control"] = fmt.Sprintf("%s:%d", m.ip, r.ports.control)
		serves = append(serves, "control")
	}
	fields := map[string]any{
		"node": m.name, "role": role, "machine_class": "front", "serves": serves, "ip": m.ip, "zone": m.zone, "region": "region-1",
		"zones": map[string]string{"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-1"}, "listen": listen,
		"port_range": []int{r.ports.first, r.ports.first + 15}, "seeds": r.seeds(), "first_start": true, "is_counted": m.disk,
		"limits":    map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": memory, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
		"discovery": "registration", "entry": "vip", "beat_interval_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_closed": false, "revoke_ms": 5000,
			"budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 62, "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 11000,
			"recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": false, "lease_ms": 3000, "thaw_ms": 300,
			"ceiling_window_s": 5, "ceiling_over": 1.1, "version_ms": 5000,
		},
		"config_mode": "highest",
	}
	return fields
}

// start starts a role on a machine with the command of the deploy file.
func (r *rig) start(role string, m machine, memory int) (*process, error) {
	return r.startWith(role, m, r.settings(role, m, memory))
}

// startLater starts a role on a machine that comes after the first start of the deployment.
func (r *rig) startLater(role string, m machine, memory int) (*process, error) {
	fields := r.settings(role, m, memory)
	fields["first_start"] = false
	return r.startWith(role, m, fields)
}

func (r *rig) startWith(role string, m machine, fields map[string]any) (*process, error) {
	p := &process{rig: r, role: role, machine: m, fields: fields, folder: filepath.Join(r.folder, m.name+"-"+role)}
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return nil, err
	}
	if m.disk && role == "ctrl" {
		p.fields["data_dir"] = filepath.Join(p.folder, "data")
		if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
			return nil, err
		}
	}
	if err := p.launch(); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	r.processes = append(r.processes, p)
	r.mutex.Unlock()
	r.group.Add(1)
	go p.keep()
	return p, nil
}

// write writes the settings file.
func (p *process) write() error {
	text, err := json.Marshal(p.fields)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.folder, "boot.json"), text, 0o600)
}

// renew writes the settings file with the present seeds, and tells the process with SIGHUP.
func (p *process) renew() error {
	p.fields["seeds"] = p.rig.seeds()
	if err := p.write(); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// launch starts the process once.
func (p *process) launch() error {
	if err := p.write(); err != nil {
		return err
	}
	file := filepath.Join(p.folder, "boot.json")
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.rig.program, p.role)
	cmd.Env = []string{"TANAGERSPINDLE_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + p.folder}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mutex.Lock()
	p.cmd, p.done = cmd, done
	p.mutex.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// keep starts the process again after each end, until the rig is closed. It kills a process that
// uses more memory than its machine allows, as the platform does.
func (p *process) keep() {
	defer p.rig.group.Done()
	limit := p.fields["limits"].(map[string]any)["memory_mb"].(int)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !p.rig.isClosed() {
		p.mutex.Lock()
		cmd, done := p.cmd, p.done
		p.mutex.Unlock()
		select {
		case <-ticker.C:
			used := residentMB(cmd.Process.Pid)
			p.mutex.Lock()
			p.peakMB = max(p.peakMB, used)
			p.mutex.Unlock()
			if used > limit {
				p.rig.note("%s on %s uses %d MB of %d: the platform kills it", p.role, p.machine.name, used, limit)
				p.mutex.Lock()
				p.memoryEnds++
				p.mutex.Unlock()
				_ = cmd.Process.Kill()
				<-done
			}
			continue
		case <-done:
		}
		if p.rig.isClosed() || p.isLost() {
			return
		}
		p.mutex.Lock()
		p.ends++
		p.mutex.Unlock()
		p.rig.note("%s on %s has ended: %s", p.role, p.machine.name, cmd.ProcessState)
		time.Sleep(restartDelay)
		for p.isHeld() && !p.rig.isClosed() {
			time.Sleep(20 * time.Millisecond)
		}
		p.mutex.Lock()
		p.fields["first_start"] = false
		p.mutex.Unlock()
		if err := p.launch(); err != nil {
			p.rig.note("%s on %s cannot start: %s", p.role, p.machine.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// lose ends the process for good, as the loss of its machine does.
func (p *process) lose() {
	p.mutex.Lock()
	p.lost = true
	p.mutex.Unlock()
	p.signal(syscall.SIGKILL)
}

func (p *process) isLost() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lost
}

func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (r *rig) isClosed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closed
}

// close ends all processes and removes the folder.
func (r *rig) close() {
	r.mutex.Lock()
	former := r.closed
	r.closed = true
	processes := r.processes
	r.mutex.Unlock()
	if former {
		return
	}
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	r.group.Wait()
	for _, p := range processes {
		// A process may have been started again meanwhile.
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		r.note("the folder is kept")
		fmt.Println(r.folder)
	}
	_ = r.record.Close()
}

// operator sends configurations and reads them back.
type operator struct {
	rig    *rig
	client *http.Client
	hosts  []string
}

func (r *rig) operator() *operator {
	return &operator{rig: r, hosts: r.seeds(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// put sends a configuration until it is acknowledged, as the page says: to another daemon after
// a failure, a 5xx or a second without a response, with increasing backoff.
func (o *operator) put(body []byte, wait time.Duration) (status int, err error) {
	end := time.Now().Add(wait)
	backoff := 50 * time.Millisecond
	for attempt := rand.IntN(len(o.hosts)); ; attempt++ {
		status, err = o.send(http.MethodPut, o.hosts[attempt%len(o.hosts)], body)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, nil
		}
		if time.Now().Add(backoff).After(end) {
			return status, fmt.Errorf("no acknowledgement, last status %d: %w", status, errors.Join(err, context.DeadlineExceeded))
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 800*time.Millisecond)
	}
}

func (o *operator) send(method, host string, body []byte) (int, error) {
	// More for large bodies.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second+time.Duration(len(body)/2048)*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+"/tanagerspindle/config", strings.NewReader(string(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// noteEvents notes the lines of a process's log that contain a text.
func (r *rig) noteEvents(p *process, text string) {
	log, err := os.ReadFile(filepath.Join(p.folder, "log"))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, text) {
			r.note("log of %s: %s", p.machine.name, strings.TrimSpace(line))
		}
	}
}

// leads reports whether a control process leads, by its own log.
func (r *rig) leads(p *process) bool {
	text, err := os.ReadFile(filepath.Join(p.folder, "log"))
	if err != nil {
		return false
	}
	leads := false
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "event=leadership ") {
			leads = strings.Contains(line, "leading=true")
		}
	}
	return leads
}
