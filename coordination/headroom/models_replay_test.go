package headroom_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/headroom"
)

// modelQueue is a model whose requests wait for the slots of its copies, in the order of arrival.
type modelQueue struct {
	name       string
	streamTime time.Duration // at nominal speed
	copies     []headroom.Copy
	perSecond  float64
	patience   time.Duration

	ends    [][]time.Time // of running requests, by copy
	waiting []expectation
	// predicted and waited are sums over the requests that waited, refused are requests that would have been refused on arrival, and
	// wronglyRefused those of them that would have been served within their patience.
	predicted, waited                 time.Duration
	requests, refused, wronglyRefused int
}

type expectation struct {
	arrived time.Time
	wait    time.Duration
}

// advance ends requests, starts those that wait and adds those that arrive, all of which wait. Requests are observed under the name
// that observedAs gives their model.
func (m *modelQueue) advance(now time.Time, rng *rand.Rand, times *headroom.ServiceTimes, observedAs func(string) string) {
	for i, c := range m.copies {
		var kept []time.Time
		for _, end := range m.ends[i] {
			if end.After(now) {
				kept = append(kept, end)
			}
		}
		m.ends[i] = kept
		for len(m.ends[i]) < c.Slots && len(m.waiting) > 0 {
			m.start(now, rng, i, times, observedAs(m.name))
		}
	}
	for n := m.perSecond * step.Seconds(); rng.Float64() < n; n-- {
		wait := headroom.ExpectedWait(headroom.Queue{Other: len(m.waiting)}, headroom.Queue{}, false, m.copies, times.Mean("s", observedAs(m.name)))
		m.waiting = append(m.waiting, expectation{now, wait})
	}
}

func (m *modelQueue) start(now time.Time, rng *rand.Rand, target int, times *headroom.ServiceTimes, observedAs string) {
	first := m.waiting[0]
	m.waiting = m.waiting[1:]
	waited := now.Sub(first.arrived)
	m.predicted, m.waited, m.requests = m.predicted+first.wait, m.waited+waited, m.requests+1
	if headroom.Refuse(first.wait, m.patience, 1) {
		m.refused++
		if waited <= m.patience {
			m.wronglyRefused++
		}
	}
	nominal := time.Duration((0.6 + 0.8*rng.Float64()) * float64(m.streamTime))
	speed := m.copies[target].Speed
	m.ends[target] = append(m.ends[target], now.Add(time.Duration(float64(nominal)/speed)))
	times.Observe("s", observedAs, nominal)
}

// waitReplay plays 20 s of a service with a model with short streams and one whose streams are seven times as long. Both get as many
// requests as their copies serve, after a queue of 1 s has formed, which is half of the patience of callers. None leaves, so that the
// wait of each is known.
func waitReplay(seed uint64, observedAs func(string) string) (short, long *modelQueue) {
	rng := rand.New(rand.NewPCG(seed, 3))
	copies := []headroom.Copy{{Slots: slots, Speed: 0.6}, {Slots: slots, Speed: 0.6}, {Slots: slots, Speed: 0.8}}
	const (
		capacity = slots * (0.6 + 0.6 + 0.8)
		queued   = 1000 * time.Millisecond
	)
	model := func(name string, streamTime time.Duration) *modelQueue {
		m := &modelQueue{name: name, streamTime: streamTime, copies: copies, perSecond: capacity / streamTime.Seconds(),
			patience: patience, ends: make([][]time.Time, len(copies))}
		for range int(capacity * (1 + queued.Seconds()/streamTime.Seconds())) {
			m.waiting = append(m.waiting, expectation{time.Unix(1_700_000_000, 0), 0})
		}
		return m
	}
	short, long = model("short", 250*time.Millisecond), model("long", 1750*time.Millisecond)
	times := headroom.NewServiceTimes()
	now := time.Unix(1_700_000_000, 0)
	for start := now; now.Sub(start) < 20*time.Second; now = now.Add(step) {
		if now.Sub(start) == 5*time.Second { // the service times are known
			for _, m := range []*modelQueue{short, long} {
				m.predicted, m.waited, m.requests, m.refused, m.wronglyRefused = 0, 0, 0, 0, 0
			}
		}
		short.advance(now, rng, times, observedAs)
		long.advance(now, rng, times, observedAs)
	}
	return short, long
}

// Guards against a wait that is predicted from the mean of a service whose models take different times, or from the number of copies
// whatever their speed: requests for a model with short streams were refused although they would have been served within a fraction
// of their callers' patience.
func TestWaitIsPredictedByModel(t *testing.T) {
	const maxError = 0.25
	for seed := range uint64(3) {
		short, long := waitReplay(seed, func(model string) string { return model })
		for _, m := range []*modelQueue{short, long} {
			ratio := float64(m.predicted) / float64(m.waited)
			t.Logf("seed %d, %s: predicted %v, waited %v on average; %d of %d refused, %d of them wrongly", seed, m.name,
				m.predicted/time.Duration(m.requests), m.waited/time.Duration(m.requests), m.refused, m.requests, m.wronglyRefused)
			if ratio < 1-maxError || ratio > 1+maxError {
				t.Errorf("seed %d, %s: the predicted wait is %.2f of that measured", seed, m.name, ratio)
			}
		}
		if short.wronglyRefused > 0 {
			t.Errorf("seed %d: %d requests for the short model are refused although they can be served in time", seed, short.wronglyRefused)
		}
		// All requests under one name give the mean of the service, as before service times were kept by model.
		before, _ := waitReplay(seed, func(string) string { return "" })
		t.Logf("seed %d, by service: %d of %d requests for the short model are refused, %d of them wrongly", seed, before.refused, before.requests, before.wronglyRefused)
		if before.wronglyRefused == 0 {
			t.Errorf("seed %d: no request for the short model is refused because of the mean of the service, so this replay shows nothing", seed)
		}
	}
}
