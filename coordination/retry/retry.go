// Package retry limits retries by one budget per caller and one per target, and by the time left until the deadline.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/defaults"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// windowBuckets of bucketWidth make up the 10 s window of section 5.7.
	windowBuckets = 10
	bucketWidth   = time.Second

	defaultRatio   = 0.10
	defaultMinimum = 3
	// defaultCapacity covers the 860 targets of the growth plan and several thousand active callers.
	defaultCapacity = 8192
	// defaultMaxAttempts stops a request that fails everywhere; the third target would not help a broken request.
	defaultMaxAttempts = 3
	defaultBackoffBase = 20 * time.Millisecond
	defaultBackoffMax  = 2 * time.Second
)

// Cause is why an attempt did not succeed.
type Cause uint8

// Causes. Overload is an explicit refusal by a target that did not run the request; it says nothing about the
// target's health. Failure is a broken connection, a server error or an attempt that ran out of time.
const (
	Overload Cause = iota
	Failure
)

// Options sets the budgets. Zero values mean the defaults.
type Options struct {
	Ratio       float64 // retries per request
	Minimum     int     // retries in 10 s that are always allowed
	MaxAttempts int     // attempts of one request, including the first
	Capacity    int     // callers and targets remembered
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

func (o *Options) setDefaults() {
	defaults.Positive(&o.Ratio, defaultRatio)
	defaults.Positive(&o.Minimum, defaultMinimum)
	defaults.Positive(&o.MaxAttempts, defaultMaxAttempts)
	defaults.Positive(&o.Capacity, defaultCapacity)
	defaults.Positive(&o.BackoffBase, defaultBackoffBase)
	defaults.Positive(&o.BackoffMax, defaultBackoffMax)
}

// Attempt describes an attempt that did not succeed.
type Attempt struct {
	Caller string
	// Next is the target that the retry would use. It must differ from the target that just failed or refused.
	Next string
	// Number is how many attempts were made, at least 1.
	Number int
	Cause  Cause
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Needed is the expected duration of the retry.
	Needed time.Duration
	// RetryAfter is the delay that an overloaded target asked for, if any.
	RetryAfter time.Duration
}

// Denial says why a retry is not allowed.
type Denial string

// Denials. Allowed is the empty denial.
const (
	Allowed          Denial = ""
	AttemptsUsed     Denial = "attempts_used"
	DeadlineTooNear  Denial = "deadline_too_near"
	CallerOverBudget Denial = "caller_over_budget"
	TargetOverBudget Denial = "target_over_budget"
)

// Decision is the answer to Allow.
type Decision struct {
	Denial Denial
	// Delay is how long to wait before the retry, with jitter. It leaves Needed before the deadline.
	Delay time.Duration
}

// Budget holds the retry budgets of all callers and targets. It is safe for concurrent use.
type Budget struct {
	opts    Options
	callers *shard.Map[string, window]
	targets *shard.Map[string, window]
}

// New makes budgets without any history.
func New(opts Options) *Budget {
	opts.setDefaults()
	return &Budget{
		opts:    opts,
		callers: shard.New[string, window](shard.DefaultShards, opts.Capacity, shard.StringHash, nil),
		targets: shard.New[string, window](shard.DefaultShards, opts.Capacity, shard.StringHash, nil),
	}
}

// First counts the first attempt of a request. Retries and hedges are not counted, or they would feed the budget.
func (b *Budget) First(now time.Time, caller, target string) {
	b.callers.Update(caller, func(w *window) { w.at(now).requests++ })
	b.targets.Update(target, func(w *window) { w.at(now).requests++ })
}

// Allow decides on a retry and charges both budgets when it is allowed.
func (b *Budget) Allow(now time.Time, rng *rand.Rand, a Attempt) Decision {
	if a.Number >= b.opts.MaxAttempts {
		return Decision{Denial: AttemptsUsed}
	}
	spare := a.Remaining - a.Needed
	if spare <= 0 || a.RetryAfter > spare {
		return Decision{Denial: DeadlineTooNear}
	}
	if !b.charge(b.callers, now, a.Caller) {
		return Decision{Denial: CallerOverBudget}
	}
	if !b.charge(b.targets, now, a.Next) {
		b.refund(now, a.Caller)
		return Decision{Denial: TargetOverBudget}
	}
	return Decision{Delay: min(b.delay(rng, a), spare)}
}

func (b *Budget) charge(m *shard.Map[string, window], now time.Time, key string) (ok bool) {
	m.Update(key, func(w *window) {
		current := w.at(now)
		requests, retries := w.sums()
		if retries < max(b.opts.Minimum, int(b.opts.Ratio*float64(requests))) {
			current.retries++
			ok = true
		}
	})
	return ok
}

func (b *Budget) refund(now time.Time, caller string) {
	b.callers.View(caller, func(w *window) {
		if current := w.at(now); current.retries > 0 {
			current.retries--
		}
	})
}

// delay is exponential with full jitter, so that callers who lost the same target do not return together. A retry of a
// failure goes to another target and starts at once the first time; after overload the delay is at least RetryAfter.
func (b *Budget) delay(rng *rand.Rand, a Attempt) time.Duration {
	if a.Cause == Failure && a.Number <= 1 {
		return 0
	}
	ceiling := min(b.opts.BackoffBase<<min(a.Number, 10), b.opts.BackoffMax)
	return a.RetryAfter + time.Duration(rng.Int64N(int64(ceiling)+1))
}

type bucket struct {
	second   int64
	requests int
	retries  int
}

// window counts requests and retries of the last 10 s.
type window struct {
	buckets [windowBuckets]bucket
	latest  int64
}

// at returns the bucket of now. A clock that goes back counts in the latest bucket.
func (w *window) at(now time.Time) *bucket {
	w.latest = max(w.latest, now.UnixNano()/int64(bucketWidth))
	b := &w.buckets[w.latest%windowBuckets]
	if b.second != w.latest {
		*b = bucket{second: w.latest}
	}
	return b
}

func (w *window) sums() (requests, retries int) {
	for i := range w.buckets {
		if w.buckets[i].second > w.latest-windowBuckets {
			requests += w.buckets[i].requests
			retries += w.buckets[i].retries
		}
	}
	return requests, retries
}
