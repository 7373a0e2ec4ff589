// Package retry limits retries by a budget for each caller, a budget for each target and the time left until the
// deadline.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonhoist/tarragonhoist/state/defaults"
	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// windowBuckets of bucketWidth make up the sliding window of 10 s (section 5.7).
	windowBuckets = 10
	bucketWidth   = time.Second

	defaultRatio   = 0.10
	defaultMinimum = 3
	// defaultCapacity is enough for the 860 targets of the growth plan and several thousand active callers.
	defaultCapacity = 8192
	// defaultMaxAttempts bounds the attempts of a request that fails on every target; if the request itself is broken,
	// another target doesn't help.
	defaultMaxAttempts = 3
	defaultBackoffBase = 20 * time.Millisecond
	defaultBackoffMax  = 2 * time.Second
)

// Cause is why an attempt did not succeed.
type Cause uint8

// Causes. Overload is an explicit refusal by a target that did not run the request; it is no sign of a fault of the
// target. Failure is a broken connection, a server error or an attempt that timed out.
const (
	Overload Cause = iota
	Failure
)

// Options sets the budgets. Zero values mean the defaults.
type Options struct {
	Ratio       float64 // retries per request
	Minimum     int     // retries in 10 s that are always allowed
	MaxAttempts int     // attempts of one request, including the first
	Capacity    int     // maximum number of callers and of targets with a budget
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
	// NextTarget is the target for the retry. It must differ from the target that failed or refused the last attempt.
	NextTarget string
	// Number is the number of attempts made so far, at least 1.
	Number int
	Cause  Cause
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// ExpectedDuration is the expected duration of the retry.
	ExpectedDuration time.Duration
	// RetryAfter is the minimum delay that an overloaded target has named, if any.
	RetryAfter time.Duration
}

// Denial is the reason why a retry is not allowed.
type Denial string

// Denials. Allowed is the empty denial.
const (
	Allowed          Denial = ""
	AttemptsUsed     Denial = "attempts_used"
	DeadlineTooNear  Denial = "deadline_too_near"
	CallerOverBudget Denial = "caller_over_budget"
	TargetOverBudget Denial = "target_over_budget"
)

// Decision is the result of Allow.
type Decision struct {
	Denial Denial
	// Delay is the backoff before the retry, with jitter. It leaves at least ExpectedDuration until the deadline.
	Delay time.Duration
}

// Budget holds the retry budgets of all callers and targets. It is safe for concurrent use.
type Budget struct {
	opts    Options
	callers *shard.Map[string, window]
	targets *shard.Map[string, window]
}

// New returns budgets without counted requests or retries.
func New(opts Options) *Budget {
	opts.setDefaults()
	return &Budget{
		opts:    opts,
		callers: shard.New[string, window](shard.DefaultShards, opts.Capacity, shard.StringHash, nil),
		targets: shard.New[string, window](shard.DefaultShards, opts.Capacity, shard.StringHash, nil),
	}
}

// CountRequest counts the first attempt of a request. Retries and hedged requests must not be counted, because they
// would raise the budget that limits them.
func (b *Budget) CountRequest(now time.Time, caller, target string) {
	b.callers.Update(caller, func(w *window) { w.bucketAt(now).requests++ })
	b.targets.Update(target, func(w *window) { w.bucketAt(now).requests++ })
}

// Allow decides whether a retry may be sent, and if so charges both budgets.
func (b *Budget) Allow(now time.Time, rng *rand.Rand, a Attempt) Decision {
	if a.Number >= b.opts.MaxAttempts {
		return Decision{Denial: AttemptsUsed}
	}
	spare := a.Remaining - a.ExpectedDuration
	if spare <= 0 || a.RetryAfter > spare {
		return Decision{Denial: DeadlineTooNear}
	}
	if !b.charge(b.callers, now, a.Caller) {
		return Decision{Denial: CallerOverBudget}
	}
	if !b.charge(b.targets, now, a.NextTarget) {
		b.refund(now, a.Caller)
		return Decision{Denial: TargetOverBudget}
	}
	return Decision{Delay: min(b.delay(rng, a), spare)}
}

// charge counts a retry against the budget of a caller or target, unless the budget is used up.
func (b *Budget) charge(m *shard.Map[string, window], now time.Time, key string) (ok bool) {
	m.Update(key, func(w *window) {
		current := w.bucketAt(now)
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
		if current := w.bucketAt(now); current.retries > 0 {
			current.retries--
		}
	})
}

// delay is an exponential backoff with full jitter, so that callers whose requests failed on the same target don't
// retry at the same time. The first retry after a failure goes to another target and starts at once; otherwise the
// delay is at least RetryAfter.
func (b *Budget) delay(rng *rand.Rand, a Attempt) time.Duration {
	if a.Cause == Failure && a.Number <= 1 {
		return 0
	}
	ceiling := min(b.opts.BackoffBase<<min(a.Number, 10), b.opts.BackoffMax)
	return a.RetryAfter + time.Duration(rng.Int64N(int64(ceiling)+1))
}

// bucket counts the requests and retries of one second.
type bucket struct {
	second   int64
	requests int
	retries  int
}

// window counts the requests and retries of the last 10 s in a ring of buckets.
type window struct {
	buckets [windowBuckets]bucket
	latest  int64
}

// bucketAt returns the bucket for a time. If the clock has gone back, it returns the latest bucket.
func (w *window) bucketAt(now time.Time) *bucket {
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
