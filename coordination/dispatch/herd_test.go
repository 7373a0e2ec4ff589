package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Guards against hundreds of gateways that all send to the target that was the least loaded one in the last report: with
// reports half a second old, one target got nearly all requests of that time.
func TestGatewaysWithOldReportsSpreadRequests(t *testing.T) {
	const (
		targets            = 20
		slots              = 12
		requestsPerReport  = 60
		maxRequestsPerSlot = 1.5
	)
	now := time.Unix(100, 0)
	rng := rand.New(rand.NewPCG(7, 8))
	entries := make([]roster.Entry, targets)
	reported := make(map[string]Observation)
	for i := range entries {
		id := fmt.Sprint("t", i)
		entries[i] = roster.Entry{Target: roster.Target{Key: roster.Key{ID: id, StartedAtMs: 1}, Service: "s", Slots: slots,
			Models: []roster.Held{{Model: "m"}}}, HeardAt: now}
		reported[id] = Observation{Load: Load{Running: 8}}
	}
	delete(reported, "t0") // has just loaded the model
	sent := make(map[string]int)
	for i := range requestsPerReport {
		// Each request reaches another gateway, which knows the report and its own requests only.
		tracker := NewLoadTracker(fmt.Sprint("g", i))
		tracker.SetPeerObservations(reported, nil)
		picked, reason := tracker.Pick(now, rng, Query{Service: "s", Model: "m", Tokens: 500, Choices: 3, MaxPerSlot: maxRequestsPerSlot}, roster.NewIndex(entries))
		if picked == nil {
			t.Fatal(reason)
		}
		sent[picked.ID]++
	}
	for id, n := range sent {
		if running := reported[id].Running + n; running > slots*maxRequestsPerSlot {
			t.Errorf("%s got %d of %d requests between two reports and runs %d, limit %v", id, n, requestsPerReport, running, slots*maxRequestsPerSlot)
		}
	}
}

// Guards against a gateway that opens a new connection for nearly every request, although it has idle ones to targets that
// are as lightly loaded.
func TestGatewayKeepsToConnectedTargets(t *testing.T) {
	now := time.Unix(100, 0)
	rng := rand.New(rand.NewPCG(9, 8))
	entries := make([]roster.Entry, 40)
	for i := range entries {
		id := fmt.Sprint("t", i)
		entries[i] = roster.Entry{Target: roster.Target{Key: roster.Key{ID: id, StartedAtMs: 1}, Service: "s", Slots: 12, Address: id}, HeardAt: now}
	}
	for _, test := range []struct {
		choices, maxConnections int
	}{{0, 25}, {3, 3}} {
		tracker := NewLoadTracker("g")
		connected := make(map[string]bool)
		for range 200 {
			q := Query{Service: "s", Choices: test.choices, Connected: func(address string) bool { return connected[address] }}
			picked, reason := tracker.Pick(now, rng, q, roster.NewIndex(entries))
			if picked == nil {
				t.Fatal(reason)
			}
			connected[picked.Address] = true
		}
		if len(connected) > test.maxConnections {
			t.Errorf("%d choices: connections to %d targets for 200 requests one after the other, want at most %d", test.choices, len(connected), test.maxConnections)
		}
	}
}
