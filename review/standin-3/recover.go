package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["recover"] = playRecover }

// playRecover: clients ask for the same few register entries again and again. One server of four
// crashes and starts again; after that, all processes of the system are killed and are back within
// a second.
func playRecover(c *cluster, trouble bool) (bool, error) {
	const (
		servers = 4
		entries = 2
		clients = 80
		before  = 8 * time.Second
		crashed = 2 * time.Second
		down    = 900 * time.Millisecond
		// recoverTime is recover_s.
		recoverTime = 12 * time.Second
		judged      = 8 * time.Second
	)
	processes, err := c.startControl(3)
	if err != nil {
		return false, err
	}
	fronts := []*machine{c.addMachine("front-1"), c.addMachine("front-2")}
	for _, m := range fronts {
		p, err := m.start("entry", nil)
		if err != nil {
			return false, err
		}
		processes = append(processes, p)
	}
	all := &runs{record: c.record, quiet: true}
	var desks []*plain
	for i := range servers {
		s, err := c.startPlain(fmt.Sprintf("i-desk-%d", i+1), "desk", 60*time.Millisecond, all)
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
	for _, m := range fronts {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(3500 * time.Millisecond)

	type answer struct {
		sent   time.Time
		served bool
		what   string
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
				case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
				}
				q := &request{id: newID(), method: http.MethodGet, target: fmt.Sprintf("/lookup/entry-%d", rand.IntN(entries)), host: "desk.example", key: "i9n73hh2b9wu3fexd9dn", deadline: 1500 * time.Millisecond}
				a := answer{sent: time.Now()}
				got, _ := q.send(fronts[rand.IntN(len(fronts))].address(portCallers), 0)
				a.served = got.err == nil && got.status == http.StatusOK && got.seal != ""
				switch {
				case got.err != nil:
					a.what = "no answer"
				case strings.Contains(got.body, `"code":"`):
					_, code, _ := strings.Cut(got.body, `"code":"`)
					code, _, _ = strings.Cut(code, `"`)
					a.what = fmt.Sprint(got.status, " ", code)
				default:
					a.what = fmt.Sprint(got.status)
				}
				mutex.Lock()
				answers = append(answers, a)
				mutex.Unlock()
			}
		}()
	}
	began := time.Now()
	time.Sleep(before)
	if trouble {
		desks[0].crash()
		time.Sleep(crashed)
		if err := desks[0].startAgain("i-desk-1b"); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	fault := time.Now()
	if trouble {
		for _, p := range processes {
			p.signal(9)
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
	}
	back := time.Now()
	time.Sleep(recoverTime + judged)
	close(stop)
	group.Wait()
	share := func(name string, from, to time.Time) float64 {
		served, sent, kinds := 0, 0, map[string]int{}
		for _, a := range answers {
			if a.sent.Before(from) || !a.sent.Before(to) {
				continue
			}
			sent++
			kinds[a.what]++
			if a.served {
				served++
			}
		}
		c.record.write("%s (%.1f to %.1f s): %d requests, %d served; %v", name, c.record.since(from), c.record.since(to), sent, served, kinds)
		return float64(served) / float64(max(sent, 1))
	}
	former := share("before the final fault", began, fault)
	if trouble {
		share("of these, after the server's crash", began.Add(before), fault)
	}
	later := share("later than recover_s after the machines are back", back.Add(recoverTime), back.Add(recoverTime+judged))
	return former >= 0.25 && later < 0.25, nil
}
