package routing

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

var start = time.Unix(1_800_000_000, 0)

const model = "net-assistant"

// list is a Set for tests.
type list []Candidate

func (l list) Len() int           { return len(l) }
func (l list) At(i int) Candidate { return l[i] }
func (l list) Find(target string) (Candidate, bool) {
	for _, c := range l {
		if c.Target == target {
			return c, true
		}
	}
	return Candidate{}, false
}

func replicas(n int) list {
	l := make(list, n)
	for i := range l {
		l[i] = Candidate{
			Target: fmt.Sprint("t", i), DataCentre: "coulee-a", ModelReady: true, Slots: 8,
			LeaseUntil: start.Add(time.Hour), MeasuredAt: start,
		}
	}
	return l
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func request() Request { return Request{Model: model, Units: 100, PromptTokens: 200} }

func pick(t testing.TB, r *Router, rng *rand.Rand, now time.Time, req Request, c Candidates) (Candidate, Scores) {
	t.Helper()
	got, scores, err := r.Pick(now, rng, req, c)
	if err != nil {
		t.Fatal(err)
	}
	return got, scores
}

// Guards against a thundering herd: instances with the same delayed load reports that all pick the target reported as
// least loaded.
func TestInstancesDoNotHerd(t *testing.T) {
	targets := replicas(12)
	for i := range targets {
		targets[i].Reported = 4
	}
	targets[3].Reported = 0
	sent := make(map[string]int)
	for i := range 6 {
		r := New(Options{Instances: 6})
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		for range 8 {
			req := request()
			c, _ := pick(t, r, rng, start.Add(time.Second), req, Candidates{Local: targets})
			r.Started(start.Add(time.Second), c.Target, &req)
			sent[c.Target]++
		}
	}
	// 48 new and 44 reported requests are about 8 for each of the 12 targets.
	if sent["t3"] > 14 {
		t.Fatalf("the target reported as least loaded got %d of 48 requests, want at most 14: %v", sent["t3"], sent)
	}
}

// Guards against requests to ineligible targets: leaving, lease expired, model not ready or excluded.
func TestIneligibleTargetsAreNotPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := replicas(rapid.IntRange(1, 40).Draw(t, "targets"))
		req := request()
		eligible := 0
		for i := range targets {
			switch rapid.IntRange(0, 5).Draw(t, "state") {
			case 0:
				targets[i].Leaving = true
			case 1:
				targets[i].LeaseUntil = start.Add(-time.Millisecond)
			case 2:
				targets[i].ModelReady = false
			case 3:
				req.Exclude = append(req.Exclude, targets[i].Target)
			default:
				eligible++
			}
		}
		got, scores, err := New(Options{}).Pick(start, newRand(), req, Candidates{Local: targets})
		if err == nil {
			v := View{Candidate: got}
			if !(LeaseAndResidency{}).Keep(start, &req, &v) {
				t.Fatalf("picked the ineligible target %+v", got)
			}
		} else if eligible == len(targets) {
			t.Fatalf("picked none of %d eligible targets", eligible)
		}
		if scores.Considered > maxSampleSize {
			t.Fatalf("considered %d candidates, want at most maxSampleSize", scores.Considered)
		}
	})
}

// Guards against decisions by delayed load reports alone: the instance's own requests since the report must be added.
func TestOwnRequestsCorrectLoadReports(t *testing.T) {
	targets := replicas(2)
	targets[0].Reported, targets[1].Reported = 0, 3
	r := New(Options{})
	req := request()
	for range 8 {
		r.Started(start.Add(time.Second), "t0", &req)
	}
	c, _ := pick(t, r, newRand(), start.Add(1100*time.Millisecond), req, Candidates{Local: targets})
	if c.Target != "t1" {
		t.Fatalf("picked %s although 8 own requests are in flight there, want t1", c.Target)
	}
	for range 8 {
		r.Finished(start.Add(2*time.Second), Finish{Target: "t0", Model: model, Answered: true, Units: 100, Service: time.Second})
	}
	if c, _ = pick(t, r, newRand(), start.Add(2*time.Second), req, Candidates{Local: targets}); c.Target != "t0" {
		t.Fatalf("picked %s although t0 is idle again, want t0", c.Target)
	}
}

// Guards against ignoring the prefix cache, and against full confidence in entries after a gap in the cache events, an
// event out of order or a restart of the target.
func TestPickPrefersPrefixHolder(t *testing.T) {
	targets := replicas(200)
	req := request()
	req.PromptTokens, req.PrefixHashes, req.BlockTokens = 2000, []uint64{11, 12, 13}, 600
	stored := func(sequence, hash uint64) *targetapi.CacheEvents {
		return &targetapi.CacheEvents{Incarnation: 1, Events: []targetapi.CacheEvent{
			{Sequence: sequence, Kind: targetapi.Stored, Model: model, PrefixHash: hash}}}
	}
	r := New(Options{})
	r.CacheEvents(start, "t150", stored(1, 12))
	if c, _ := pick(t, r, newRand(), start, req, Candidates{Local: targets}); c.Target != "t150" {
		t.Fatalf("picked %s, want t150, which holds the prefix", c.Target)
	}
	before := r.prefixes.find(start, model, req.PrefixHashes, nil)[0].confidence
	r.CacheEvents(start, "t150", stored(9, 99))
	after := r.prefixes.find(start, model, req.PrefixHashes, nil)[0].confidence
	if after >= before {
		t.Errorf("confidence %v after a gap in the cache events, want less than %v", after, before)
	}
	r.CacheEvents(start, "t150", &targetapi.CacheEvents{Incarnation: 1, Events: []targetapi.CacheEvent{
		{Sequence: 12, Kind: targetapi.Evicted, Model: model, PrefixHash: 12}}})
	r.CacheEvents(start, "t150", stored(11, 12))
	if found := r.prefixes.find(start, model, req.PrefixHashes, nil); len(found) > 0 {
		t.Errorf("an event out of order restored an evicted prefix: %+v", found)
	}
	r.CacheEvents(start, "t150", stored(13, 12))
	r.CacheEvents(start, "t150", &targetapi.CacheEvents{Incarnation: 2, Events: []targetapi.CacheEvent{
		{Sequence: 1, Kind: targetapi.Stored, Model: model, PrefixHash: 500}}})
	if found := r.prefixes.find(start, model, req.PrefixHashes, nil); len(found) > 0 {
		t.Errorf("a prefix entry is still valid after the restart of its target: %+v", found)
	}
}

// Guards against loading an adapter on one replica although another one holds it.
func TestPickPrefersAdapterHolder(t *testing.T) {
	targets := replicas(100)
	targets[42].AdapterReady = true
	req := request()
	req.Adapter = "crew-7"
	// The tolerance is below the cost of an adapter load, since the scores differ by 10 ms only.
	r := New(Options{Tolerance: 0.0001})
	c, _ := pick(t, r, newRand(), start, req, Candidates{Local: targets, WithAdapter: targets[42:43]})
	if c.Target != "t42" {
		t.Fatalf("picked %s, want t42, which holds the adapter", c.Target)
	}
}

// Guards against requests that stay in a full data centre, and against requests that still go to a remote one when the
// local one has free slots again.
func TestSpillToAnotherDataCentreAndBack(t *testing.T) {
	local, remote := replicas(4), replicas(4)
	for i := range local {
		local[i].Reported = 16
		remote[i].Target, remote[i].DataCentre = fmt.Sprint("r", i), "ridge-b"
	}
	c := Candidates{Local: local, Remote: []Set{remote}}
	r := New(Options{})
	if got, scores := pick(t, r, newRand(), start, request(), c); got.DataCentre != "ridge-b" || !scores.Remote {
		t.Fatalf("picked %s while the local data centre is full, want a remote target", got.Target)
	}
	for i := range local {
		local[i].Reported = 2
	}
	if got, _ := pick(t, r, newRand(), start, request(), c); got.DataCentre != "coulee-a" {
		t.Fatalf("picked %s after the local data centre had free slots again, want a local target", got.Target)
	}
}

type fakeHealth struct {
	slow string
	due  bool
}

func (h *fakeHealth) Straggling(_ time.Time, target string) bool { return target == h.slow }
func (h *fakeHealth) ClaimProbe(_ time.Time, target string) bool { return h.due && target == h.slow }

// Guards against requests to a known straggler, against a straggler that is never probed, and against rejecting
// requests when only stragglers are left.
func TestStragglersAreAvoidedAndProbed(t *testing.T) {
	h := &fakeHealth{slow: "t1"}
	r := New(Options{Health: h})
	targets := replicas(2)
	targets[0].Reported = 7
	req := request()
	req.MayProbe = true
	if c, _ := pick(t, r, newRand(), start, req, Candidates{Local: targets}); c.Target != "t0" {
		t.Fatalf("picked the straggler t1, want t0")
	}
	h.due = true
	if c, s := pick(t, r, newRand(), start, req, Candidates{Local: targets}); c.Target != "t1" || !s.Probe {
		t.Fatalf("the straggler t1 was not probed although its probe was due")
	}
	h.due = false
	if c, _ := pick(t, r, newRand(), start, req, Candidates{Local: targets[1:]}); c.Target != "t1" {
		t.Fatalf("t1, the only target, was not picked")
	}
}

// Guards against several long requests on one replica while others have none.
func TestLongRequestsAreSpread(t *testing.T) {
	r := New(Options{})
	targets := replicas(4)
	req := request()
	req.Long = true
	rng := newRand()
	for range 8 {
		c, _ := pick(t, r, rng, start, req, Candidates{Local: targets})
		r.Started(start, c.Target, &req)
	}
	for i := range targets {
		var v View
		v.Candidate = targets[i]
		r.observer.fill(start, &v, modelAverages{}, 1, 0)
		if v.OwnLongInFlight > 2 {
			t.Fatalf("%d long requests on %s with 8 slots, want at most 2", v.OwnLongInFlight, v.Target)
		}
	}
}

// Guards against lost updates of the in-flight counts when requests start and end concurrently; run with -race.
func TestConcurrentUseKeepsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{})
		targets := replicas(10)
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(i), 1))
				req := request()
				req.PrefixHashes, req.BlockTokens = []uint64{uint64(i)}, 16
				for range 500 {
					c, _, err := r.Pick(start, rng, req, Candidates{Local: targets})
					if err != nil {
						t.Error(err)
						return
					}
					r.Started(start, c.Target, &req)
					r.Finished(start, Finish{Target: c.Target, Model: model, Answered: true, Units: 100, Service: time.Second})
				}
			})
		}
		wg.Wait()
		for _, c := range targets {
			if n := r.InFlight(c.Target); n != 0 {
				t.Errorf("%s has %d requests in flight after all ended, want 0", c.Target, n)
			}
		}
	})
}

// indexedList is a Set with a constant-time Find, like the membership table.
type indexedList struct {
	list
	byName map[string]int
}

func (s *indexedList) Find(target string) (Candidate, bool) {
	i, ok := s.byName[target]
	if !ok {
		return Candidate{}, false
	}
	return s.list[i], true
}

// Measures that the cost of a decision does not grow with the number of replicas.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 860} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(Options{Instances: 6})
			targets := &indexedList{list: replicas(n), byName: make(map[string]int)}
			for i, c := range targets.list {
				targets.byName[c.Target] = i
			}
			rng := newRand()
			req := request()
			req.PrefixHashes, req.BlockTokens = []uint64{1, 2, 3, 4}, 16
			c := Candidates{Local: targets}
			now := start
			b.ReportAllocs()
			for range b.N {
				now = now.Add(time.Millisecond)
				got, _, err := r.Pick(now, rng, req, c)
				if err != nil {
					b.Fatal(err)
				}
				r.Started(now, got.Target, &req)
				r.Finished(now, Finish{Target: got.Target, Model: model, Answered: true, Units: 100, Service: time.Second})
			}
		})
	}
}
