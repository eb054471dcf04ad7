package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { plays["weights"] = playWeights }

// playWeights: more adapters are asked for than a server's memory for weights holds, though it has
// slots for them.
func playWeights(c *cluster, trouble bool) (bool, error) {
	const (
		slots     = 20
		adapterMB = 150.0
		fitting   = 10
	)
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
	e.adapterMB = adapterMB
	if _, err := side.start("agent", func(s map[string]any) { s["app"], s["service"] = side.address(portEndpoint), "writers" }); err != nil {
		return false, err
	}
	if err := c.configure(engineConfig(3, "writers", slots, adapterMB)); err != nil {
		return false, err
	}
	if err := front.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	asked := fitting
	if trouble {
		asked = slots
	}
	for i := 1; i <= asked; i++ {
		name := fmt.Sprintf("a%d", i)
		for end := time.Now().Add(10 * time.Second); c.askAdapter(front, name).status != http.StatusOK && len(e.overLimit) == 0; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return false, fmt.Errorf("%s is not served", name)
			}
		}
		if len(e.overLimit) > 0 {
			break
		}
	}
	return len(e.overLimit) > 0, nil
}
