package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func target(id string, startedAtMs int64, sequence uint64, state State) Target {
	return Target{Key: Key{id, startedAtMs}, Service: "s", Address: "10.0.0.1:1", DataCentre: "a", Slots: 4, State: state, HeartbeatSequence: sequence}
}

func observe(t *testing.T, table *Table, target Target, want Outcome) {
	t.Helper()
	got, err := table.Observe(start, target)
	if err != nil || got != want {
		t.Fatalf("heartbeat %+v: outcome %v, error %v, want outcome %v", target, got, err, want)
	}
}

// Guards against a delayed heartbeat that makes a draining or restarted target ready again.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	table := New()
	observe(t, table, target("a", 10, 1, Ready), Changed)
	observe(t, table, target("a", 10, 2, Ready), Refreshed)
	observe(t, table, target("a", 10, 4, Draining), Changed)
	observe(t, table, target("a", 10, 3, Ready), Stale)
	observe(t, table, target("a", 10, 5, Ready), Refreshed) // draining is final, even if a later heartbeat omits it
	if got := table.Get("a").State; got != Draining {
		t.Fatalf("state %v after draining and a later ready heartbeat, want draining", got)
	}
	observe(t, table, target("a", 20, 1, Ready), Changed) // the next incarnation under the same id
	observe(t, table, target("a", 10, 9, Draining), Stale)
	if got := table.Get("a"); got.State != Ready || got.StartedAtMs != 20 {
		t.Fatalf("entry %+v, want the ready incarnation 20", got)
	}
}

// Guards against losing the only heartbeat that announces draining when a later one overtakes it on the network.
func TestOvertakenDrainingHeartbeatIsApplied(t *testing.T) {
	table := New()
	observe(t, table, target("a", 10, 5, Ready), Changed)
	observe(t, table, target("a", 10, 4, Draining), Changed)
	if got := table.Get("a"); got.State != Draining || got.Target.HeartbeatSequence != 5 {
		t.Fatalf("entry %+v, want draining with heartbeat 5", got)
	}
}

// Guards against a heartbeat, delayed by a network partition, that makes a replaced target ready again although a target
// which started later uses its address.
func TestLaterTargetAtSameAddressReplacesEarlier(t *testing.T) {
	table := New()
	observe(t, table, target("old", 10, 1, Ready), Changed)
	observe(t, table, target("new", 20, 1, Ready), Changed)
	observe(t, table, target("old", 10, 2, Ready), Stale)
	if table.Get("old").State != Gone || table.Get("new").State != Ready {
		t.Fatalf("old %+v, new %+v, want old gone and new ready", table.Get("old"), table.Get("new"))
	}
}

// Guards against routing to a target whose heartbeat, written by another implementation, lacks a required field.
func TestIncompleteHeartbeatsAreRejected(t *testing.T) {
	for field, removeField := range map[string]func(*Target){
		"id":      func(t *Target) { t.ID = "" },
		"start":   func(t *Target) { t.StartedAtMs = 0 },
		"service": func(t *Target) { t.Service = "" },
		"address": func(t *Target) { t.Address = "" },
	} {
		incomplete := target("a", 10, 1, Ready)
		removeField(&incomplete)
		if _, err := New().Observe(start, incomplete); err == nil {
			t.Errorf("a heartbeat without %s was accepted", field)
		}
	}
}

// Guards against a delayed deregistration of an earlier incarnation that removes the current one.
func TestLeaveOfEarlierIncarnationIsIgnored(t *testing.T) {
	table := New()
	observe(t, table, target("a", 20, 1, Ready), Changed)
	if table.Leave(start, "a", 10) || table.Get("a").State != Ready {
		t.Fatal("the deregistration of an earlier incarnation was applied")
	}
	if !table.Leave(start, "a", 20) || table.Get("a").State != Gone {
		t.Fatal("the deregistration of the current incarnation was not applied")
	}
}

// Guards against control instances that never converge after they received the same heartbeats in different order.
// Exchanging deltas must bring both tables to the same state.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeats := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Target {
			b := target(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.Int64Range(1, 4).Draw(t, "startedAtMs"),
				rapid.Uint64Range(1, 5).Draw(t, "sequence"), State(rapid.IntRange(0, 1).Draw(t, "state")))
			b.Address = "10.0.0.1:" + b.ID // a different address for each id
			return b
		}), 1, 12).Draw(t, "heartbeats")
		left, right := New(), New()
		for i := range heartbeats {
			if _, err := left.Observe(start, heartbeats[i]); err != nil {
				t.Fatal(err)
			}
			if _, err := right.Observe(start, heartbeats[len(heartbeats)-1-i]); err != nil {
				t.Fatal(err)
			}
		}
		left.Merge(start, right.Since(start, 0))
		right.Merge(start, left.Since(start, 0))
		for _, id := range []string{"a", "b"} {
			var a, b Target
			if e := left.Get(id); e != nil {
				a = e.Target
			}
			if e := right.Get(id); e != nil {
				b = e.Target
			}
			if diff := cmp.Diff(a, b); diff != "" {
				t.Fatalf("target %s differs between the tables: %s", id, diff)
			}
		}
	})
}

// Guards against deltas that omit changes, and against waking every gateway for a heartbeat without new content.
func TestDeltaSeparatesContentFromHeartbeats(t *testing.T) {
	table := New()
	observe(t, table, target("a", 10, 1, Ready), Changed)
	first := table.Since(start.Add(time.Second), 0)
	if len(first.Targets) != 1 || first.Targets[0].SinceHeartbeatMs != 1000 {
		t.Fatalf("first delta %+v, want one target with a heartbeat age of 1000 ms", first)
	}
	observe(t, table, target("a", 10, 2, Ready), Refreshed)
	second := table.Since(start, first.Change)
	if len(second.Targets) != 0 || len(second.Heartbeats) != 1 || table.ContentChangedAfter(first.Change) {
		t.Fatalf("second delta %+v, want one heartbeat without content change", second)
	}
	other := New()
	if !other.Merge(start.Add(time.Second), first) || other.Merge(start.Add(2*time.Second), second) {
		t.Fatal("merging the first delta must report a content change, and merging the second one must not")
	}
	if got := other.Get("a"); got.Target.HeartbeatSequence != 2 || !got.HeardAt.Equal(start.Add(2*time.Second)) {
		t.Fatalf("merged entry %+v, want heartbeat 2 received after 2 s", got)
	}
	if forgotten := other.Forget(start.Add(time.Hour), time.Minute); len(forgotten) != 1 || other.Get("a") != nil {
		t.Fatalf("forgotten %v, want target a only", forgotten)
	}
}
