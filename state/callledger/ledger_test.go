package callledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const startMs = int64(1_700_000_000_000)

func attempt(n uint64) Attempt { return Attempt{Instance: "i0", Incarnation: 1, Number: n} }

func callKey(n int) CallKey { return CallKey{Caller: "c", Service: "haul-desk", Key: fmt.Sprint(n)} }

func reserve(k int, a Attempt, body string) Command {
	return Command{Reserve: &Reserve{Call: callKey(k), Digest: Digest("POST", "/", []byte(body)), Attempt: a}}
}

func release(k int, a Attempt) Command {
	return Command{Release: &Release{Call: callKey(k), Attempt: a}}
}

func complete(k int, a Attempt, bytes int) Command {
	return Command{Complete: &Complete{Call: callKey(k), Attempt: a, Answer: Answer{Status: 200, Body: make([]byte, bytes)}}}
}

func uncertain(k int, a Attempt) Command {
	return Command{MarkUncertain: &MarkUncertain{Call: callKey(k), Attempt: a}}
}

type step struct {
	after   time.Duration
	command Command
	want    Status
}

func apply(t *testing.T, m *Machine, nowMs int64, c Command) *Result {
	t.Helper()
	c.AtMs = nowMs
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := m.Apply(1, data)
	if err != nil {
		t.Fatal(err)
	}
	result, err := DecodeResult(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Guards against a key that is granted twice, refused or evicted at the wrong time, when commands arrive late, repeated or
// out of order. Times are offsets from the start, so that a step may carry an old command.
func TestCommandSequences(t *testing.T) {
	started := func(incarnation uint64) Command {
		return Command{InstanceStarted: &InstanceStarted{Instance: "i0", Incarnation: incarnation}}
	}
	expire := Command{Expire: &Expire{}}
	other := Attempt{Instance: "i1", Incarnation: 1, Number: 1}
	tests := map[string][]step{
		"release before the reserve of the attempt": {
			{0, release(1, attempt(1)), Done}, {0, reserve(1, attempt(1), "a"), Released}, {0, reserve(1, attempt(2), "a"), Granted}},
		"repeated reserve after its release": {
			{0, reserve(1, attempt(1), "a"), Granted}, {0, release(1, attempt(1)), Done}, {0, reserve(1, attempt(1), "a"), Released}},
		"repeated reserve of a refused attempt": {
			{0, reserve(1, other, "a"), Granted}, {0, reserve(1, attempt(1), "a"), InProgress}, {0, release(1, other), Done},
			{0, reserve(1, attempt(1), "a"), Released}},
		"key reused with another body": {
			{0, reserve(1, attempt(1), "a"), Granted}, {0, reserve(1, attempt(2), "b"), KeyReused}, {0, complete(1, attempt(1), 1), Done},
			{0, reserve(1, attempt(3), "b"), KeyReused}, {0, reserve(1, attempt(4), "a"), Answered}},
		"restart of the instance": {
			{0, reserve(1, attempt(1), "a"), Granted}, {0, started(2), Done}, {0, reserve(1, other, "a"), MayHaveRun},
			{0, reserve(2, attempt(2), "a"), Stale}, {0, complete(1, attempt(1), 1), Done},
			{0, reserve(1, Attempt{Instance: "i1", Incarnation: 1, Number: 2}, "a"), Answered}},
		"commands of another attempt": {
			{0, reserve(1, attempt(1), "a"), Granted}, {0, release(1, other), Done}, {0, uncertain(1, other), Ignored},
			{0, complete(1, other, 1), Ignored}, {0, reserve(1, attempt(2), "a"), InProgress}},
		"retention": {
			{0, reserve(1, attempt(1), "a"), Granted}, {time.Hour, uncertain(1, attempt(1)), Done},
			{time.Hour + Retention - time.Millisecond, reserve(1, attempt(2), "a"), MayHaveRun},
			{time.Hour + Retention, reserve(1, attempt(3), "a"), Granted}},
		"reserve older than the retention": {
			{Retention, expire, Done}, {0, reserve(1, attempt(1), "a"), Stale}, {time.Millisecond, reserve(1, attempt(2), "a"), Granted}},
		"attempt number below the window": {
			{0, reserve(1, attempt(windowAttempts+1), "a"), Granted}, {0, reserve(2, attempt(1), "a"), Released},
			{0, reserve(2, attempt(2), "a"), Granted}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			m := New()
			for i, s := range steps {
				if got := apply(t, m, startMs+s.after.Milliseconds(), s.command).Status; got != s.want {
					t.Fatalf("step %d: status %s, want %s", i, got, s.want)
				}
			}
		})
	}
}

// Guards against a ledger that exceeds its memory limit or cannot record the answer of a granted call.
func TestMemoryLimit(t *testing.T) {
	m := newMachine(3 * (MaxAnswerBytes + MaxHeaderBytes + 2*recordOverheadBytes))
	for i := range 3 {
		if got := apply(t, m, startMs, reserve(i, attempt(uint64(i+1)), "a")).Status; got != Granted {
			t.Fatalf("reserve of call %d: status %s, want granted", i, got)
		}
	}
	if got := apply(t, m, startMs, reserve(3, attempt(4), "a")).Status; got != Full {
		t.Fatalf("reserve beyond the memory limit: status %s, want full", got)
	}
	for i := range 3 {
		apply(t, m, startMs, complete(i, attempt(uint64(i+1)), MaxAnswerBytes))
		if r, _ := m.Lookup(callKey(i)); r.State != Answered || r.Answer.TooLarge {
			t.Fatalf("answer %d was not recorded whole: state %s", i, r.State)
		}
	}
	apply(t, m, startMs+Retention.Milliseconds(), Command{Expire: &Expire{}})
	if diff := cmp.Diff(Stats{MaxBytes: m.maxBytes}, m.Stats()); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against invalid commands and truncated snapshots that change the ledger.
func TestInvalidInputChangesNothing(t *testing.T) {
	m := New()
	apply(t, m, startMs, reserve(1, attempt(1), "a"))
	before, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []Command{
		{AtMs: startMs}, {Expire: &Expire{}}, {AtMs: 1, Expire: &Expire{}, Release: &Release{Call: callKey(1), Attempt: attempt(1)}},
		{AtMs: startMs, Release: &Release{Call: callKey(1)}}, {AtMs: startMs, Reserve: &Reserve{Call: callKey(1), Attempt: attempt(2)}},
		{AtMs: startMs, Complete: &Complete{Call: callKey(1), Attempt: attempt(1), Answer: Answer{Body: make([]byte, MaxAnswerBytes+1)}}},
	} {
		if _, err := c.Encode(); err == nil {
			t.Errorf("invalid command %+v was encoded", c)
		}
	}
	if _, err := m.Apply(2, []byte{0xa1}); err == nil {
		t.Error("truncated command was applied")
	}
	if err := m.Restore(before[:len(before)/2]); err == nil {
		t.Error("truncated snapshot was restored")
	}
	after, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(before, after); diff != "" {
		t.Error(diff)
	}
	if list, total := m.Unresolved(10); total != 1 || list[0].Call != callKey(1) {
		t.Errorf("unresolved calls %v, want one with key 1", list)
	}
}
