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
	// uses is what each gateway wants and was allowed.
	uses map[string]*use
	// usedShare is the share of the granted requests that gateways send, as a moving average.
	usedShare float64
}

// use is the part of one gateway as of its last report.
type use struct {
	at                       time.Time
	wanted, running, allowed int
	responses                int // since the last report
	// turnAt is when the gateway last got a single request, while there were more gateways with requests than the window has.
	turnAt time.Time
}

func newPhase(now time.Time, key roster.Key, full int) *phase {
	return &phase{key: key, window: newWindow(full), round: now.UnixNano(), ownRound: now.UnixNano(), beganAt: now, uses: make(map[string]*use), usedShare: initialUsedShare}
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
	p.window.near = p.window.near || near > 0
	p.window.add(inTime)
}

// want records how many requests a gateway could have sent since its last report, and the responses that it got.
func (p *phase) want(now time.Time, gateway string, n, responses int) {
	u := p.uses[gateway]
	if u == nil {
		u = &use{}
		p.uses[gateway] = u
	}
	u.at, u.wanted, u.responses = now, n, responses
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

// allow returns how many requests a gateway may have at the target until its next report. running are those of all gateways.
func (p *phase) allow(now time.Time, gateway string, own, running int, grant bool, ttl time.Duration) int {
	u := p.uses[gateway]
	if u == nil {
		return own
	}
	unused, wanted, waitsLonger := 0, 0, false
	for name, other := range p.uses {
		switch {
		case name == gateway:
		case now.Sub(other.at) > ttl:
			delete(p.uses, name)
		default:
			unused += max(other.allowed-other.running, 0)
			wanted += other.wanted
			waitsLonger = waitsLonger || other.wanted > 0 && other.allowed <= other.running && other.turnAt.Before(u.turnAt)
		}
	}
	p.learnUse(u, own)
	u.running, u.allowed = own, own
	free := p.window.size - running - int(float64(unused)*p.usedShare)
	if !grant || free <= 0 || u.wanted == 0 {
		return u.allowed
	}
	part := free * u.wanted / (u.wanted + wanted)
	if part == 0 {
		if waitsLonger {
			return u.allowed
		}
		u.turnAt = now
	}
	u.allowed += min(max(part, 1), u.wanted)
	return u.allowed
}
