package pace

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// settleTime is the time after its first report in which a new leader continues phases of its predecessor and gives no new
// parts. Gateways have reported once by then, unless there are hundreds.
const settleTime = 500 * time.Millisecond

// phase is the start phase of a target at the leader.
type phase struct {
	key    roster.Key
	window window
	round  int64
	// ownRound is the first round of this leader, and continued the latest one of an earlier leader.
	ownRound, continued int64
	beganAt             time.Time
	// answeredAt is the time of the first report with a response.
	answeredAt  time.Time
	inTime, bad int
	uses        uses
	// usedShare is the share of the granted requests that gateways send, as a moving average.
	usedShare float64
}

func newPhase(now time.Time, key roster.Key, full int) *phase {
	return &phase{key: key, window: newWindow(full), round: now.UnixNano(), ownRound: now.UnixNano(), beganAt: now, uses: newUses(), usedShare: initialUsedShare}
}

// continueFrom takes over the window that an earlier leader named last: the largest one of the latest round that gateways know.
func (p *phase) continueFrom(o *Observation) {
	if o.Window == 0 || o.Round == p.ownRound || o.Round < p.continued || o.Round == p.continued && o.Window <= p.window.size {
		return
	}
	p.round, p.continued = o.Round, o.Round
	p.window.size = min(max(o.Window, minWindow), p.window.full)
	p.window.inTime = 0
}

func (p *phase) answered() bool { return !p.answeredAt.IsZero() }

// observe counts the responses of a report of the current round.
func (p *phase) observe(now time.Time, inTime, near, bad int) {
	if p.answeredAt.IsZero() && inTime+bad > 0 {
		p.answeredAt = now
	}
	p.inTime += inTime
	p.bad += bad
	if bad > 0 {
		p.window.halve()
		p.round = max(now.UnixNano(), p.round+1)
		return
	}
	if near > 0 {
		p.window.slow()
	}
	p.window.add(inTime)
}

const (
	// initialUsedShare is usedShare before it is known. Most gateways have no request for one target within a report interval.
	initialUsedShare = 0.3
	// useWeight is the weight of one report in usedShare, and minUsedShare its least value: it bounds the requests that a burst at
	// all gateways brings to a target at ten times its window.
	useWeight    = 0.1
	minUsedShare = 0.1
)

// learnUse updates usedShare by what a gateway made of its last part. With hundreds of gateways, few of those that get a part have
// a request for it before their next report; counted as used, such parts would leave the target idle.
func (p *phase) learnUse(u *use, own int) {
	granted := u.allowed - u.running
	if granted <= 0 {
		return
	}
	used := float64(min(max(own-u.running+u.responses, 0), granted)) / float64(granted)
	p.usedShare = max(p.usedShare+useWeight*(used-p.usedShare), minUsedShare)
}

// allow returns how many requests a gateway may have at the target until its next report. own are those that it has there, and running
// those of all gateways.
func (p *phase) allow(gateway string, own, running int, grant bool) int {
	u := p.uses.byGateway[gateway]
	if u == nil {
		return own
	}
	p.learnUse(u, own)
	p.uses.remove(u)
	defer p.uses.add(u)
	u.running, u.allowed = own, own
	free := p.window.size - running - int(float64(p.uses.unused)*p.usedShare)
	if !grant || free <= 0 || u.wanted == 0 {
		return u.allowed
	}
	part := free * u.wanted / (u.wanted + p.uses.wanted)
	if part == 0 && !p.uses.takeTurn(u) {
		return u.allowed
	}
	u.allowed += min(max(part, 1), u.wanted)
	return u.allowed
}
