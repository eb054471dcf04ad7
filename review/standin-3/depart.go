package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["depart"] = playDepart }

// leading reports whether a control process leads, as its log says.
func (p *process) leading() bool {
	text, _ := os.ReadFile(filepath.Join(p.machine.cluster.folder, "log-"+p.machine.name+"-"+p.role))
	lead := false
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "event=leadership") {
			lead = strings.Contains(line, "leading=true")
		}
	}
	return lead
}

// drainTime is how long a server serves on after it has said that it is draining: drain_ms and a
// little longer.
const drainTime = 2100 * time.Millisecond

// leave takes a server out as PROTOCOL.md says: it reports that it is draining, serves on, sends
// its DELETE, beginning at one of the daemons and moving on after a second without an answer, and
// exits. It starts again under its id.
func (s *plain) leave(first int) error {
	c := s.cluster
	close(s.stop)
	if status, err := s.announce("draining"); err != nil || status >= 300 {
		return fmt.Errorf("draining of %s is not acknowledged: %d %v", s.id, status, err)
	}
	c.record.write("server %s, born %d, is draining", s.id, s.born)
	time.Sleep(drainTime)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range c.control {
		address := c.control[(first+i)%len(c.control)]
		request, err := http.NewRequest(http.MethodDelete, "http://"+address+"/tanagerspindle/instances/"+s.id, nil)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			c.record.write("DELETE of %s at %s: no answer within a second", s.id, address)
			continue
		}
		_ = response.Body.Close()
		c.record.write("DELETE of %s at %s: %d", s.id, address, response.StatusCode)
		if response.StatusCode < 300 {
			break
		}
	}
	_ = s.server.Close()
	c.record.write("server %s has ended", s.id)
	time.Sleep(200 * time.Millisecond)
	_, err := s.startAgain(s.id)
	return err
}

// playDepart: the two servers of a service are replaced one after the other, each under its id. A
// control machine stands still while they send their DELETE and wakes again. After that, all
// processes of the system are killed.
func playDepart(c *cluster, trouble bool) (bool, error) {
	const (
		clients     = 8
		frozen      = 2700 * time.Millisecond
		gap         = 990 * time.Millisecond
		down        = 900 * time.Millisecond
		recoverTime = 12 * time.Second
		judged      = 6 * time.Second
	)
	processes, err := c.startControl(3)
	if err != nil {
		return false, err
	}
	controls := processes
	front := c.addMachine("front-1")
	p, err := front.start("entry", nil)
	if err != nil {
		return false, err
	}
	processes = append(append([]*process{}, processes...), p)
	all := &runs{record: c.record, quiet: true}
	var desks []*plain
	for i := range 2 {
		s, err := c.startPlain(fmt.Sprintf("i-desk-%d", i+1), "desk", 20*time.Millisecond, all)
		if err != nil {
			return false, err
		}
		desks = append(desks, s)
	}
	if err := c.configure(plainConfig(3, "desk", []map[string]any{{
		"name": "lookup", "host": "desk.example", "path_prefix": "/lookup/", "route_type": "safe", "timeout_ms": 800, "target_latency_ms": 150,
		"priority": 2, "service": "desk", "max_attempts": 2, "public": false,
	}}, []map[string]any{{
		"name": "t1", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 400000, "burst": 400000,
	}})); err != nil {
		return false, err
	}
	for _, s := range desks {
		if err := s.awaitBeat(10 * time.Second); err != nil {
			return false, err
		}
	}
	if err := front.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	type answer struct {
		sent   time.Time
		served bool
	}
	var mutex sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
				}
				q := &request{id: newID(), method: http.MethodGet, target: "/lookup/" + newID(), host: "desk.example", key: "i9n73hh2b9wu3fexd9dn", deadline: 1500 * time.Millisecond}
				a := answer{sent: time.Now()}
				got, _ := q.send(front.address(portCallers), 0)
				a.served = got.err == nil && got.status == http.StatusOK && got.seal != ""
				mutex.Lock()
				answers = append(answers, a)
				mutex.Unlock()
			}
		}()
	}
	began := time.Now()
	time.Sleep(8 * time.Second)
	still := 0
	for still < len(controls) && controls[still].leading() {
		still++
	}
	left := make(chan error, len(desks))
	for i, s := range desks {
		go func() {
			time.Sleep(time.Duration(i) * gap)
			left <- s.leave(still)
		}()
	}
	thawed := make(chan struct{})
	if trouble {
		// The first DELETE follows at once.
		time.Sleep(drainTime - 100*time.Millisecond)
		controls[still].signal(syscall.SIGSTOP)
		time.AfterFunc(frozen, func() { controls[still].signal(syscall.SIGCONT); close(thawed) })
	} else {
		close(thawed)
	}
	for range desks {
		if err := <-left; err != nil {
			return false, err
		}
	}
	<-thawed
	time.Sleep(2 * time.Second)
	fault := time.Now()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.ended
	}
	time.Sleep(down)
	for _, p := range processes {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recoverTime + judged)
	close(stop)
	group.Wait()
	share := func(name string, from, to time.Time) float64 {
		served, sent := 0, 0
		for _, a := range answers {
			if a.sent.Before(from) || !a.sent.Before(to) {
				continue
			}
			sent++
			if a.served {
				served++
			}
		}
		c.record.write("%s (%.1f to %.1f s): %d requests, %d served", name, c.record.since(from), c.record.since(to), sent, served)
		return float64(served) / float64(max(sent, 1))
	}
	former := share("before the final fault", began, fault)
	share("of these, in the last second", fault.Add(-time.Second), fault)
	later := share("later than recover_s after the machines are back", back.Add(recoverTime), back.Add(recoverTime+judged))
	return former >= 0.25 && later < 0.25, nil
}
