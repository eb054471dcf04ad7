package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { plays["limit"] = playLimit }

// lateBy is how late the model server carries out an order: within 2 to 12 s.
const lateBy = 9 * time.Second

// playLimit: a model server leaves orders to load an adapter unanswered, crashes and starts again
// under its id; the order arrives when its count of orders is what the order expects.
func playLimit(c *cluster, trouble bool) (bool, error) {
	const slots = 20
	if _, err := c.startControl(3); err != nil {
		return false, err
	}
	front, side := c.addMachine("front-1"), c.addMachine("side-1")
	if _, err := front.start("entry", nil); err != nil {
		return false, err
	}
	all := &runs{record: c.record}
	e, err := c.startEngine(side, "i-7f3a91c2", "writers", slots, all)
	if err != nil {
		return false, err
	}
	if _, err := side.start("agent", func(s map[string]any) { s["app"], s["service"] = side.address(portEndpoint), "writers" }); err != nil {
		return false, err
	}
	if err := c.configure(engineConfig(3, "writers", slots, 12)); err != nil {
		return false, err
	}
	if err := front.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var leaving atomic.Bool
	var left atomic.Int32
	e.late = func(o *order) time.Duration {
		if !leaving.Load() || o.Operation != "load" || o.Adapter == "" {
			return 0
		}
		left.Add(1)
		return lateBy
	}
	ask := func(adapter string) result { return c.askAdapter(front, adapter) }
	fill := func() error {
		for i := 1; i <= slots; i++ {
			name := fmt.Sprintf("a%d", i)
			for end := time.Now().Add(10 * time.Second); ask(name).status != http.StatusOK; time.Sleep(100 * time.Millisecond) {
				if time.Now().After(end) {
					return fmt.Errorf("%s is not served", name)
				}
			}
		}
		return nil
	}
	if err := fill(); err != nil {
		return false, err
	}
	if !trouble {
		ask("b1")
		time.Sleep(2 * time.Second)
		return len(e.overLimit) > 0, nil
	}
	leaving.Store(true)
	go ask("b1")
	for end := time.Now().Add(3 * time.Second); left.Load() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("no order to load was left unanswered")
		}
	}
	began := time.Now()
	time.Sleep(200 * time.Millisecond)
	e.crash("as planned")
	leaving.Store(false)
	time.Sleep(time.Second)
	if err := e.boot(false); err != nil {
		return false, err
	}
	if err := fill(); err != nil {
		return false, err
	}
	c.record.write("filled again %.1f s after the order", time.Since(began).Seconds())
	time.Sleep(time.Until(began.Add(lateBy + 3*time.Second)))
	return len(e.overLimit) > 0, nil
}

// askAdapter sends a request for an adapter and reads the whole stream.
func (c *cluster) askAdapter(front *machine, adapter string) result {
	q := &request{
		id: newID(), method: http.MethodPost, target: "/notes/2f", host: "notes.example", key: "i9n73hh2b9wu3fexd9dn", deadline: 8 * time.Second, body: "{}",
		header: [][2]string{{"X-Model", engineModel + "/" + adapter}, {"X-Token-Counts", "100,20"}, {"X-Prefix-Hash", "5c1e07a2:100"}},
	}
	c.record.write("client sends %s for %s", q.id, adapter)
	got, _ := q.send(front.address(portCallers), 0)
	c.record.write("client of %s gets %d, %d bytes, %v", q.id, got.status, len(got.body), got.err)
	return got
}
