package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
)

// brittleTarget is a target that falls over when it has to reject more than a number of requests in a second.
type brittleTarget struct {
	slots, waiting int
	maxRejections  int
	ends           []time.Time // of the requests that it holds
	rejected       []time.Time
	downUntil      time.Time
	falls          int
}

const (
	brittleDowntime    = 3 * time.Second
	brittleServiceTime = 1500 * time.Millisecond
)

// arrive handles a request and reports whether it is accepted.
func (t *brittleTarget) arrive(now time.Time, rng *rand.Rand) bool {
	held := t.ends[:0]
	for _, end := range t.ends {
		if end.After(now) {
			held = append(held, end)
		}
	}
	t.ends = held
	if len(t.ends) < t.slots+t.waiting {
		service := time.Duration((0.5 + rng.Float64()) * float64(brittleServiceTime))
		if len(t.ends) >= t.slots {
			service += brittleServiceTime / 10 // until a slot is free
		}
		t.ends = append(t.ends, now.Add(service))
		return true
	}
	t.rejected = append(t.rejected, now)
	for now.Sub(t.rejected[0]) > time.Second {
		t.rejected = t.rejected[1:]
	}
	if len(t.rejected) > t.maxRejections {
		t.falls++
		t.downUntil, t.ends, t.rejected = now.Add(brittleDowntime), nil, nil
	}
	return false
}

// sentRequest is a request at a target.
type sentRequest struct {
	target   int
	inFlight *InFlightRequest
	end      time.Time
	rejected bool
}

// brittleFleet is a number of gateways in front of brittle targets under more load than these bear.
type brittleFleet struct {
	rng      *rand.Rand
	now      time.Time
	trackers []*LoadTracker
	sent     [][]sentRequest // by gateway
	waiting  []int           // requests that wait, by gateway
	targets  []*brittleTarget
	entries  []roster.Entry
	served   int
	reported []map[string]Observation // by gateway, its latest report
}

func newBrittleFleet(gateways, targets, slots, maxRejections int) *brittleFleet {
	f := &brittleFleet{rng: rand.New(rand.NewPCG(3, 9)), now: time.Unix(1000, 0), waiting: make([]int, gateways), sent: make([][]sentRequest, gateways),
		reported: make([]map[string]Observation, gateways)}
	for i := range gateways {
		f.trackers = append(f.trackers, NewLoadTracker(fmt.Sprint("g", i)))
	}
	for i := range targets {
		f.targets = append(f.targets, &brittleTarget{slots: slots, waiting: 1, maxRejections: maxRejections})
		f.entries = append(f.entries, roster.Entry{Target: roster.Target{Key: roster.Key{ID: fmt.Sprint("t", i), StartedAtMs: 1}, Service: "s",
			Slots: slots, Models: []roster.Held{{Model: "m"}}}, HeardAt: f.now})
	}
	return f
}

// step advances a gateway by one poll: it ends requests, and sends as many of the waiting ones as it finds targets for.
func (f *brittleFleet) step(gateway int) {
	tracker := f.trackers[gateway]
	var kept []sentRequest
	for _, r := range f.sent[gateway] {
		switch {
		case r.end.After(f.now):
			kept = append(kept, r)
			continue
		case r.rejected:
			tracker.Finish(f.now, r.inFlight, Neutral)
			tracker.RecordRejection(f.now, "s", f.entries[r.target].ID)
			f.waiting[gateway]++
		default:
			tracker.FirstByte(f.now, r.inFlight, time.Second)
			tracker.Finish(f.now, r.inFlight, Complete)
			f.served++
		}
	}
	f.sent[gateway] = kept
	for n := f.waiting[gateway]; n > 0; n-- {
		query := Query{Service: "s", Model: "m", Tokens: 500, MaxPerSlot: MaxEngineRequestsPerSlot(0)}
		if len(f.trackers) > 66 {
			query.Choices = 3
		}
		for i := range f.entries {
			f.entries[i].HeardAt = f.now
		}
		picked, _ := tracker.Pick(f.now, f.rng, query, roster.NewIndex(f.entries))
		if picked == nil {
			return
		}
		f.waiting[gateway]--
		f.send(gateway, picked)
	}
}

func (f *brittleFleet) send(gateway int, picked *roster.Entry) {
	number := numberOf(picked.ID)
	t := f.targets[number]
	tracker := f.trackers[gateway]
	r := sentRequest{target: number, inFlight: tracker.Start(f.now, picked.ID, "m", 500)}
	switch {
	case t.downUntil.After(f.now):
		tracker.Finish(f.now, r.inFlight, Unreachable)
		f.waiting[gateway]++
		return
	case t.arrive(f.now, f.rng):
		r.end = t.ends[len(t.ends)-1]
	default:
		r.rejected, r.end = true, f.now.Add(time.Millisecond)
	}
	f.sent[gateway] = append(f.sent[gateway], r)
}

func numberOf(id string) (number int) {
	_, _ = fmt.Sscanf(id, "t%d", &number)
	return number
}

// report exchanges the load of one gateway for the loads that the others reported last.
func (f *brittleFleet) report(gateway int, withoutLeader bool) {
	if withoutLeader {
		f.trackers[gateway].SetPeerObservations(nil, nil)
		return
	}
	f.reported[gateway] = f.trackers[gateway].OwnObservations(f.now)
	others := make(map[string]Observation)
	for i, observed := range f.reported {
		if i == gateway {
			continue
		}
		for id, o := range observed {
			sum := others[id]
			sum.add(o.Load, 1)
			sum.FailurePenaltyMs = max(sum.FailurePenaltyMs, o.FailurePenaltyMs)
			others[id] = sum
		}
	}
	f.trackers[gateway].SetPeerObservations(others, nil)
}

// Guards against targets that fall over because gateways together send them more than they have room for, at loads that no choice
// of a target can serve.
func TestBrittleTargetsStayUp(t *testing.T) {
	const (
		targets, slots = 18, 32
		period         = 10 * time.Second
		poll           = 10 * time.Millisecond
	)
	for _, c := range []struct {
		gateways, maxRejections int
		withoutLeader           bool
		wantShare               float64 // of the capacity
	}{{6, 3, false, 0.7}, {6, 8, false, 0.7}, {84, 3, false, 0.7}, {84, 8, false, 0.7}, {6, 3, true, 0.6}, {84, 3, true, 0.4}} {
		t.Run(fmt.Sprintf("%d gateways, %d rejections, without leader: %v", c.gateways, c.maxRejections, c.withoutLeader), func(t *testing.T) {
			gateways, maxRejections := c.gateways, c.maxRejections
			f := newBrittleFleet(gateways, targets, slots, maxRejections)
			for _, tracker := range f.trackers {
				tracker.SetPeerBrittle(f.now, map[string]int{"s": maxRejections})
				tracker.SetGateways(gateways)
			}
			perSecond := 1.5 * targets * slots / brittleServiceTime.Seconds()
			reportInterval := max(100*time.Millisecond, time.Duration(gateways)*1500*time.Microsecond)
			nextReports := make([]time.Time, gateways)
			for g := range nextReports {
				nextReports[g] = f.now.Add(time.Duration(f.rng.Int64N(int64(reportInterval))))
			}
			for start := f.now; f.now.Sub(start) < period; f.now = f.now.Add(poll) {
				for g, tracker := range f.trackers {
					if !f.now.Before(nextReports[g]) {
						f.report(g, c.withoutLeader)
						nextReports[g] = f.now.Add(reportInterval)
					}
					for _, id := range tracker.TakeDueProbes(f.now) {
						tracker.RecordProbe(f.now, id, !f.targets[numberOf(id)].downUntil.After(f.now))
					}
					if mean := perSecond * poll.Seconds() / float64(gateways); f.rng.Float64() < mean-float64(int(mean)) {
						f.waiting[g]++
					} else {
						f.waiting[g] += int(mean)
					}
					f.waiting[g] = min(f.waiting[g], 50) // the others are refused
				}
				for _, g := range f.rng.Perm(gateways) {
					f.step(g)
				}
			}
			falls := 0
			for _, target := range f.targets {
				falls += target.falls
			}
			capacity := targets * slots * period.Seconds() / brittleServiceTime.Seconds()
			t.Logf("%d targets fell over, %.2f of the capacity was served", falls, float64(f.served)/capacity)
			if allowed := 2 + targets/10; falls > allowed {
				t.Errorf("targets fell over %d times, at most %d allowed", falls, allowed)
			}
			if share := float64(f.served) / capacity; share < c.wantShare {
				t.Errorf("%.2f of the capacity was used, at least %.1f wanted", share, c.wantShare)
			}
		})
	}
}

// Guards against a service that stays restricted for good, or whose targets are sent too much because another gateway heard that they
// are brittle.
func TestBrittleServices(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }
	tracker := NewLoadTracker("g")
	require := func(what string, want int) {
		t.Helper()
		if got := tracker.brittle["s"]; got != want {
			t.Errorf("%s: %d rejections, want %d", what, got, want)
		}
	}
	if tracker.ObserveBrittle(at(0), at(0), "s", "t0", 0) {
		t.Error("an answer without a number is news")
	}
	if !tracker.ObserveBrittle(at(2), at(1), "s", "t0", 5) || !tracker.ObserveBrittle(at(2), at(1), "s", "t1", 3) {
		t.Error("a number is no news")
	}
	require("two targets", 3)
	tracker.ObserveBrittle(at(3), at(0), "s", "t1", 0)
	require("an older answer without a number", 3)
	tracker.ObserveBrittle(at(3), at(2), "s", "t1", 0)
	require("one target less", 5)
	tracker.SetPeerBrittle(at(3), map[string]int{"s": 2, "other": 1})
	require("heard by another gateway", 2)
	if own := tracker.OwnBrittle(at(4)); own["s"] != 5 || len(own) != 1 {
		t.Errorf("own observations %v, want 5 for s only", own)
	}
	tracker.SetPeerBrittle(at(4), nil)
	require("own only", 5)
	if own := tracker.OwnBrittle(at(40)); len(own) != 0 {
		t.Errorf("own observations %v long after the last answer", own)
	}
	require("not heard again", 0)
}
