package picker

// mostPrefixes bounds the prompt blocks remembered.
const mostPrefixes = 1 << 14

// prefixes remembers which agent was last sent a prompt block, in two
// generations: when the younger one is full, the older one is forgotten.
type prefixes struct {
	young, old map[uint64]string
}

func (p *prefixes) note(blocks []uint64, agent string) {
	if len(blocks) == 0 {
		return
	}
	if p.young == nil || len(p.young) >= mostPrefixes/2 {
		p.old = p.young
		p.young = map[uint64]string{}
	}
	for _, block := range blocks {
		p.young[block] = agent
	}
}

// match returns how many leading blocks were last sent to the agent.
func (p *prefixes) match(blocks []uint64, agent string) int {
	for i := len(blocks) - 1; i >= 0; i-- {
		last, ok := p.young[blocks[i]]
		if !ok {
			last, ok = p.old[blocks[i]]
		}
		if ok && last == agent {
			return i + 1
		}
	}
	return 0
}
