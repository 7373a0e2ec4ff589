package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// minSettle is the least time after its start in which a ledger grants nothing: until the gateways have reported.
	minSettle = 500 * time.Millisecond
	// settleIntervals is the same in intervals of reports: two to join and one to spare.
	settleIntervals = 3
	// forgetPeriod is the time without a report after which a gateway is forgotten.
	forgetPeriod = 10 * time.Minute
	// checkInterval is the time between two searches for gateways that stopped reporting.
	checkInterval = 50 * time.Millisecond
)

// Ledger is held by the leader. It is safe for concurrent use.
type Ledger struct {
	opts  Options
	epoch uint64

	mu        sync.Mutex
	startedAt time.Time
	gateways  map[string]*member
	accounts  map[string]*account
	silent    []*member // they stopped reporting
	lost      int       // of those, the gateways that count no more for shares
	checkedAt time.Time
	// ackedAt is the time of the oldest level that is the newest one at a gateway in contact.
	ackedAt time.Time
	// busy are the levels of the accounts that all gateways are told, as of busyAt.
	busy   []Level
	busyAt time.Time
	// predecessors is the number of gateways that the last ledger knew.
	predecessors int
	// carried is the number of gateways that joined with what they used under an earlier ledger.
	carried int
}

// member is a gateway that joined.
type member struct {
	incarnation, sequence uint64
	reportedAt            time.Time
	ackedAt               time.Time // of the newest level that it is known to have, or of its join
	silent                bool
	uses                  map[string]*memberUse
}

// memberUse is what the ledger knows of one account at one gateway.
type memberUse struct {
	spent, granted, outstanding, own, share float64
	want, cost                              float64 // as last reported; want is 0 if the account is not in use there
	// byUse is the part of share that depends on use.
	byUse   float64
	decided Decided // as last reported
	// assumed is the part of the grants that counts as used since assumedAt, because the gateway stopped reporting.
	assumed   float64
	assumedAt time.Time
}

// account is the state of an account over all gateways.
type account struct {
	window      *Window
	outstanding float64 // granted and not reported as used or given back
	own         float64 // sum of the use that gateways report as their own
	byUse       float64 // sum of the parts of shares that depend on use
	inherited   stated  // by an earlier ledger
	// silentShare is the share of the gateways that stopped reporting, as of silentAt.
	silentShare float64
	silentAt    time.Time
	joinedShare float64 // of the gateways that joined with a share of an earlier ledger
	joined      int
	largest     float64 // request for which a grant was requested
	denials     float64 // recent ones, as of deniedAt
	deniedAt    time.Time
	unacked     unackedGrants
	held        heldRequests
	// admitted and refused count the requests of the last window at the time of the report.
	admitted, refused *Window
}

// NewLedger returns the ledger of a leader. epoch is not 0 and differs between leaders.
func NewLedger(now time.Time, opts Options, epoch uint64) *Ledger {
	return &Ledger{opts: opts.withDefaults(), epoch: epoch, startedAt: now, gateways: make(map[string]*member), accounts: make(map[string]*account)}
}

// Epoch returns the epoch of the ledger.
func (l *Ledger) Epoch() uint64 { return l.epoch }

func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{window: NewWindow(l.opts.Window), admitted: NewWindow(l.opts.Window), refused: NewWindow(l.opts.Window)}
		l.accounts[name] = a
	}
	return a
}

func (m *member) use(name string) *memberUse {
	u := m.uses[name]
	if u == nil {
		u = &memberUse{}
		m.uses[name] = u
	}
	return u
}

func (l *Ledger) ready(now time.Time) bool {
	return now.Sub(l.startedAt) >= max(minSettle, settleIntervals*l.opts.Interval(len(l.gateways)))
}

// inheritedUnits is what an earlier ledger stated and no gateway that joined reported.
func (a *account) inheritedUnits(now time.Time, window time.Duration) float64 {
	if len(a.inherited.byAge) == 0 {
		return 0
	}
	left := a.inherited.remaining(now, window)
	if left == 0 {
		a.inherited = stated{}
		return 0
	}
	return max(left-a.window.SumBefore(now, a.inherited.at), 0)
}

// used is the use of the last window, with what gateways without this leader may use.
func (l *Ledger) used(now time.Time, name string, a *account, limit Limit) float64 {
	return a.window.Sum(now) + a.inheritedUnits(now, l.opts.Window) + l.unseen(now, a, limit) + l.withheld(now, name, a, limit)
}

// unseen is what gateways may have used that were lost together with an earlier ledger: since the last level that others know, or
// at all if that was too little for all gateways to be told.
func (l *Ledger) unseen(now time.Time, a *account, limit Limit) float64 {
	if l.carried >= l.predecessors || now.Sub(l.startedAt) > l.opts.Window {
		return 0
	}
	share := l.opts.unseenPart(limit, l.predecessors)
	if len(a.inherited.byAge) == 0 {
		share += busyShare
	}
	return share * l.opts.units(limit)
}

// withheld is what gateways that don't report may use.
func (l *Ledger) withheld(now time.Time, name string, a *account, limit Limit) float64 {
	if now.Sub(a.silentAt) >= checkInterval {
		a.silentShare, a.silentAt = l.shareOfSilent(now, name), now
	}
	share := a.silentShare + l.missingShare(now, a)
	if share == 0 {
		return 0
	}
	return l.opts.withheldUnits(limit, share, max(a.largest, 1))
}

// active is the number of gateways that shares are divided by.
func (l *Ledger) active() int { return max(len(l.gateways)-l.lost, 1) }

// equalPart is the share of a gateway that uses nothing.
func (l *Ledger) equalPart() float64 { return roundShare(equalShare / float64(l.active())) }

// shareOfSilent is the share of an account that gateways which stopped reporting may use, as far as it has accrued.
func (l *Ledger) shareOfSilent(now time.Time, name string) float64 {
	share := 0.0
	for _, m := range l.silent {
		age := now.Sub(m.reportedAt)
		part := l.equalPart()
		if u := m.uses[name]; u != nil && u.share > 0 {
			part = u.share
		}
		if age > withholdPeriod {
			part = 1.0 / unknownGateways
		}
		share += part * min(age.Seconds()/l.opts.Window.Seconds(), 1)
	}
	return share
}

// missingShare is the share of gateways that an earlier ledger knew and that have not joined this one.
func (l *Ledger) missingShare(now time.Time, a *account) float64 {
	if len(l.gateways) >= l.predecessors || now.Sub(l.startedAt) > withholdPeriod {
		return 0
	}
	others := float64(len(l.gateways)-a.joined) * equalShare / float64(l.predecessors)
	return max(1-a.joinedShare-others, 0)
}

// check finds the gateways that stopped reporting. What they hold counts as used from then on: it becomes void there.
func (l *Ledger) check(now time.Time) {
	if now.Sub(l.checkedAt) < checkInterval {
		return
	}
	l.checkedAt = now
	l.silent, l.lost = l.silent[:0], 0
	validity := l.opts.validity(len(l.gateways))
	for name, m := range l.gateways {
		age := now.Sub(m.reportedAt)
		switch {
		case age > forgetPeriod:
			l.forget(m)
			delete(l.gateways, name)
		case age > validity:
			l.silent = append(l.silent, m)
			if age > withholdPeriod {
				l.lost++
			}
			if !m.silent {
				m.silent = true
				l.assumeUsed(now, m)
			}
		}
	}
	l.updateAcked(now)
}

func (l *Ledger) assumeUsed(now time.Time, m *member) {
	for name, u := range m.uses {
		a := l.account(name)
		a.window.Add(now, u.outstanding)
		a.outstanding -= u.outstanding
		u.assumed, u.assumedAt, u.outstanding = u.outstanding, now, 0
	}
}

// forget removes what a gateway contributes to the sums.
func (l *Ledger) forget(m *member) {
	for name, u := range m.uses {
		a := l.account(name)
		a.outstanding -= u.outstanding
		a.own -= u.own
		a.byUse -= u.byUse
	}
}

// roundShare keeps a share short on the wire.
func roundShare(share float64) float64 { return math.Round(share*1e5) / 1e5 }
