package fleetview

import (
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Guards against targets that look unreachable although their heartbeats arrive: a control instance that was the only one to
// receive heartbeats, all without a change, took its targets for gone after 5 s and gave no more orders.
func TestHeartbeatsWithoutChangeUpdateTargets(t *testing.T) {
	v := New(nil, "", nil)
	start := time.Unix(100, 0)
	heartbeat := func(n int) {
		t.Helper()
		_, err := v.ApplyHeartbeat(start.Add(time.Duration(n)*time.Second), roster.Target{Key: roster.Key{ID: "t", StartedAtMs: 1}, Service: "s",
			Address: "t:1", HeartbeatSequence: uint64(n)})
		if err != nil {
			t.Fatal(err)
		}
	}
	for n := 1; n <= 10; n++ {
		heartbeat(n)
		if got := v.Targets()[0].HeardAt.Sub(start); got != time.Duration(n)*time.Second {
			t.Fatalf("last heard at %v after the heartbeat at %d s", got, n)
		}
	}
	changed := v.changed
	heartbeat(11)
	if changed != v.changed {
		t.Error("heartbeat without a change woke pending watches")
	}
}
