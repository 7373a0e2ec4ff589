package roster

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against compact deltas that leave a gateway with other targets, or with other heartbeat ages, than complete
// ones, and against a malformed delta that fails.
func TestCompactDeltasAgreeWithCompleteOnes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source, compact, complete := New(), New(), New()
		now := time.Unix(100, 0)
		var compactChange, completeChange uint64
		for step := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(100 * time.Millisecond)
			target := Target{Key: Key{ID: fmt.Sprint("t", rapid.IntRange(0, 5).Draw(rt, "target")), StartedAtMs: 1}, Service: "s",
				HeartbeatSequence: uint64(step + 1), Models: []Held{{Model: fmt.Sprint("m", rapid.IntRange(0, 1).Draw(rt, "model"))}},
				OnDisk: []string{"x"}}
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
		}
		complete.Each(func(e *Entry) bool {
			want, got := e.Target, compact.Get(e.ID)
			want.OnDisk = nil
			if got == nil || !got.HeardAt.Equal(e.HeardAt) {
				rt.Fatalf("%s: compact table has %+v, complete table %+v", e.ID, got, e)
			}
			if diff := cmp.Diff(want, got.Target); diff != "" {
				rt.Fatal(diff)
			}
			return true
		})
		compact.Merge(now, Delta{PackedHeartbeats: rapid.SliceOf(rapid.Byte()).Draw(rt, "malformed")})
	})
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
