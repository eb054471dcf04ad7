package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { plays["pair"] = playPair }

// playPair: two requests of one caller, which it sends together, each crash the server that runs
// them. They come again together.
func playPair(c *cluster, trouble bool) (bool, error) {
	const (
		servers = 4
		clients = 16
		again   = 1500 * time.Millisecond
		length  = 45 * time.Second
		// contactWindow is contact_window_ms, allowed the late arrivals that the rule allows.
		contactWindow = 3 * time.Second
		allowed       = 3
	)
	if _, err := c.startControl(3); err != nil {
		return false, err
	}
	fronts := []*machine{c.addMachine("front-1"), c.addMachine("front-2")}
	for _, m := range fronts {
		if _, err := m.start("entry", nil); err != nil {
			return false, err
		}
	}
	all := &runs{record: c.record, quiet: true}
	var engines []*engine
	for i := range servers {
		m := c.addMachine(fmt.Sprintf("side-%d", i+1))
		e, err := c.startEngine(m, fmt.Sprintf("i-writer-%d", i+1), "writers", 20, all)
		if err != nil {
			return false, err
		}
		e.events, e.downTime = 30, 2*time.Second
		if trouble {
			e.crashes = func(body string) bool { return strings.HasPrefix(body, "crash") }
		}
		if _, err := m.start("agent", func(s map[string]any) { s["app"], s["service"] = m.address(portEndpoint), "writers" }); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := c.configure(engineConfig(3, "writers", 20, 12)); err != nil {
		return false, err
	}
	for _, m := range fronts {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	served, sent := 0, 0
	for range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+rand.IntN(200)) * time.Millisecond):
				}
				q := noteRequest(fmt.Sprintf("a%d", 1+rand.IntN(15)), "sound "+newID())
				got, _ := q.send(fronts[rand.IntN(len(fronts))].address(portCallers), 0)
				mutex.Lock()
				sent++
				if got.err == nil && got.status == http.StatusOK {
					served++
				}
				mutex.Unlock()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	bodies := []string{"crash one", "crash two"}
	for end := time.Now().Add(length); time.Now().Before(end); {
		next := time.Now().Add(again)
		var pair sync.WaitGroup
		for _, body := range bodies {
			pair.Add(1)
			go func() {
				defer pair.Done()
				q := noteRequest("b1", body)
				q.target = "/history/7"
				got, _ := q.send(fronts[rand.IntN(len(fronts))].address(portCallers), 0)
				c.record.write("client sends %s (%s), gets %d, %d bytes, %v", q.id, body, got.status, len(got.body), got.err)
			}()
		}
		pair.Wait()
		time.Sleep(time.Until(next))
	}
	close(stop)
	group.Wait()
	var crashes []cause
	for _, e := range engines {
		e.mutex.Lock()
		crashes = append(crashes, e.causes...)
		e.mutex.Unlock()
	}
	slices.SortFunc(crashes, func(a, b cause) int { return a.at.Compare(b.at) })
	broken := false
	for _, body := range bodies {
		var own []time.Time
		for _, crash := range crashes {
			if crash.body == body {
				own = append(own, crash.at)
			}
		}
		arrivals, late := 0, 0
		for _, x := range all.all() {
			if x.body != body {
				continue
			}
			arrivals++
			if len(own) >= 3 && x.at.After(own[2].Add(contactWindow)) {
				late++
			}
		}
		c.record.write("%q reached servers %d times and crashed %d; %d times later than contact_window_ms after its third crash", body, arrivals, len(own), late)
		broken = broken || late > allowed
	}
	c.record.write("%d crashes of servers; %d of %d sound requests served", len(crashes), served, sent)
	return broken, nil
}

// noteRequest is a streaming request for an adapter.
func noteRequest(adapter, body string) *request {
	return &request{
		id: newID(), method: http.MethodPost, target: "/notes/2f", host: "notes.example", key: "i9n73hh2b9wu3fexd9dn", deadline: 8 * time.Second, body: body,
		header: [][2]string{{"X-Model", engineModel + "/" + adapter}, {"X-Token-Counts", "100,90"}, {"X-Prefix-Hash", "5c1e07a2:60,91bd3f06:40"}},
	}
}
