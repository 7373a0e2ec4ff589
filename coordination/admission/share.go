package admission

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// usageTimeConstant is the time constant of the decay of usage. Shares hold over tens of seconds, so that a short burst
	// of a caller that was idle is served.
	usageTimeConstant = 10 * time.Second
	// aboveShareFactor times the mean usage per weight is the limit above which a caller counts as above its share. The
	// usage of equal callers varies by about a third, since usageTimeConstant covers about ten requests of each.
	aboveShareFactor = 1.5
	// maxReportedCallers and maxReportedModels bound a usage report (section 5.7).
	maxReportedCallers = 64
	maxReportedModels  = 64
	// negligibleUnits is below the work of any request; smaller amounts are not reported.
	negligibleUnits = 0.5
)

// CallerUsage is the work charged to a caller since the previous report. Units can be negative after corrections.
type CallerUsage struct {
	Caller string  `json:"caller"`
	Weight float64 `json:"weight"`
	Units  float64 `json:"units"`
}

// ModelUsage is an instance's requests of one model at the time of the report.
type ModelUsage struct {
	Model        string `json:"model"`
	InFlight     int    `json:"in_flight"`
	LongInFlight int    `json:"long_in_flight"`
	Queued       int    `json:"queued"`
	// BestEffortInFlight and BestEffortQueued are the parts that count as ModelDemand.BestEffort.
	BestEffortInFlight int `json:"rest_in_flight"`
	BestEffortQueued   int `json:"rest_queued"`
}

// Usage is the report that an instance sends to its peers every 500 ms. It lists the 64 callers with the most unreported
// work; the work of others accumulates until a later report.
type Usage struct {
	Instance    string        `json:"instance"`
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Callers     []CallerUsage `json:"callers,omitempty"`
	Models      []ModelUsage  `json:"models,omitempty"`
}

// account is the usage of one caller: its exponentially decaying work on all instances, and the work of this instance
// that has not been reported to the peers.
type account struct {
	weight     float64
	units      float64
	decayedTo  time.Time
	unreported float64
	hasUnits   bool
}

func decay(units float64, elapsed time.Duration) float64 {
	return units * math.Exp(-elapsed.Seconds()/usageTimeConstant.Seconds())
}

func (a *account) add(now time.Time, units float64) {
	if a.hasUnits && now.After(a.decayedTo) {
		a.units = decay(a.units, now.Sub(a.decayedTo))
	}
	if !a.hasUnits || now.After(a.decayedTo) {
		a.decayedTo, a.hasUnits = now, true
	}
	a.units = max(0, a.units+units)
}

// ledger keeps the accounts of the most recently used callers.
type ledger struct {
	accounts *shard.Map[string, account]
	epoch    time.Time

	mu sync.Mutex
	// meanPerWeight is the mean usage per weight of the active callers at meanAt.
	meanPerWeight float64
	meanAt        time.Time
}

func newLedger(capacity int, epoch time.Time) *ledger {
	return &ledger{
		accounts: shard.New(shard.DefaultShards, capacity, shard.StringHash, func(string) *account {
			return &account{weight: 1}
		}),
		epoch: epoch,
	}
}

// charge adds work of this instance to the account of a caller.
func (l *ledger) charge(now time.Time, caller string, weight, units float64) {
	l.accounts.Update(caller, func(a *account) {
		a.weight = weight
		a.add(now, units)
		a.unreported += units
	})
}

// orderKey is the key that orders callers, lowest first: the logarithm of usage per weight plus the elapsed time in units
// of usageTimeConstant. It stays constant while the usage decays, so keys taken at different times can be compared.
func (l *ledger) orderKey(caller string, weight float64) float64 {
	key := math.Inf(-1)
	l.accounts.View(caller, func(a *account) {
		if a.units > 0 {
			key = math.Log(a.units/weight) + a.decayedTo.Sub(l.epoch).Seconds()/usageTimeConstant.Seconds()
		}
	})
	return key
}

// usagePerWeight returns a function that converts an order key to the usage per weight at now.
func (l *ledger) usagePerWeight(now time.Time) func(orderKey float64) float64 {
	shift := now.Sub(l.epoch).Seconds() / usageTimeConstant.Seconds()
	return func(orderKey float64) float64 { return math.Exp(orderKey - shift) }
}

// aboveShare reports whether the caller's usage per weight is above aboveShareFactor times the mean of active callers.
func (l *ledger) aboveShare(now time.Time, caller string, weight float64) (above bool) {
	l.mu.Lock()
	mean := decay(l.meanPerWeight, now.Sub(l.meanAt))
	l.mu.Unlock()
	if mean <= 0 {
		return false
	}
	l.accounts.View(caller, func(a *account) {
		above = decay(a.units, now.Sub(a.decayedTo))/weight > aboveShareFactor*mean
	})
	return above
}

// refreshMean recomputes the mean usage per weight. It takes time linear in the number of accounts and runs once per
// report.
func (l *ledger) refreshMean(now time.Time) {
	units, weight := 0.0, 0.0
	l.accounts.Range(func(_ string, a *account) bool {
		if u := decay(a.units, now.Sub(a.decayedTo)); u >= negligibleUnits {
			units += u
			weight += a.weight
		}
		return true
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meanPerWeight, l.meanAt = 0, now
	if weight > 0 {
		l.meanPerWeight = units / weight
	}
}

// takeUnreported returns the largest amounts that have not been reported, and marks them as reported.
func (l *ledger) takeUnreported() []CallerUsage {
	var list []CallerUsage
	l.accounts.Range(func(caller string, a *account) bool {
		if math.Abs(a.unreported) >= negligibleUnits {
			list = append(list, CallerUsage{Caller: caller, Weight: a.weight, Units: a.unreported})
		}
		return true
	})
	sort.Slice(list, func(i, j int) bool {
		if a, b := math.Abs(list[i].Units), math.Abs(list[j].Units); a != b {
			return a > b
		}
		return list[i].Caller < list[j].Caller
	})
	list = list[:min(len(list), maxReportedCallers)]
	for _, c := range list {
		l.accounts.View(c.Caller, func(a *account) { a.unreported -= c.Units })
	}
	return list
}

// merge adds the work that another instance reported.
func (l *ledger) merge(now time.Time, callers []CallerUsage) {
	for _, c := range callers {
		l.accounts.Update(c.Caller, func(a *account) {
			if c.Weight > 0 {
				a.weight = c.Weight
			}
			a.add(now, c.Units)
		})
	}
}
