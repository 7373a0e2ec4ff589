package roster

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// Guards against compact deltas that leave a gateway with other targets, or with other heartbeat ages, than complete
// ones, and against a malformed delta that fails.
func TestCompactDeltasAgreeWithCompleteOnes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source, compact, complete, gateway := New(), New(), New(), New()
		now := time.Unix(100, 0)
		var compactChange, completeChange, gatewayChange uint64
		for step := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(100 * time.Millisecond)
			target := Target{Key: Key{ID: fmt.Sprint("t", rapid.IntRange(0, 5).Draw(rt, "target")), StartedAtMs: 1}, Service: "s",
				HeartbeatSequence: uint64(step + 1), Models: []Held{{Model: fmt.Sprint("m", rapid.IntRange(0, 1).Draw(rt, "model")),
					Adapters: rapid.SliceOfN(rapid.SampledFrom([]string{"a1", "a2"}), 0, 2).Draw(rt, "adapters")}},
				OnDisk: rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 1, 2).Draw(rt, "on disk")}
			target.Address = target.ID + ":1"
			if _, err := source.Observe(now, target); err != nil {
				rt.Fatal(err)
			}
			if rapid.Bool().Draw(rt, "leave") && step%7 == 0 {
				source.Leave(now, target.ID, 1)
			}
			d := source.CompactSince(now, compactChange)
			compact.Merge(now, d)
			compactChange = d.Change
			d = source.Since(now, completeChange)
			complete.Merge(now, d)
			completeChange = d.Change
			if rapid.Bool().Draw(rt, "gateway follows") {
				d = source.GatewaySince(now, gatewayChange)
				gateway.Merge(now, d)
				gatewayChange = d.Change
			}
		}
		gateway.Merge(now, source.GatewaySince(now, gatewayChange))
		if gateway.TakeMismatch() {
			rt.Fatal("an update did not fit")
		}
		complete.Each(func(e *Entry) bool {
			want := e.Target
			want.OnDisk = nil
			for name, table := range map[string]*Table{"compact": compact, "gateway": gateway} {
				got := table.Get(e.ID)
				if got == nil || name == "compact" && !got.HeardAt.Equal(e.HeardAt) {
					rt.Fatalf("%s: %s table has %+v, complete table %+v", e.ID, name, got, e)
				}
				if diff := cmp.Diff(want, got.Target, cmpopts.EquateEmpty()); diff != "" {
					rt.Fatal(diff)
				}
			}
			return true
		})
		malformed := rapid.SliceOf(rapid.Byte()).Draw(rt, "malformed")
		compact.Merge(now, Delta{PackedHeartbeats: malformed, Adapters: []AdapterUpdate{{Target: 1, Adapters: [][]string{nil}}}})
		compact.MergeDepartures(now, malformed)
	})
}

// Guards against gateways that keep targets which have left, or lose ready ones, by departures that are sent apart from the rest, and
// against an update of adapters that is based on another heartbeat and would be lost.
func TestDeparturesAndUpdatesOfAdapters(t *testing.T) {
	source, gateway := New(), New()
	now := time.Unix(100, 0)
	observe := func(table *Table, id string, sequence uint64, models ...Held) {
		t.Helper()
		target := Target{Key: Key{ID: id, StartedAtMs: 1}, Service: "s", Address: id + ":1", HeartbeatSequence: sequence, Models: models}
		if _, err := table.Observe(now, target); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		observe(source, id, 1, Held{Model: "m"})
	}
	gateway.Merge(now, source.GatewaySince(now, 0))
	known, knownDepartures := source.Change(), source.DepartureChange()
	source.Leave(now, "a", 1)
	source.Drain(now, Key{ID: "b", StartedAtMs: 1})
	later := now.Add(300 * time.Millisecond)
	departed := gateway.MergeDepartures(later, source.DeparturesSince(later, knownDepartures))
	if len(departed) != 2 || gateway.Get("a").State != Gone || gateway.Get("b").State != Draining || gateway.Get("c").State != Ready {
		t.Errorf("departed %v, states %v %v %v", departed, gateway.Get("a").State, gateway.Get("b").State, gateway.Get("c").State)
	}
	if at := gateway.Get("a").DepartedAt; !at.Equal(now) {
		t.Errorf("a left at %v, want %v", at, now)
	}
	if again := source.DeparturesSince(later, source.DepartureChange()); len(again) > 0 {
		t.Errorf("departures are sent again: %v", again)
	}
	observe(source, "c", 2, Held{Model: "m", Adapters: []string{"a1"}})
	observe(gateway, "c", 2, Held{Model: "m"}, Held{Model: "n"}) // received from another instance
	observe(source, "c", 3, Held{Model: "m", Adapters: []string{"a2"}})
	gateway.Merge(later, source.GatewaySince(later, known))
	if !gateway.TakeMismatch() || gateway.TakeMismatch() {
		t.Error("an update that does not fit is not reported, or twice")
	}
}

// Guards against a list of targets that is larger than a frame between processes, which no process could follow any more, and against
// changes or heartbeats that are lost between its parts.
func TestLargeTableIsSentInParts(t *testing.T) {
	const frameBytes = 1 << 20
	source, follower := New(), New()
	now := time.Unix(100, 0)
	observe := func(i, sequence int, model string) {
		t.Helper()
		target := Target{Key: Key{ID: fmt.Sprint("t", i), StartedAtMs: 1}, Service: "s", Address: fmt.Sprint("t:", i), HeartbeatSequence: uint64(sequence),
			Models: []Held{{Model: model, Adapters: []string{strings.Repeat("a", 50_000)}}}}
		if _, err := source.Observe(now, target); err != nil {
			t.Fatal(err)
		}
	}
	const targets = 60
	for i := range targets {
		observe(i, 1, "m")
	}
	var change uint64
	for parts := 0; change < source.Change(); parts++ {
		if parts > 20 {
			t.Fatal("the follower does not catch up")
		}
		d := source.CompactSince(now, change)
		encoded, err := json.Marshal(d)
		if err != nil || len(encoded) > frameBytes {
			t.Fatalf("a delta of %d bytes, error %v", len(encoded), err)
		}
		follower.Merge(now, d)
		change = d.Change
		if parts == 2 { // while the follower catches up
			observe(targets-1, 2, "n")
			observe(0, 2, "m")
			observe(1, 2, "n")
		}
	}
	source.Each(func(e *Entry) bool {
		if got := follower.Get(e.ID); got == nil || !cmp.Equal(e.Target, got.Target) {
			t.Errorf("%s is not as in the table that is followed", e.ID)
		}
		return true
	})
}

// Guards against a list of targets that is larger than a frame although it is not before its encoding: markup takes six times as many
// bytes in JSON, and another writer's heartbeats may hold nothing else.
func TestListOfTargetsWithMarkupFitsIntoAFrame(t *testing.T) {
	const frameBytes = 1 << 20
	source, follower := New(), New()
	now := time.Unix(100, 0)
	for i := range 40 {
		target := Target{Key: Key{ID: fmt.Sprint("t", i), StartedAtMs: 1}, Service: strings.Repeat("<", 60_000), Address: fmt.Sprint("t:", i), HeartbeatSequence: 1}
		if _, err := source.Observe(now, target); err != nil {
			t.Fatal(err)
		}
	}
	var change uint64
	for change < source.Change() {
		d := source.Since(now, change)
		if encoded, err := json.Marshal(d); err != nil || len(encoded) > frameBytes || d.Change == change {
			t.Fatalf("a delta of %d bytes after change %d, error %v", len(encoded), change, err)
		}
		follower.Merge(now, d)
		change = d.Change
	}
	if n := len(follower.entries); n != 40 {
		t.Errorf("%d targets arrived, want 40", n)
	}
}
