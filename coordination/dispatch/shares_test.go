package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// Guards against a gateway that serves nothing until there is a leader again: the loads of the others as last known do not fall while
// there is none, so a target that was full when the leader was lost counts as full for as long as that lasts.
func TestTargetsThatWereFullAreUsedWithoutLeader(t *testing.T) {
	tracker, rng, targets := NewLoadTracker("g"), newRand(), engines(1)
	tracker.SetPeerObservations(map[string]Observation{"t0": {Load: Load{Running: 8}}}, nil)
	now := start
	for ; now.Before(start.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
		tracker.SetPeerObservations(nil, nil)
		q := Query{Service: "s", Model: "m", MaxPerSlot: 1,
			Sharing: &Sharing{Part: 0.5, PartUnknown: 1.0 / 3, ServiceTime: time.Second, Waiting: 2}}
		if got, _ := tracker.Pick(now, rng, q, roster.NewIndex(targets)); got != nil {
			return
		}
	}
	t.Errorf("no request was sent to an engine with 8 slots, which three gateways share, for %v without a leader", now.Sub(start))
}

// Guards against gateways that send to one free slot together because another target, which takes no requests now, has free slots too.
func TestOnlySlotsThatCanBeTakenCountAsFree(t *testing.T) {
	const gateways, part = 400, 0.1
	sent := 0
	for seed := range uint64(gateways) {
		tracker, targets := NewLoadTracker("g"), engines(2)
		tracker.SetPeerObservations(map[string]Observation{"t0": {}, "t1": {Load: Load{Running: 7}}}, nil)
		tracker.LeaveAlone("t0", start.Add(time.Minute))
		q := Query{Service: "s", Model: "m", MaxPerSlot: 1, Sharing: &Sharing{Part: part, PartUnknown: part, Waiting: 8}}
		if got, _ := tracker.Pick(start, rand.New(rand.NewPCG(seed, 1)), q, roster.NewIndex(targets)); got != nil {
			sent++
		}
	}
	if want := gateways * part; float64(sent) > 2*want {
		t.Errorf("%d of %d gateways send to one free slot, each of which has a part of %v in it", sent, gateways, part)
	}
}

// Guards against shares that bind while targets are idle: a target that no gateway has used since this one started has no load, so all
// of its slots are free.
func TestSlotsOfTargetsNotYetUsedCountAsFree(t *testing.T) {
	const gateways, part = 400, 0.1
	sent := 0
	for seed := range uint64(gateways) {
		tracker, targets := NewLoadTracker("g"), engines(1)
		tracker.SetPeerObservations(map[string]Observation{}, nil)
		q := Query{Service: "s", Model: "m", MaxPerSlot: 0.75, Sharing: &Sharing{Part: part, PartUnknown: part, Waiting: 3}}
		if got, _ := tracker.Pick(start, rand.New(rand.NewPCG(seed, 1)), q, roster.NewIndex(targets)); got != nil {
			sent++
		}
	}
	if sent < gateways {
		t.Errorf("%d of %d gateways send to an idle engine with 8 slots, for which three requests wait", sent, gateways)
	}
}
