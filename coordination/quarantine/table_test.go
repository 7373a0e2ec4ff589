package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func testFingerprint(n int) Fingerprint { return FingerprintOf("c", "m", "a", fmt.Append(nil, n)) }

func target(n int) Target { return Target{Name: fmt.Sprint("t", n), Incarnation: 1} }

func failTarget(t *testing.T, table *Table, now time.Time, n int) []byte {
	t.Helper()
	updates, err := table.TargetFailed(now, target(n))
	if err != nil {
		t.Fatal(err)
	}
	return updates.Frame
}

func requireVerdict(t *testing.T, table *Table, now time.Time, n int, verdict Verdict) {
	t.Helper()
	if got, _ := table.Verdict(now, testFingerprint(n)); got != verdict {
		t.Fatalf("verdict on request %d after %v is %d, want %d", n, now.Sub(start), got, verdict)
	}
}

// Guards against a suspect that is sent without a valid claim for the target, and against a request that is sent on a
// verdict from before its latest strike.
func TestStartRequiresCurrentVerdictAndClaim(t *testing.T) {
	table := NewTable(Options{})
	table.Start(start, Attempt{ID: "1", Fingerprint: testFingerprint(1), Target: target(1)})
	requireVerdict(t, table, start, 1, Clean)
	failTarget(t, table, start, 1)
	second := Attempt{ID: "2", Fingerprint: testFingerprint(1), Target: target(2)}
	starts := func(now time.Time, a Attempt) bool { _, ok := table.Start(now, a); return ok }
	if starts(start, second) {
		t.Fatal("a suspect was started without a claim")
	}
	if _, ok := table.Claim(start, second); !ok || !table.HasClaim(start, target(2)) || table.HasClaim(start, target(3)) {
		t.Fatal("the claim was refused, or HasClaim does not report exactly its target")
	}
	if starts(start, Attempt{ID: "2", Fingerprint: testFingerprint(1), Target: target(3)}) {
		t.Fatal("a suspect was started on a target other than the claimed one")
	}
	if starts(start.Add(DefaultClaimLease), second) || !starts(start, second) || starts(start, second) {
		t.Fatal("a claim does not allow exactly one start within its lease")
	}
	failTarget(t, table, start, 2)
	requireVerdict(t, table, start, 1, Quarantined)
	if starts(start, Attempt{ID: "3", Fingerprint: testFingerprint(1), Target: target(3)}) {
		t.Fatal("a quarantined request was started")
	}
	if _, ok := table.Claim(start, Attempt{ID: "3", Fingerprint: testFingerprint(1), Target: target(3)}); ok {
		t.Fatal("a quarantined request got a claim")
	}
}

// Guards against a quarantine that ends too early or never, and against strikes that still count after the request has
// succeeded.
func TestSuccessClearsStrikesAndPeriodEndsQuarantine(t *testing.T) {
	table := NewTable(Options{})
	run := func(now time.Time, id string, n, on int) {
		a := Attempt{ID: id, Fingerprint: testFingerprint(n), Target: target(on)}
		table.Claim(now, a)
		if _, ok := table.Start(now, a); !ok {
			t.Fatalf("Start refused attempt %s", id)
		}
	}
	run(start, "1", 1, 1)
	run(start, "2", 2, 1)
	failTarget(t, table, start, 1)
	run(start, "3", 1, 2) // succeeds, which clears its strike
	if updates, err := table.CompleteAttempt(start, "3"); err != nil || len(updates.WithdrawnClaims) != 1 || updates.Frame == nil {
		t.Fatalf("success of a suspect: updates %+v, error %v; want one withdrawn claim and a frame", updates, err)
	}
	requireVerdict(t, table, start, 1, Clean)
	minute := start.Add(time.Minute)
	run(minute, "4", 1, 3)
	run(minute, "5", 2, 3)
	failTarget(t, table, minute, 3)
	requireVerdict(t, table, minute, 1, Suspect)
	requireVerdict(t, table, minute.Add(DefaultPeriod-1), 2, Quarantined) // the period starts with the second strike
	requireVerdict(t, table, minute.Add(DefaultPeriod), 2, Clean)
	if n := table.Expire(minute.Add(DefaultPeriod)); n != 0 {
		t.Fatalf("%d records remain after the period, want 0", n)
	}
}

// Guards against a missing strike when the instance that runs a suspect dies together with the target, and against
// claims of a dead instance that keep other attempts of the suspect from running for ever.
func TestClaimOfDeadInstance(t *testing.T) {
	x, y := NewTable(Options{}), NewTable(Options{})
	x.Start(start, Attempt{ID: "x1", Fingerprint: testFingerprint(1), Target: target(1)})
	if err := y.Merge(start, 0, failTarget(t, x, start, 1)); err != nil {
		t.Fatal(err)
	}
	second := Attempt{ID: "x2", Fingerprint: testFingerprint(1), Target: target(2)}
	claim, ok := x.Claim(start, second)
	if !ok || !y.HandleClaim(start, claim) {
		t.Fatal("the claim of a free target was refused")
	}
	failTarget(t, y, start, 2)
	requireVerdict(t, y, start, 1, Suspect) // no strike: the claimed attempt had not been started
	if started, ok := x.Start(start, second); !ok || !y.HandleClaim(start, *started) {
		t.Fatal("the claimed attempt was not started, or the other instance refused its started claim")
	}
	again := Attempt{ID: "y1", Fingerprint: testFingerprint(1), Target: target(3)}
	if _, ok := y.Claim(start, again); ok {
		t.Fatal("a request in flight elsewhere was claimed again")
	}
	if _, ok := y.Claim(start.Add(DefaultClaimLease), again); !ok {
		t.Fatal("the claim of a dead instance is still valid after its lease")
	}
	failTarget(t, y, start, 2)
	requireVerdict(t, y, start, 1, Quarantined)
}

// Guards against tables that grow beyond MaxRecords, truncated frames that are applied, and strikes whose age does not
// include the network delay.
func TestRecordLimitTruncatedFramesAndTransitTime(t *testing.T) {
	table := NewTable(Options{MaxRecords: 10})
	for n := range 12 {
		now := start.Add(time.Duration(n) * time.Second)
		table.Start(now, Attempt{ID: fmt.Sprint(n), Fingerprint: testFingerprint(n), Target: target(n)})
		failTarget(t, table, now, n)
	}
	now := start.Add(time.Minute)
	if n := table.Expire(now); n != 10 {
		t.Fatalf("%d records in a table of 10", n)
	}
	requireVerdict(t, table, now, 0, Clean) // the record with the oldest strike was evicted
	requireVerdict(t, table, now, 11, Suspect)
	frame, err := table.Delta(now, MinDeltaBytes)
	if err != nil || len(frame) > MinDeltaBytes {
		t.Fatal(len(frame), err)
	}
	other := NewTable(Options{})
	if err := other.Merge(now, 0, frame[:len(frame)-1]); err == nil || other.Expire(now) != 0 {
		t.Fatal("a truncated frame was accepted")
	}
	if err := other.Merge(now, DefaultPeriod, frame); err != nil || other.Expire(now) != 0 {
		t.Fatal("strikes that expired during the network delay were stored")
	}
}

// Guards against two requests with the same fingerprint because the boundaries between their parts are not hashed.
func TestFingerprintSeparatesParts(t *testing.T) {
	if FingerprintOf("ab", "c", "", nil) == FingerprintOf("a", "bc", "", nil) {
		t.Fatal("fingerprints of different requests are equal")
	}
}

// Guards against two suspects on one target: if the first became a suspect while it was in flight there, and if two
// instances claim the target concurrently.
func TestTwoSuspectsDoNotShareTarget(t *testing.T) {
	x, y := NewTable(Options{}), NewTable(Options{})
	x.Start(start, Attempt{ID: "x1", Fingerprint: testFingerprint(1), Target: target(1)})
	x.Start(start, Attempt{ID: "x2", Fingerprint: testFingerprint(2), Target: target(1)})
	y.Start(start, Attempt{ID: "y1", Fingerprint: testFingerprint(2), Target: target(2)})
	if err := y.Merge(start, 0, failTarget(t, x, start, 1)); err != nil {
		t.Fatal(err)
	}
	if claim, _ := x.Claim(start, Attempt{ID: "x3", Fingerprint: testFingerprint(1), Target: target(2)}); y.HandleClaim(start, claim) {
		t.Fatal("an instance agreed to a claim of a target on which it has another suspect in flight")
	}
	if _, err := y.CompleteAttempt(start, "y1"); err != nil {
		t.Fatal(err)
	}
	x.EndAttempt("x3")
	high := Attempt{ID: "z9", Fingerprint: testFingerprint(1), Target: target(3)}
	claimed, ok := x.Claim(start, high)
	if !ok {
		t.Fatal("the claim of a free target was refused")
	}
	competitor := Claim{AttemptID: "y5", Fingerprint: testFingerprint(3), Target: target(3)}
	if !x.HandleClaim(start, competitor) || y.HandleClaim(start, competitor) && y.HandleClaim(start, claimed) {
		t.Fatal("of two competing claims, the one with the lower attempt id did not win")
	}
	if _, ok := x.Start(start, high); ok {
		t.Fatal("an attempt was started after its claim yielded")
	}
	if len(x.EndAttempt(high.ID).WithdrawnClaims) != 1 {
		t.Fatal("a claim that yielded was not withdrawn")
	}
}
