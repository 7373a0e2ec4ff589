package quota

import (
	"slices"
	"strings"
	"time"
)

// Report returns what the leader has to know. It gives unused grants back beyond what the gateway wants to hold.
func (l *Limiter) Report(now time.Time) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.reportAt = now
	r := &Report{Incarnation: l.incarnation, Sequence: l.sequence, Epoch: l.epoch, Joins: l.joins, Gateways: l.gateways, Answered: l.answered}
	for name, u := range l.accounts {
		if use, ok := l.use(now, name, u); ok {
			r.Uses = append(r.Uses, use)
		}
	}
	slices.SortFunc(r.Uses, func(a, b Use) int { return strings.Compare(a.Account, b.Account) })
	return r
}

// use returns what a report states of an account; ok is false if that is nothing new.
func (l *Limiter) use(now time.Time, name string, u *usage) (use Use, ok bool) {
	want, own := u.want(now), u.own.Sum(now)
	if own <= 0 && u.demand.Sum(now) <= 0 {
		want, own = 0, 0
	}
	u.taken = max(u.taken, u.granted-want-u.asked)
	u.reported = totals{u.spent, u.taken, want}
	if u.reported == u.known && len(u.back) == 0 && !l.joins && (want == 0 || now.Sub(u.statedAt) < refreshInterval) {
		return use, false
	}
	u.statedAt = now
	use = Use{Account: name, Spent: u.spent, Taken: u.taken, Own: own, Want: want, Cost: u.cost, Back: u.back}
	u.back = nil
	decided := u.decided
	use.Decided = &decided
	if l.joins {
		use.Past, use.Share = u.own.ByAge(now), u.share
		if !u.level.at.IsZero() {
			use.Stated, use.AgeMs = u.level.byAge, now.Sub(u.level.at).Milliseconds()
		}
	}
	return use, true
}

// refreshInterval is the time after which a report states an account again although no request changed it: its use decreases.
const refreshInterval = time.Second

// Apply records the answer to the latest report. A nil answer comes from a leader that may not give out grants.
func (l *Limiter) Apply(levels *Levels) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if levels == nil {
		return
	}
	if levels.Epoch != l.epoch || levels.Rejoin {
		l.join(levels.Epoch)
		return
	}
	l.joins = false
	if !levels.Ready {
		return
	}
	l.ready, l.gateways, l.sentAt, l.answered = true, levels.Gateways, l.reportAt, l.sequence
	for _, u := range l.accounts {
		u.known = u.reported
	}
	for i := range levels.Levels {
		l.applyLevel(&levels.Levels[i])
	}
}

func (l *Limiter) applyLevel(level *Level) {
	u := l.usage(level.Account)
	u.granted = max(u.granted, level.Granted)
	u.level = stated{byAge: level.ByAge, at: l.reportAt}
	u.share = level.Share
	if level.Close {
		u.taken = max(u.taken, u.granted-u.asked)
	}
}

// join prepares a report to a ledger that knows nothing of this gateway. Grants of another ledger are void.
func (l *Limiter) join(epoch uint64) {
	l.epoch, l.joins, l.ready, l.answered = epoch, true, false, 0
	for _, u := range l.accounts {
		u.granted, u.taken, u.known, u.deniedUntil = 0, 0, totals{}, time.Time{}
	}
}
