package straggler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

const (
	groupName = "net-assistant"
	usual     = 100 * time.Millisecond
)

func observation(name string, actual time.Duration) Observation {
	return Observation{Target: name, Group: groupName, Expected: usual, Actual: actual}
}

// newDetectorWithUsualTargets returns a detector with enough observations of ten targets of usual speed.
func newDetectorWithUsualTargets() *Detector {
	d := New(Options{})
	for round := range 20 {
		for i := range 10 {
			d.Observe(start, observation(fmt.Sprint("t", i), usual+time.Duration(round%5)*10*time.Millisecond))
		}
	}
	return d
}

// Guards against slow detection, a straggler that is never probed, and one that is never readmitted.
func TestStragglerIsExcludedProbedAndReadmitted(t *testing.T) {
	d := newDetectorWithUsualTargets()
	d.Observe(start, observation("t3", 5*usual))
	if d.Straggling(start, "t3") {
		t.Fatal("t3 is excluded after one slow observation, want two")
	}
	if !d.ObserveOverdue(start, observation("t3", 4*usual)) || !d.Straggling(start, "t3") {
		t.Fatal("t3 is not excluded after two slow observations")
	}
	if d.ClaimProbe(start, "t3") {
		t.Fatal("a probe was allowed before the probe interval had passed")
	}
	now := start.Add(defaultProbeInterval)
	if !d.ClaimProbe(now, "t3") || d.ClaimProbe(now, "t3") {
		t.Fatal("after the probe interval, want exactly one probe")
	}
	d.Observe(now, observation("t3", 5*usual))
	if d.ClaimProbe(now.Add(defaultProbeInterval), "t3") {
		t.Fatal("the probe interval did not double after a slow probe")
	}
	d.Observe(now, observation("t3", usual))
	if !d.Observe(now, observation("t3", usual)) || d.Straggling(now, "t3") {
		t.Fatal("t3 is not readmitted after two usual observations")
	}
}

// Guards against excluding every target when the whole group becomes slow, which would leave no target for requests.
func TestExclusionsAreBoundedByMaxFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDetectorWithUsualTargets()
		n := rapid.IntRange(1, 200).Draw(t, "observations")
		for range n {
			i := rapid.IntRange(0, 9).Draw(t, "target")
			ratio := rapid.IntRange(1, 40).Draw(t, "ratio")
			d.Observe(start, observation(fmt.Sprint("t", i), time.Duration(ratio)*usual))
			slow := 0
			for j := range 10 {
				if d.Straggling(start, fmt.Sprint("t", j)) {
					slow++
				}
			}
			if slow > 3 || slow != d.Stragglers(groupName) {
				t.Fatalf("%d of 10 targets are excluded, want at most 3 and as many as Stragglers counts: %d", slow, d.Stragglers(groupName))
			}
		}
	})
}

// Guards against hedging work that is not idempotent, long, not late or out of time, and against hedging more than 5 %
// of the requests.
func TestHedgesAreRestrictedAndWithinBudget(t *testing.T) {
	late := HedgeRequest{Group: groupName, Idempotent: true, Short: true, Expected: usual, Elapsed: 4 * usual, Remaining: time.Minute}
	unhedged := map[string]func(*HedgeRequest){
		"not idempotent":  func(h *HedgeRequest) { h.Idempotent = false },
		"long":            func(h *HedgeRequest) { h.Short = false },
		"not late":        func(h *HedgeRequest) { h.Elapsed = usual / 2 },
		"no time remains": func(h *HedgeRequest) { h.Remaining = usual / 2 },
	}
	d := newDetectorWithUsualTargets()
	hedged := 0
	for range 1000 {
		d.CountRequest()
		for name, f := range unhedged {
			h := late
			f(&h)
			if d.AllowHedge(start, h) {
				t.Fatalf("request was hedged in the case %q", name)
			}
		}
		if d.AllowHedge(start, late) {
			hedged++
		}
	}
	if hedged < 40 || hedged > 50 {
		t.Fatalf("%d of 1000 requests were hedged, want close to and at most 50", hedged)
	}
}

// Guards against a target that has left but still counts as excluded, which would prevent the exclusion of others.
func TestForgetLowersCountOfStragglers(t *testing.T) {
	d := newDetectorWithUsualTargets()
	d.ObserveFailure(start, "t1", groupName)
	d.ObserveFailure(start, "t1", groupName)
	if d.Stragglers(groupName) != 1 {
		t.Fatal("t1 is not excluded after two failures")
	}
	d.Forget("t1")
	if d.Stragglers(groupName) != 0 || d.Straggling(start, "t1") {
		t.Fatal("t1 still counts as excluded after Forget")
	}
}

// Guards against a count of stragglers that differs from the number of excluded targets after concurrent observations.
// To be run with -race.
func TestConcurrentObservationsKeepCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDetectorWithUsualTargets()
		for i := range 8 {
			go func() {
				for j := range 500 {
					d.Observe(start, observation(fmt.Sprint("t", (i+j)%10), time.Duration(1+j%7)*usual))
					d.ObserveOverdue(start, observation(fmt.Sprint("t", j%10), time.Duration(1+i)*usual))
				}
			}()
		}
		synctest.Wait()
		slow := 0
		for i := range 10 {
			if d.Straggling(start, fmt.Sprint("t", i)) {
				slow++
			}
		}
		if slow != d.Stragglers(groupName) || slow > 3 {
			t.Fatalf("%d targets are excluded, want at most 3 and as many as Stragglers counts: %d", slow, d.Stragglers(groupName))
		}
	})
}
