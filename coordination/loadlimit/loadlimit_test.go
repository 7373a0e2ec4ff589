package loadlimit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/coordination/lossynet"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runningLoad is a load as the weight store or the targets see it.
type runningLoad struct {
	id    string
	kind  Kind
	until time.Duration
}

// simDataCentre is a data centre whose clock runs at a rate of its own.
type simDataCentre struct {
	name    string
	rate    float64
	epoch   uint64
	limiter *Limiter
	running []runningLoad
	// unsettled are the started loads whose end has not been reported. They survive a restart.
	unsettled        map[string]Kind
	partitionedUntil time.Duration
	demand           float64
}

func (c *simDataCentre) clock(t time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(t) * c.rate))
}

type deployment struct {
	t           *rapid.T
	random      *rand.Rand
	now         time.Duration
	limits      Limits
	names       []string
	dataCentres []*simDataCentre
	network     *lossynet.Network
	// reports carries the ends of loads, which are delayed but never lost.
	reports *lossynet.Network
	starts  []time.Duration
	peak    map[Kind]int
	loans   int
	ids     int
}

func (d *deployment) restart(c *simDataCentre) {
	c.epoch++
	limiter, err := New(c.clock(d.now), c.name, c.epoch, d.names, d.limits)
	if err != nil {
		d.t.Fatal(err)
	}
	for _, id := range slices.Sorted(maps.Keys(c.unsettled)) {
		limiter.AddRunning(id, c.unsettled[id])
	}
	c.limiter = limiter
}

// send posts a message that is not delivered while either side is partitioned.
func (d *deployment) send(from, to string, run func(c *simDataCentre)) {
	d.network.Post(d.now, func() {
		sender, receiver := d.dataCentres[slices.Index(d.names, from)], d.dataCentres[slices.Index(d.names, to)]
		if sender.partitionedUntil <= d.now && receiver.partitionedUntil <= d.now {
			run(receiver)
		}
	})
}

func (d *deployment) tick(c *simDataCentre) {
	now := c.clock(d.now)
	for i := 0; i < len(c.running); i++ {
		if r := c.running[i]; r.until <= d.now {
			c.running = append(c.running[:i], c.running[i+1:]...)
			i--
			d.reports.Post(d.now, func() {
				delete(c.unsettled, r.id)
				c.limiter.Finish(c.clock(d.now), r.id)
			})
		}
	}
	var loads []Load
	kinds := map[string]Kind{}
	for range 4 {
		if d.random.Float64() < c.demand {
			d.ids++
			kind := []Kind{Weights, Adapters}[d.random.IntN(2)]
			load := Load{ID: fmt.Sprint(d.ids), Kind: kind, Urgent: d.random.IntN(2) == 0}
			loads, kinds[load.ID] = append(loads, load), kind
		}
	}
	for _, id := range c.limiter.Start(now, loads) {
		length := time.Duration(d.random.Int64N(int64(MaxLoadTime * 9 / 10)))
		c.running = append(c.running, runningLoad{id, kinds[id], d.now + length})
		c.unsettled[id] = kinds[id]
		if kinds[id] == Weights {
			d.starts = append(d.starts, d.now)
		}
	}
	requests, returns := c.limiter.Tick(now)
	for _, r := range requests {
		d.send(c.name, r.To, func(lender *simDataCentre) {
			response := lender.limiter.Lend(lender.clock(d.now), r)
			d.loans += btoi(response.Slots > 0)
			d.send(lender.name, response.To, func(c *simDataCentre) { c.limiter.HandleBorrowResponse(c.clock(d.now), response) })
		})
	}
	for _, r := range returns {
		d.send(c.name, r.To, func(c *simDataCentre) { c.limiter.HandleReturn(c.clock(d.now), r) })
	}
}

func (d *deployment) check() {
	running := map[Kind]int{}
	for _, c := range d.dataCentres {
		for _, r := range c.running {
			running[r.kind]++
		}
	}
	for kind, limit := range map[Kind]int{Weights: d.limits.WeightLoads, Adapters: d.limits.AdapterLoads} {
		if running[kind] > limit {
			d.t.Fatalf("at %v %d %s loads are in flight, the limit is %d", d.now, running[kind], kind, limit)
		}
		d.peak[kind] = max(d.peak[kind], running[kind])
	}
	// Each slot starts one load per interval on a clock that is at most 4 % fast.
	interval := time.Duration(float64(d.limits.WeightLoads) / d.limits.WeightLoadsPerSecond / 1.04 * float64(time.Second))
	recent := 0
	for i := len(d.starts) - 1; i >= 0 && d.starts[i] > d.now-interval; i-- {
		recent++
	}
	if recent > d.limits.WeightLoads {
		d.t.Fatalf("at %v %d weight loads started within %v, the rate permits %d", d.now, recent, interval, d.limits.WeightLoads)
	}
}

func (d *deployment) run(steps int) {
	for range steps {
		d.now += 250 * time.Millisecond
		d.network.Deliver(d.now)
		d.reports.Deliver(d.now)
		for _, c := range d.dataCentres {
			switch {
			case d.random.IntN(400) == 0:
				d.restart(c)
			case d.random.IntN(400) == 0:
				c.partitionedUntil = d.now + time.Duration(d.random.Int64N(int64(80*time.Second)))
			case d.random.IntN(100) == 0:
				c.demand = []float64{0, 0.05, 0.9}[d.random.IntN(3)]
			}
			d.tick(c)
			d.check()
		}
	}
}

// Guards against more loads in flight or per interval than the limits of the deployment, under partitions, lost, late
// and repeated messages, clock drift and restarts.
func TestSumNeverExceedsLimit(t *testing.T) {
	for _, limits := range []Limits{{3, 9, 70}, {1.5, 6, 50}} {
		for _, size := range []int{1, 3, 4} {
			t.Run(fmt.Sprintf("%+v in %d", limits, size), func(t *testing.T) {
				peak, loans := map[Kind]int{}, 0
				rapid.Check(t, func(t *rapid.T) {
					d := &deployment{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), limits: limits, peak: peak}
					d.network = &lossynet.Network{
						Random: d.random, LossShare: 0.16, RepeatShare: 0.16, LateShare: 0.12, MaxDelay: 200 * time.Millisecond, MaxLate: 90 * time.Second,
					}
					d.reports = &lossynet.Network{Random: d.random, MaxDelay: 3 * time.Second}
					for i := range size {
						d.names = append(d.names, fmt.Sprintf("dc%d", i))
					}
					for _, name := range d.names {
						c := &simDataCentre{name: name, rate: 0.96 + 0.08*d.random.Float64(), unsettled: map[string]Kind{}, demand: 0.5}
						d.dataCentres = append(d.dataCentres, c)
						d.restart(c)
					}
					d.run(1200)
					loans += d.loans
				})
				t.Logf("peak %v, %d loans", peak, loans)
				if peak[Weights] < limits.WeightLoads || size > 1 && loans < 100 {
					t.Fatalf("peak %v with %d loans: the schedules neither reached nor stressed the limits enough", peak, loans)
				}
			})
		}
	}
}

// Guards against urgent loads that wait behind others, shares that don't add up to the limit, and invalid limits that
// are accepted.
func TestUrgentLoadsGoFirstAndSharesAddUp(t *testing.T) {
	shares := Shares(9, []string{"d", "b", "c", "a"})
	if shares["a"] != 3 || shares["b"]+shares["c"]+shares["d"] != 6 {
		t.Errorf("shares of 9 slots are %v, want 3 for a and 6 for the others together", shares)
	}
	l, err := New(epoch, "a", 1, []string{"a", "b"}, Limits{1, 2, 2})
	if err != nil {
		t.Fatal(err)
	}
	now := epoch.Add(time.Minute)
	started := l.Start(now, []Load{{"1", Weights, false}, {"2", Weights, true}, {"3", Weights, true}})
	if len(started) != 1 || started[0] != "2" {
		t.Errorf("started %v, want the first urgent load", started)
	}
	if requests, _ := l.Tick(now); len(requests) != 1 || requests[0].Slots != 1 {
		t.Errorf("requests %+v, want one request for one slot", requests)
	}
	for _, bad := range []Limits{{0, 9, 70}, {3, 0, 70}, {3, 9, -1}} {
		if _, err := New(epoch, "a", 1, []string{"a"}, bad); err == nil {
			t.Errorf("limits %+v were accepted", bad)
		}
	}
	if _, err := New(epoch, "x", 1, []string{"a"}, Limits{1, 1, 1}); err == nil {
		t.Error("data centre x was accepted, but is not in the list")
	}
}

func BenchmarkStart(b *testing.B) {
	l, err := New(epoch, "a", 1, []string{"a", "b", "c", "d"}, Limits{3, 9, 70})
	if err != nil {
		b.Fatal(err)
	}
	now := epoch.Add(time.Minute)
	loads := []Load{{"1", Weights, true}, {"2", Adapters, false}, {"3", Adapters, true}}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		for _, id := range l.Start(now, loads) {
			l.Finish(now, id)
		}
	}
}

// Guards against faults that random schedules rarely cause: a loan that the borrower counts from the response or that
// the lender ends without the drift margin, a load that starts too late in a loan, a slot that starts two loads within
// one interval because it was returned, and a successor that ignores the loads of its predecessor.
func TestLoanTimesAndTakeover(t *testing.T) {
	names, limits := []string{"a", "b"}, Limits{1, 8, 8}
	start := func(l *Limiter, now time.Time, n int) int {
		loads := make([]Load, n)
		for i := range loads {
			loads[i] = Load{ID: fmt.Sprint(now.UnixMilli(), "-", i), Kind: Weights, Urgent: true}
		}
		return len(l.Start(now, loads))
	}
	setUp := func() (lender, borrower *Limiter, sent time.Time) {
		lender, _ = New(epoch, "a", 1, names, limits)
		borrower, _ = New(epoch, "b", 1, names, limits)
		sent = epoch.Add(time.Minute)
		lender.Start(sent.Add(-10*time.Second), nil)
		if n := start(borrower, sent, 6); n != 2 {
			t.Fatalf("%d own slots are ready a minute after the start, want the 2 that are always kept", n)
		}
		requests, _ := borrower.Tick(sent)
		response := lender.Lend(sent, requests[0])
		if response.Slots != 2 || lender.Lend(sent, requests[0]) != response {
			t.Fatalf("lent %+v, want 2 slots each time", response)
		}
		borrower.HandleBorrowResponse(sent.Add(5*time.Second), response)
		borrower.HandleBorrowResponse(sent.Add(5*time.Second), response)
		return lender, borrower, sent
	}
	_, borrower, sent := setUp()
	if n := len(borrower.pools[Weights].startableSlots(sent.Add(6 * time.Second))); n != 2 {
		t.Errorf("%d slots are free after the loan, want the 2 of the loan", n)
	}
	// The loan is too short for another load then, so only the 2 own slots are free.
	if n := len(borrower.pools[Weights].startableSlots(sent.Add(LoanPeriod - MaxLoadTime))); n != 2 {
		t.Errorf("%d slots are free, want the 2 own ones: no load would end within the loan", n)
	}
	lender, _, sent := setUp()
	for after, want := range map[time.Duration]int{
		LoanPeriod + DriftMargin - 1: 2, LoanPeriod + DriftMargin: 2, LoanPeriod + DriftMargin + 8*time.Second: 4,
	} {
		p := *lender.pools[Weights]
		p.slots, p.lent = slices.Clone(p.slots), maps.Clone(p.lent)
		p.expire(sent.Add(min(after, LoanPeriod+DriftMargin)))
		if early := after < LoanPeriod+DriftMargin; early != (len(p.slots) == 2) {
			t.Errorf("the lender holds %d slots %v after the request, want 2 before the end of the loan and 4 after it", len(p.slots), after)
		}
		if n := len(p.startableSlots(sent.Add(after))); n != want {
			t.Errorf("the lender has %d free slots %v after the request, want %d", n, after, want)
		}
	}
	successor, _ := New(epoch, "a", 2, names, limits)
	for i := range 3 {
		successor.AddRunning(fmt.Sprint("old", i), Weights)
	}
	later := epoch.Add(LoanPeriod + DriftMargin + 9*time.Second)
	successor.Start(later.Add(-8*time.Second), nil)
	if n := start(successor, later, 4); n != 1 {
		t.Errorf("%d loads started beside 3 of the predecessor with a share of 4, want 1", n)
	}
}
