package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// request is one request of a caller with the state of its current attempt.
type request struct {
	fingerprint    Fingerprint
	crashes        bool
	instance       int
	attempt        *Attempt // in flight
	claim          *Claim   // being sent to the other instances
	askedInstances int
	refused        bool
	answered       bool
}

// deployment simulates connected instances, targets, and callers that retry a request after a failure.
type deployment struct {
	t        *rapid.T
	now      time.Time
	tables   []*Table
	targets  []Target
	requests []*request
	attempts int
	// crashedTargets is the number of targets that a request body has crashed.
	crashedTargets map[Fingerprint]int
	// delayed frames are delivered later, in any order and any number of times.
	delayed [][]byte
}

func (d *deployment) requireNoError(err error) {
	if err != nil {
		d.t.Fatal(err)
	}
}

// broadcast delivers a frame once or twice to all instances before the failure is reported to the caller.
func (d *deployment) broadcast(frame []byte) {
	if frame == nil {
		return
	}
	for _, table := range d.tables {
		for range rapid.IntRange(1, 2).Draw(d.t, "copies") {
			d.requireNoError(table.Merge(d.now, 0, frame))
		}
	}
}

func (d *deployment) withdrawClaims(claims []Claim) {
	for _, c := range claims {
		for _, table := range d.tables {
			table.HandleClaim(d.now, c)
		}
	}
}

// advanceRequest advances a waiting request by one step: make a claim, send it to one instance, or start the attempt.
func (d *deployment) advanceRequest(r *request) {
	table := d.tables[r.instance]
	if r.claim != nil && r.askedInstances < len(d.tables) {
		agreed := r.askedInstances == r.instance || d.tables[r.askedInstances].HandleClaim(d.now, *r.claim)
		r.askedInstances++
		if !agreed {
			d.withdrawClaims(table.EndAttempt(r.claim.AttemptID).WithdrawnClaims)
			r.claim = nil
		}
		return
	}
	d.attempts++
	a := Attempt{ID: fmt.Sprint(d.attempts), Fingerprint: r.fingerprint, Target: rapid.SampledFrom(d.targets).Draw(d.t, "target")}
	if r.claim != nil {
		a.ID, a.Target = r.claim.AttemptID, r.claim.Target
		r.claim = nil
	} else if v, _ := table.Verdict(d.now, r.fingerprint); v == Quarantined {
		r.refused = true
		return
	} else if v == Suspect {
		if claim, ok := table.Claim(d.now, a); ok {
			r.claim, r.askedInstances = &claim, 0
		}
		return
	}
	claim, ok := table.Start(d.now, a)
	if !ok {
		d.withdrawClaims(table.EndAttempt(a.ID).WithdrawnClaims)
		return
	}
	r.attempt = &a
	if claim != nil {
		for _, other := range d.tables {
			other.HandleClaim(d.now, *claim)
		}
	}
}

// completeAttempt completes an attempt. A crashing request fails its target and all attempts on it.
func (d *deployment) completeAttempt(r *request) {
	target := r.attempt.Target
	if !r.crashes {
		updates, err := d.tables[r.instance].CompleteAttempt(d.now, r.attempt.ID)
		d.requireNoError(err)
		d.withdrawClaims(updates.WithdrawnClaims)
		if updates.Frame != nil { // the caller does not wait until other instances have this frame
			d.delayed = append(d.delayed, updates.Frame)
		}
		r.attempt, r.answered = nil, true
		return
	}
	d.crashedTargets[r.fingerprint]++
	if d.crashedTargets[r.fingerprint] > 2 {
		d.t.Fatalf("request %v crashed a third target", r.fingerprint)
	}
	for _, table := range d.tables {
		updates, err := table.TargetFailed(d.now, target)
		d.requireNoError(err)
		d.withdrawClaims(updates.WithdrawnClaims)
		d.broadcast(updates.Frame)
	}
	for _, other := range d.requests {
		if other.claim != nil && other.claim.Target == target {
			d.withdrawClaims(d.tables[other.instance].EndAttempt(other.claim.AttemptID).WithdrawnClaims)
			other.claim = nil
		}
		if other.attempt != nil && other.attempt.Target == target {
			other.attempt = nil
			other.instance = rapid.IntRange(0, len(d.tables)-1).Draw(d.t, "resent through")
		}
	}
	for i := range d.targets {
		if d.targets[i] == target {
			d.targets[i].Incarnation++
		}
	}
}

func (d *deployment) pickRequest(label string, want func(*request) bool) *request {
	var list []*request
	for _, r := range d.requests {
		if want(r) {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(d.t, label)]
}

func waiting(r *request) bool  { return r.attempt == nil && !r.refused && !r.answered }
func inFlight(r *request) bool { return r.attempt != nil }

// Guards against a crashing request that crashes a third target when it is retried through other instances, and against
// other requests that are refused or never answered because they ran on the same targets.
func TestCrashingRequestReachesTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &deployment{t: t, now: start, crashedTargets: map[Fingerprint]int{}}
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			d.tables = append(d.tables, NewTable(Options{}))
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			d.targets = append(d.targets, Target{Name: fmt.Sprintf("net-assistant-%d", i), Incarnation: 1})
		}
		crashing := rapid.IntRange(1, 3).Draw(t, "crashing bodies")
		for i := range rapid.IntRange(crashing, 16).Draw(t, "requests") {
			body := fmt.Sprintf("body %d", i)
			copies := 1
			if i < crashing { // a caller may send the same crashing body twice concurrently
				copies = rapid.IntRange(1, 2).Draw(t, "copies")
			}
			for range copies {
				d.requests = append(d.requests, &request{fingerprint: FingerprintOf("c", "m", "", []byte(body)), crashes: i < crashing})
			}
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 5:
				if r := d.pickRequest("waiting", waiting); r != nil {
					d.advanceRequest(r)
				}
			case action < 8:
				if r := d.pickRequest("in flight", inFlight); r != nil {
					d.completeAttempt(r)
				}
			case action == 8:
				d.now = d.now.Add(time.Second)
				for _, table := range d.tables {
					for _, c := range table.Renew(d.now) {
						for _, other := range d.tables {
							other.HandleClaim(d.now, c)
						}
					}
				}
			case len(d.delayed) > 0:
				frame := rapid.SampledFrom(d.delayed).Draw(t, "frame")
				d.requireNoError(rapid.SampledFrom(d.tables).Draw(t, "table").Merge(d.now, 0, frame))
			}
		}
		d.runToCompletion(crashing)
	})
}

// runToCompletion runs all requests until they are answered or refused. With one crashing body no other request is
// refused. With more of them, a request may have run on two crashed targets; it has to be answered after the period.
func (d *deployment) runToCompletion(crashing int) {
	for round := range 3 {
		for range 100 {
			for _, r := range d.requests {
				if inFlight(r) {
					d.completeAttempt(r)
				}
				if waiting(r) {
					d.advanceRequest(r)
				}
			}
		}
		for _, r := range d.requests {
			if r.crashes && !r.refused {
				d.t.Fatalf("crashing request %v was not refused", r.fingerprint)
			}
			if !r.crashes && !r.answered && (crashing == 1 || round == 2) {
				d.t.Fatalf("request %v, which does not crash targets, was not answered; refused: %v", r.fingerprint, r.refused)
			}
			if !r.crashes {
				r.refused = false
			}
		}
		d.now = d.now.Add(DefaultPeriod)
	}
}

// Guards against instances that hold different strikes, and so give different verdicts, after the same frames arrived
// in another order or more than once.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var frames [][]byte
		for range rapid.IntRange(1, 8).Draw(t, "frames") {
			table := NewTable(Options{})
			for i := range rapid.IntRange(1, 20).Draw(t, "strikes") {
				fingerprint := FingerprintOf("c", "m", "", []byte{byte(rapid.IntRange(0, 2).Draw(t, "body"))})
				s := strike{target: Target{Name: fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "target")), Incarnation: 1},
					at:      start.Add(-time.Duration(rapid.IntRange(0, 700).Draw(t, "age")) * time.Second),
					cleared: rapid.Bool().Draw(t, "cleared")}
				table.merge(start.Add(-time.Duration(i)), fingerprint, []strike{s})
			}
			frame, err := table.Delta(start, MinDeltaBytes)
			if err != nil {
				t.Fatal(err)
			}
			if frame != nil {
				frames = append(frames, frame)
			}
		}
		if len(frames) == 0 {
			return
		}
		order := rapid.Permutation(frames).Draw(t, "order")
		order = append(order, rapid.SliceOf(rapid.SampledFrom(frames)).Draw(t, "repeats")...)
		view := func(frames [][]byte) map[Fingerprint][]strike {
			table, seen := NewTable(Options{}), map[Fingerprint][]strike{}
			for _, frame := range frames {
				if err := table.Merge(start, 0, frame); err != nil {
					t.Fatal(err)
				}
			}
			for fingerprint, r := range table.records {
				seen[fingerprint] = r.strikes
			}
			return seen
		}
		if diff := cmp.Diff(view(frames), view(order), cmp.AllowUnexported(strike{}), cmp.AllowUnexported(Target{})); diff != "" {
			t.Fatal(diff)
		}
	})
}
