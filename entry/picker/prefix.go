package picker

// maxBlocks bounds the prompt blocks that are remembered.
const maxBlocks = 1 << 14

// prefixes records the agent that was last sent each prompt block, in two
// generations: when the current one is full, it replaces the previous one.
type prefixes struct {
	current, previous map[uint64]string
}

// add records that the blocks were sent to the agent.
func (p *prefixes) add(blocks []uint64, agent string) {
	if len(blocks) == 0 {
		return
	}
	if p.current == nil || len(p.current) >= maxBlocks/2 {
		p.previous = p.current
		p.current = map[uint64]string{}
	}
	for _, block := range blocks {
		p.current[block] = agent
	}
}

// match returns the number of leading blocks that were last sent to the agent.
func (p *prefixes) match(blocks []uint64, agent string) int {
	for i := len(blocks) - 1; i >= 0; i-- {
		last, ok := p.current[blocks[i]]
		if !ok {
			last, ok = p.previous[blocks[i]]
		}
		if ok && last == agent {
			return i + 1
		}
	}
	return 0
}
