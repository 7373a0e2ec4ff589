package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

var start = time.Unix(5000, 0)

func engines(n int) []roster.Entry {
	list := make([]roster.Entry, n)
	for i := range list {
		list[i] = roster.Entry{HeardAt: start, Target: roster.Target{
			Key: roster.Key{ID: fmt.Sprint("t", i), StartedAtMs: 1}, Service: "s", DataCentre: "a", Slots: 8,
			Models: []roster.Held{{Model: "m", Adapters: []string{"x"}}},
		}}
	}
	return list
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func pickID(t *testing.T, tracker *LoadTracker, now time.Time, q Query, targets []roster.Entry) string {
	t.Helper()
	q.Service = "s"
	got, reason := tracker.Pick(now, newRand(), q, roster.NewIndex(targets))
	if got == nil {
		return string(reason)
	}
	return got.ID
}

// Guards against a request that is sent to a target which cannot run it, and against a wrong reason in the log.
func TestPickFilters(t *testing.T) {
	cases := []struct {
		name  string
		query Query
		setUp func(*LoadTracker, []roster.Entry)
		want  string
	}{
		{"model held", Query{Model: "m"}, func(*LoadTracker, []roster.Entry) {}, "t0"},
		{"model not held", Query{Model: "n"}, func(*LoadTracker, []roster.Entry) {}, string(NotLoaded)},
		{"model about to be unloaded", Query{Model: "m"}, func(tracker *LoadTracker, _ []roster.Entry) {
			tracker.SetPeerObservations(nil, map[string][]string{"t0": {"m"}})
		}, string(NotLoaded)},
		{"rejected for a missing model", Query{Model: "m"}, func(tracker *LoadTracker, _ []roster.Entry) { tracker.MarkNotHeld(start, "t0", "m", "") }, string(NotLoaded)},
		{"adapter held", Query{Model: "m", Adapter: "x"}, func(*LoadTracker, []roster.Entry) {}, "t0"},
		{"adapter not held", Query{Model: "m", Adapter: "y"}, func(*LoadTracker, []roster.Entry) {}, string(NoAdapter)},
		{"ordered adapter", Query{Model: "m", Adapter: "y"}, func(tracker *LoadTracker, _ []roster.Entry) { tracker.MarkAdapterOrdered(start, "t0", "m", "y") }, "t0"},
		{"rejected for a missing adapter", Query{Model: "m", Adapter: "x"}, func(tracker *LoadTracker, _ []roster.Entry) {
			tracker.MarkNotHeld(start, "t0", "m", "x")
		}, string(NoAdapter)},
		{"draining", Query{Model: "m"}, func(_ *LoadTracker, l []roster.Entry) { l[0].State = roster.Draining }, string(NoTarget)},
		{"other service", Query{Model: "m"}, func(_ *LoadTracker, l []roster.Entry) { l[0].Service = "z" }, string(NoTarget)},
		{"excluded", Query{Model: "m", Exclude: []string{"t0"}}, func(*LoadTracker, []roster.Entry) {}, string(AllExcluded)},
		{"at the request limit", Query{Model: "m", MaxPerSlot: 1}, func(tracker *LoadTracker, _ []roster.Entry) {
			for range 8 {
				tracker.Start(start, "t0", "m", 1)
			}
		}, string(AllFull)},
		{"at the request limit through other gateways", Query{Model: "m", MaxPerSlot: 1}, func(tracker *LoadTracker, _ []roster.Entry) {
			tracker.SetPeerObservations(map[string]Observation{"t0": {Load: Load{Running: 8}}}, nil)
		}, string(AllFull)},
		{"unreachable", Query{Model: "m"}, func(tracker *LoadTracker, _ []roster.Entry) {
			tracker.Finish(start, tracker.Start(start, "t0", "m", 1), Unreachable)
		}, string(NoneReachable)},
		{"unreachable, adapter not held", Query{Model: "m", Adapter: "y"}, func(tracker *LoadTracker, _ []roster.Entry) {
			tracker.Finish(start, tracker.Start(start, "t0", "m", 1), Unreachable)
		}, string(NoneReachable)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, targets := NewLoadTracker("g"), engines(1)
			c.setUp(tracker, targets)
			if got := pickID(t, tracker, start, c.query, targets); got != c.want {
				t.Fatalf("picked %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a burst at one gateway that overloads a single target, because load reports don't show it yet.
func TestPickSpreadsBurst(t *testing.T) {
	tracker, targets, rng := NewLoadTracker("g"), engines(4), newRand()
	counts := map[string]int{}
	for range 40 {
		got, _ := tracker.Pick(start, rng, Query{Service: "s", Model: "m", Tokens: 700, DataCentre: "a"}, roster.NewIndex(targets))
		tracker.Start(start, got.ID, "m", 700)
		counts[got.ID]++
	}
	for id, n := range counts {
		if n < 8 || n > 12 {
			t.Errorf("%s got %d of 40 requests, want 8 to 12", id, n)
		}
	}
}

// Guards against new prompts to a target whose streams are temporarily slow, and against avoiding the target after it
// has recovered.
func TestPickAvoidsSlowTargetUntilItRecovers(t *testing.T) {
	tracker, targets := NewLoadTracker("g"), engines(2)
	stream := tracker.Start(start, "t0", "m", 10)
	other := tracker.Start(start, "t1", "m", 10)
	tracker.FirstByte(start, stream, 0)
	tracker.FirstByte(start, other, 0)
	now := start
	run := func(events int, gap time.Duration) {
		for range events {
			now = now.Add(gap)
			tracker.Event(now, stream, gap)
			tracker.Event(now, other, 27*time.Millisecond)
		}
	}
	run(20, 27*time.Millisecond)
	run(3, 70*time.Millisecond)
	for range 5 {
		if got := pickID(t, tracker, now, Query{Model: "m", DataCentre: "a"}, targets); got != "t1" {
			t.Fatalf("picked %s while t0 was slow, want t1", got)
		}
	}
	run(10, 27*time.Millisecond)
	tracker.Finish(now, stream, Complete)
	if got := pickID(t, tracker, now, Query{Model: "m", DataCentre: "a"}, targets); got != "t0" {
		t.Fatalf("picked %s after t0 recovered with less load, want t0", got)
	}
}

// Guards against requests to a target that fails part of its requests while its heartbeats go on, and to one that sends
// no first byte; also against a failure that counts for ever.
func TestPickAvoidsFailingTargetUntilFailureDecays(t *testing.T) {
	tracker, targets := NewLoadTracker("g"), engines(2)
	tracker.Finish(start, tracker.Start(start, "t0", "m", 1), Failed)
	query := Query{Model: "m", DataCentre: "a"}
	if got := pickID(t, tracker, start, query, targets); got != "t1" {
		t.Fatalf("picked %s right after a failure of t0, want t1", got)
	}
	later := start.Add(30 * time.Second)
	targets[0].HeardAt, targets[1].HeardAt = later, later
	tracker.Finish(later, tracker.Start(later, "t1", "m", 1), Failed)
	if got := pickID(t, tracker, later, query, targets); got != "t0" {
		t.Fatalf("picked %s 30 s after the failure of t0, want t0", got)
	}
	unanswered := NewLoadTracker("g")
	unanswered.Start(start, "t0", "m", 1)
	after := start.Add(2 * time.Second)
	for range 3 {
		unanswered.Start(after, "t1", "m", 1)
	}
	targets[0].HeardAt, targets[1].HeardAt = after, after
	if got := pickID(t, unanswered, after, query, targets); got != "t1" {
		t.Fatalf("picked %s although t0 has sent no first byte for 2 s, want t1", got)
	}
}

// Guards against requests that wait, one after the other, for a connection to an unreachable target. Only a successful
// probe makes the target eligible again, and the interval between probes grows.
func TestUnreachableTargetIsProbed(t *testing.T) {
	tracker, targets := NewLoadTracker("g"), engines(1)
	for range 2 { // concurrent failures
		tracker.Finish(start, tracker.Start(start, "t0", "m", 1), Unreachable)
	}
	firstProbeAt := start.Add(initialConnectBackoff)
	if got := tracker.TakeDueProbes(firstProbeAt.Add(-time.Millisecond)); len(got) != 0 {
		t.Fatalf("probes due for %v within the first backoff, want none", got)
	}
	if got := tracker.TakeDueProbes(firstProbeAt); len(got) != 1 || got[0] != "t0" {
		t.Fatalf("probes due for %v after the first backoff, want t0", got)
	}
	if got := tracker.TakeDueProbes(firstProbeAt); len(got) != 0 {
		t.Fatalf("second probe due for %v while the first one runs", got)
	}
	if got := pickID(t, tracker, firstProbeAt, Query{Model: "m"}, targets); got != string(NoneReachable) {
		t.Fatalf("picked %q while the probe runs, want no target", got)
	}
	tracker.RecordProbe(firstProbeAt, "t0", false)
	if got := tracker.TakeDueProbes(firstProbeAt.Add(initialConnectBackoff)); len(got) != 0 {
		t.Fatalf("probes due for %v one initial backoff after a failed probe, want none", got)
	}
	if got := tracker.Unreachable(firstProbeAt, time.Second); len(got) != 1 {
		t.Fatalf("unreachable targets %v after a failed probe, want t0", got)
	}
	secondProbeAt := firstProbeAt.Add(2 * initialConnectBackoff)
	if got := tracker.TakeDueProbes(secondProbeAt); len(got) != 1 {
		t.Fatalf("probes due for %v after the second backoff, want t0", got)
	}
	tracker.RecordProbe(secondProbeAt, "t0", true)
	if got := pickID(t, tracker, secondProbeAt, Query{Model: "m"}, targets); got != "t0" {
		t.Fatalf("picked %q after a successful probe, want t0", got)
	}
	if got := tracker.Unreachable(secondProbeAt, time.Second); len(got) != 0 {
		t.Fatalf("unreachable targets %v after a successful probe, want none", got)
	}
}

// Guards against a target that stays excluded although it answered a request which was sent before another one found it
// unreachable.
func TestFirstByteMakesTargetReachable(t *testing.T) {
	tracker, targets := NewLoadTracker("g"), engines(1)
	answered := tracker.Start(start, "t0", "m", 1)
	tracker.Finish(start, tracker.Start(start, "t0", "m", 1), Unreachable)
	tracker.FirstByte(start, answered, 0)
	if got := pickID(t, tracker, start, Query{Model: "m"}, targets); got != "t0" {
		t.Fatalf("picked %q after t0 sent a first byte, want t0", got)
	}
}

// Guards against load that is never released, or is released twice, for any end of a request: FirstByte may be missing,
// and both calls may come twice.
func TestLoadReturnsToZero(t *testing.T) {
	tracker := NewLoadTracker("g")
	for i, end := range []RequestEnd{Complete, Neutral, Failed, Unreachable} {
		inFlight := tracker.Start(start, "t0", "m", 100)
		if i%2 == 0 {
			tracker.FirstByte(start, inFlight, time.Second)
			tracker.FirstByte(start, inFlight, time.Second)
		}
		tracker.Finish(start, inFlight, end)
		tracker.Finish(start, inFlight, end)
	}
	if own := tracker.OwnObservations(start)["t0"]; own.Load != (Load{}) {
		t.Fatalf("load of t0 after all requests ended: %+v, want 0", own)
	}
	tracker.Forget(nil)
	if len(tracker.targets) != 0 {
		t.Fatal("Forget kept a target without requests")
	}
}

// Guards against a retry storm when many requests fail at once: repeated sends must stay within this gateway's part of
// the shared budget.
func TestBudgetLimitsRepeatedSends(t *testing.T) {
	tracker := NewBudget(BudgetLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Share: 1})
	const gateways = 5
	now := start
	allowed := 0
	for range 100 {
		tracker.Request(now, "s")
		if tracker.AllowRepeat(now, "s", gateways) {
			allowed++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if allowed != 30 { // 0.2 x 100 + 50 / 5
		t.Fatalf("%d repeated sends were allowed, want 30", allowed)
	}
	if tracker.AllowRepeat(now.Add(5*time.Second), "s", gateways) {
		t.Error("a repeated send beyond the budget was allowed 5 s later, within the window of 10 s")
	}
	if !tracker.AllowRepeat(now.Add(11*time.Second), "s", gateways) {
		t.Error("a repeated send was refused 11 s later, after the window of 10 s")
	}
	if !tracker.AllowRepeat(now, "other", gateways) {
		t.Error("repeated sends of one service were counted against another service")
	}
}

// Guards against engines that preempt running streams: at the crest, less urgent requests beyond the slots of an engine
// took turns with more urgent ones, and their streams paused for too long.
func TestLessUrgentRequestsWaitForAFreeSlot(t *testing.T) {
	tracker, targets := NewLoadTracker("g"), engines(1)
	targets[0].Slots = 12
	rng, now := newRand(), time.Unix(100, 0)
	sent := map[int]int{}
	for range 40 {
		for _, rank := range []int{2, 1, 0} {
			q := Query{Service: targets[0].Service, MaxPerSlot: MaxEngineRequestsPerSlot(rank)}
			if picked, _ := tracker.Pick(now, rng, q, roster.NewIndex(targets)); picked != nil {
				tracker.Start(now, picked.ID, "m", 100)
				sent[rank]++
			}
		}
	}
	if total := sent[0] + sent[1] + sent[2]; total != 15 {
		t.Errorf("%d requests sent to an engine with 12 slots, want 15", total)
	}
	if beyond := sent[1] + sent[2]; beyond > 8 {
		t.Errorf("%d less urgent requests sent, want at most the 8 that found a free slot", beyond)
	}
}

// BenchmarkPick is a look for a target of a gateway in a deployment of the size that docs/CAPACITY.md plans for. A request that waits
// looks a hundred times a second.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 204, 860} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			entries := make([]roster.Entry, n)
			for i := range entries {
				entries[i] = roster.Entry{Target: roster.Target{Key: roster.Key{ID: fmt.Sprintf("i-%010x", i), StartedAtMs: 1}, Service: "net-assistant",
					Slots: 12, Models: []roster.Held{{Model: fmt.Sprint("daka", i%400)}, {Model: fmt.Sprint("daka", 1000+i)}, {Model: fmt.Sprint("daka", 2000+i)}}}}
			}
			targets, tracker, rng := roster.NewIndex(entries), NewLoadTracker("g"), newRand()
			q := Query{Service: "net-assistant", Model: "daka7", Tokens: 500, Choices: 3, MaxPerSlot: 1}
			b.ReportAllocs()
			for b.Loop() {
				tracker.Pick(start, rng, q, targets)
			}
		})
	}
}
