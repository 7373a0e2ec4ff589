package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func attempt(caller, next string) Attempt {
	return Attempt{Caller: caller, NextTarget: next, Number: 1, Cause: Failure, Remaining: time.Minute, ExpectedDuration: time.Second}
}

// Guards against a retry storm: whichever targets fail, the retries of a caller and to a target within 10 s must not
// exceed a tenth of their requests or the minimum, whichever is larger.
func TestRetriesStayWithinBothBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		b := New(Options{})
		requests := rapid.IntRange(1, 3000).Draw(t, "requests")
		targets := []string{"a", "b", "c"}
		retriesTo := make(map[string]int)
		requestsTo := make(map[string]int)
		for i := range requests {
			now := start.Add(time.Duration(i) * 9 * time.Second / time.Duration(requests))
			failed := targets[rng.IntN(3)]
			b.CountRequest(now, "caller", failed)
			requestsTo[failed]++
			next := targets[rng.IntN(3)]
			if b.Allow(now, rng, attempt("caller", next)).Denial == Allowed {
				retriesTo[next]++
			}
		}
		total := 0
		for _, target := range targets {
			total += retriesTo[target]
			if limit := max(3, requestsTo[target]/10); retriesTo[target] > limit {
				t.Fatalf("target %s got %d retries for %d requests, more than a tenth and more than 3", target, retriesTo[target], requestsTo[target])
			}
		}
		if limit := max(3, requests/10); total > limit {
			t.Fatalf("the caller sent %d retries for %d requests, more than a tenth and more than 3", total, requests)
		}
	})
}

// Guards against retries that can't end before the deadline, unlimited attempts, delays beyond the deadline, and a
// retry after overload that is sent before RetryAfter has passed.
func TestRetryFitsAttemptsDeadlineAndRetryAfter(t *testing.T) {
	cases := []struct {
		name    string
		change  func(*Attempt)
		denial  Denial
		minimum time.Duration
	}{
		{"failure is retried at once", func(*Attempt) {}, Allowed, 0},
		{"attempts used", func(a *Attempt) { a.Number = 3 }, AttemptsUsed, 0},
		{"deadline too near", func(a *Attempt) { a.Remaining = time.Second }, DeadlineTooNear, 0},
		{"overload waits", func(a *Attempt) { a.Cause, a.RetryAfter = Overload, 2*time.Second }, Allowed, 2 * time.Second},
		{"overload beyond deadline", func(a *Attempt) { a.Cause, a.RetryAfter = Overload, time.Hour }, DeadlineTooNear, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := attempt("caller", "target")
			c.change(&a)
			d := New(Options{}).Allow(start, rand.New(rand.NewPCG(1, 2)), a)
			if d.Denial != c.denial || d.Delay < c.minimum || d.Delay > a.Remaining-a.ExpectedDuration && d.Delay > 0 {
				t.Fatalf("Allow returned %+v, which does not fit the case or the deadline", d)
			}
		})
	}
}

// Guards against a budget that doesn't recover after it was used up, and against charging a caller for retries that the
// budget of the target denied.
func TestBudgetRecoversAndRefunds(t *testing.T) {
	b := New(Options{})
	rng := rand.New(rand.NewPCG(1, 2))
	for range 3 {
		if d := b.Allow(start, rng, attempt("x", "full")); d.Denial != Allowed {
			t.Fatalf("a retry within the minimum was denied: %+v", d)
		}
	}
	for range 20 {
		if d := b.Allow(start, rng, attempt("y", "full")); d.Denial != TargetOverBudget {
			t.Fatalf("a retry beyond the budget of target full: got %+v, want a denial for the target", d)
		}
	}
	if d := b.Allow(start, rng, attempt("y", "free")); d.Denial != Allowed {
		t.Fatalf("caller y was charged for denied retries: %+v", d)
	}
	if d := b.Allow(start.Add(11*time.Second), rng, attempt("x", "full")); d.Denial != Allowed {
		t.Fatalf("the budget did not recover after its window: %+v", d)
	}
}

// Guards against budgets that concurrent calls of Allow exceed. To be run with -race.
func TestConcurrentRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{})
		var allowed atomic.Int64
		for i := range 8 {
			go func() {
				rng := rand.New(rand.NewPCG(1, uint64(i)))
				for range 100 {
					b.CountRequest(start, "caller", "lost")
					if b.Allow(start, rng, attempt("caller", "next")).Denial == Allowed {
						allowed.Add(1)
					}
				}
			}()
		}
		synctest.Wait()
		if n := allowed.Load(); n > 3 {
			t.Fatalf("%d retries to a target with a budget of 3", n)
		}
	})
}
