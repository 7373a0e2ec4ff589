package intake

import "time"

const (
	// seniorAfter is how long nothing is freed before one client gets more room than others that hold much.
	seniorAfter = 100 * time.Millisecond
	// forceAfter is how long this client waits before others are closed for it that are not stalled.
	forceAfter = 500 * time.Millisecond
	// makeRoomShare bounds the part of the pool for which room is made at a time.
	makeRoomShare = 8
)

// makeRoom closes stalled clients until there is room for those that wait, and reports whether it closed any.
func (p *Pool) makeRoom(now time.Time) (closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closeUntilLocked(now, min(p.wanted.Load(), p.budget/makeRoomShare), largeShare, false)
}

// closeUntilLocked closes clients until a share of the pool has room for wanted bytes. What closed clients held is free once their
// handlers return.
func (p *Pool) closeUntilLocked(now time.Time, wanted int64, share float64, force bool) (closed bool) {
	freed := int64(0)
	for c := range p.closing {
		freed += c.held.Load()
	}
	for float64(p.used.Load()+wanted-freed) > share*float64(p.budget) {
		victim := p.victimLocked(now, Memory, force)
		if victim == nil {
			return closed
		}
		freed += victim.held.Load()
		p.closeLocked(victim, limitMemory)
		closed = true
	}
	return closed
}

// serveSenior lets one of the clients that wait have more room. If others that make progress or wait hold that too, it closes them.
func (p *Pool) serveSenior(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claimLocked(now)
	senior := p.owner(Senior(p.claims))
	if senior == nil {
		return
	}
	p.senior.Store(senior)
	if since := senior.waitingSince.Load(); since != 0 && now.Sub(time.Unix(0, since)) > forceAfter {
		p.closeUntilLocked(now, senior.wanted.Load(), seniorShare, true)
	}
}
