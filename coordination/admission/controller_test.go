package admission

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
)

var start = time.Unix(1_800_000_000, 0)

const model = "net-assistant"

func request(caller string, deadline time.Duration, now time.Time) Request {
	return Request{
		ID: caller, Caller: caller, Model: model, Priority: releasenote.Interactive, PromptTokens: 100,
		TokenLimit: 200, Deadline: now.Add(deadline),
	}
}

func newController(slots float64) *Controller {
	c := New(start, Options{Instance: "i1", Incarnation: 1})
	c.SetCapacity(start, model, Capacity{Slots: slots, BestEffortSlots: slots, Instances: 1})
	return c
}

func complete(c *Controller, now time.Time, t *Ticket, tokens int) {
	c.Done(now, Completion{Ticket: t, Answered: true, OutputTokens: tokens, ServiceTime: time.Second})
}

// Guards against callers within their share being delayed or refused while another caller sends ten times its share.
func TestBurstDoesNotDelayCallersWithinShare(t *testing.T) {
	c := newController(10)
	var running []*Ticket
	refused, waited := 0, make(map[string]time.Duration)
	offered := make(map[*Ticket]time.Time)
	// Ten slots and answers of one second serve ten requests per second; callers a to d send two per second each.
	for step := range 600 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		names := []string{}
		if step%5 == 0 {
			names = append(names, "a", "b", "c", "d")
		}
		if step > 100 {
			names = append(names, "burst", "burst")
		}
		for _, name := range names {
			switch d := c.Submit(now, request(name, 5*time.Second, now)); {
			case d.Action == Admit:
				running = append(running, d.Ticket)
			case d.Action == Queue:
				offered[d.Ticket] = now
			case name != "burst":
				t.Fatalf("step %d: caller %s within its share was refused: %v", step, name, d.Refusal)
			default:
				refused++
			}
		}
		for len(running) > 0 && step >= 10 { // one slot becomes free in every step
			complete(c, now, running[0], 25)
			running = running[1:]
			break
		}
		for _, g := range c.StartQueued(now) {
			caller := g.Ticket.Request.Caller
			if g.Refusal == nil {
				running = append(running, g.Ticket)
			} else if caller != "burst" {
				t.Fatalf("caller %s within its share was refused in the queue", caller)
			}
			waited[caller] = max(waited[caller], now.Sub(offered[g.Ticket]))
		}
		if step%5 == 0 {
			c.Usage(now)
		}
	}
	if refused == 0 {
		t.Fatal("the burst was never refused")
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if waited[name] > time.Second {
			t.Errorf("caller %s waited %v", name, waited[name])
		}
	}
}

// Guards against starvation of low-priority or long work while interactive work keeps all slots busy.
func TestLowPriorityAndLongWorkFinish(t *testing.T) {
	c := newController(2)
	running := []*Ticket{c.Submit(start, request("x", time.Hour, start)).Ticket}
	running = append(running, c.Submit(start, request("x", time.Hour, start)).Ticket)
	batch := request("batch", time.Hour, start)
	batch.Priority = releasenote.Batch
	long := request("long", time.Hour, start)
	long.PromptTokens, long.Priority = 100_000, releasenote.Batch
	notStarted := map[string]bool{}
	for _, r := range []Request{batch, long} {
		if d := c.Submit(start, r); d.Action != Queue {
			t.Fatalf("want the request queued, got %+v", d)
		}
		notStarted[r.Caller] = true
	}
	// Batch work waits for at most a minute, and both requests have to start.
	for step := range 400 {
		now := start.Add(time.Duration(step) * 200 * time.Millisecond)
		c.Submit(now, request("x", time.Hour, now))
		complete(c, now, running[0], 25)
		running = running[1:]
		for _, g := range c.StartQueuedOf(now, model) {
			running = append(running, g.Ticket)
			delete(notStarted, g.Ticket.Request.Caller)
		}
	}
	if len(notStarted) > 0 {
		t.Fatalf("requests that never started: %v", notStarted)
	}
}

// Guards against batch work that keeps slots needed by callers within their share, and against a preempted request
// being lost, preempted although its deadline is near, or charged twice.
func TestPreemptStopsBatchWork(t *testing.T) {
	c := newController(2)
	batch := request("batch", time.Hour, start)
	batch.Priority = releasenote.Batch
	urgent := batch
	urgent.Deadline = start.Add(10 * time.Second)
	preempted, kept := c.Submit(start, batch).Ticket, c.Submit(start, urgent).Ticket
	for range 4 {
		c.Submit(start, request("chat", time.Minute, start))
	}
	if got := c.Preempt(start, model); len(got) > 0 {
		t.Fatalf("preempted %d requests before preemptAfter", len(got))
	}
	now := start.Add(2 * time.Second)
	if got := c.Preempt(now, model); len(got) != 1 || got[0] != preempted {
		t.Fatalf("preempted %v, want only the request whose deadline is far", got)
	}
	if c.Cancel(kept) || preempted.state != queued {
		t.Fatal("the preempted request must be queued and the other one must still run")
	}
	charged := preempted.chargedUnits
	complete(c, now, preempted, 10)
	if c.Cancel(preempted) || preempted.chargedUnits != charged || len(c.Preempt(now, model)) > 0 {
		t.Fatal("a preempted request that ended before its attempt was cancelled must leave the queue")
	}
}

// Guards against long work that occupies the slots reserved for short work.
func TestSlotsOfLongWorkAreBounded(t *testing.T) {
	c := newController(8)
	long := request("reports", time.Hour, start)
	long.PromptTokens = 100_000
	admitted := 0
	for range 8 {
		if d := c.Submit(start, long); d.Action == Admit {
			admitted++
		}
	}
	if admitted != 2 {
		t.Fatalf("%d long requests run on 8 slots, want 2", admitted)
	}
	if d := c.Submit(start, request("chat", time.Minute, start)); d.Action != Admit {
		t.Fatalf("a short request did not start while long requests ran: %+v", d)
	}
}

// Guards against a refusal that does not state that the request did not run, and against a retry time that is too short:
// a caller who retries at the stated time must not be refused again if the queue drained at the learnt speed.
func TestRefusedCallerIsAcceptedAfterRetryTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newController(float64(rapid.IntRange(1, 8).Draw(t, "slots")))
		deadline := time.Duration(rapid.IntRange(2000, 20000).Draw(t, "deadlineMs")) * time.Millisecond
		var refusal *api.Result
		var running []*Ticket
		for i := 0; refusal == nil; i++ {
			d := c.Submit(start, request(fmt.Sprint("caller", i%3), deadline, start))
			refusal = d.Refusal
			if d.Action == Admit {
				running = append(running, d.Ticket)
			}
		}
		if refusal.Outcome != api.Refused || refusal.Retry != api.RetryAfter || refusal.RetryAfter <= 0 {
			t.Fatalf("got refusal %+v, want outcome Refused with a retry time", refusal)
		}
		now := start
		for end := start.Add(refusal.RetryAfter); now.Before(end) && len(running) > 0; {
			// Every running request takes its estimated time.
			now = now.Add(time.Duration(running[0].Estimate.Units / defaultUnitsPerSec * float64(time.Second)))
			for _, ticket := range running {
				c.Done(now, Completion{Ticket: ticket})
			}
			running = running[:0]
			for _, g := range c.StartQueued(now) {
				if g.Refusal == nil {
					running = append(running, g.Ticket)
				}
			}
		}
		if d := c.Submit(now, request("caller0", deadline, now)); d.Action == Refuse {
			t.Fatalf("refused again after %v: %v", refusal.RetryAfter, d.Refusal)
		}
	})
}

// Guards against a queued request that starts too late to meet its deadline.
func TestExpiredQueuedRequestIsRefused(t *testing.T) {
	c := newController(1)
	c.Submit(start, request("a", time.Minute, start))
	d := c.Submit(start, request("b", time.Minute, start))
	if d.Action != Queue {
		t.Fatalf("want the request queued, got %+v", d)
	}
	results := c.StartQueued(start.Add(2 * time.Minute))
	if len(results) != 1 || results[0].Refusal == nil || results[0].Refusal.Outcome != api.Refused {
		t.Fatalf("want one refusal, got %+v", results)
	}
	if c.Cancel(d.Ticket) {
		t.Fatal("an expired request was still queued")
	}
}

// Guards against shares that are enforced within one instance only, and against reports that are counted twice.
func TestPeerUsageIsMergedOnce(t *testing.T) {
	a, b := newController(4), New(start, Options{Instance: "i2", Incarnation: 1})
	b.SetCapacity(start, model, Capacity{Slots: 4, BestEffortSlots: 4, Instances: 2})
	for range 4 {
		a.Submit(start, request("burst", time.Minute, start))
		b.Submit(start, request("quiet", time.Minute, start))
	}
	report := a.Usage(start)
	if !b.MergeUsage(start, report) || b.MergeUsage(start, report) {
		t.Fatal("a report must count exactly once")
	}
	// This work of caller burst ran on another instance, so b knows of it from a report only.
	b.ledger.merge(start, []CallerUsage{{Caller: "burst", Weight: 1, Units: 10_000}})
	b.Usage(start)
	if !b.ledger.aboveShare(start, "burst", 1) || b.ledger.aboveShare(start, "quiet", 1) {
		t.Fatal("only the caller with more usage over both instances must be above its share")
	}
	if d := b.Demand()[model]; d.WithinShares+d.BestEffort < 8 {
		t.Fatalf("demand %v does not include the requests of the peer", b.Demand())
	}
}

// Guards against memory that grows with the number of callers and models ever seen.
func TestMemoryIsBounded(t *testing.T) {
	c := New(start, Options{Callers: 64, Models: 32})
	for i := range 20000 {
		r := request(fmt.Sprint("caller", i), time.Minute, start)
		r.Model = fmt.Sprint("model", i%1000)
		c.SetCapacity(start, r.Model, Capacity{Slots: 10, BestEffortSlots: 10, Instances: 1})
		if d := c.Submit(start, r); d.Action == Admit {
			complete(c, start, d.Ticket, 10)
		}
	}
	if n := c.ledger.accounts.Len(); n > 80 {
		t.Errorf("%d accounts are kept, want at most 80", n)
	}
	if n := c.pools.Len(); n > 48 {
		t.Errorf("%d pools are kept, want at most 48", n)
	}
	if n := c.estimator.lengths.Len(); n > 64*lengthsPerCaller+16 {
		t.Errorf("%d lengths are kept", n)
	}
	if u := c.Usage(start); len(u.Callers) > maxReportedCallers || len(u.Models) > maxReportedModels {
		t.Errorf("a report lists %d callers and %d models", len(u.Callers), len(u.Models))
	}
}

// Guards against instances that together start more than twice as many requests as there are slots, although their
// counts of each other are current.
func TestInstanceWindowsBoundTotalInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		slots := float64(rapid.IntRange(n, 200).Draw(t, "slots"))
		own := make([]int, n)
		for range rapid.IntRange(0, 400).Draw(t, "offers") {
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			total := 0
			for _, o := range own {
				total += o
			}
			if fits(slots, own[i], total-own[i], n, 0) {
				own[i]++
			}
		}
		total := 0
		for _, o := range own {
			total += o
		}
		// An instance may use its equal part even if the others use all slots.
		if float64(total) > 2*slots {
			t.Fatalf("%d requests run on %v slots, by instance: %v", total, slots, own)
		}
	})
}

// Guards against slots of full replicas being assigned twice, and against models without slots.
func TestApportion(t *testing.T) {
	replicas := []ReplicaSlots{{Slots: 8, Models: []string{"a", "b"}}, {Slots: 8, Models: []string{"a"}}}
	got := Apportion(replicas, map[string]ModelDemand{"a": {WithinShares: 40}, "b": {WithinShares: 2}})
	if got["a"].Slots != 14 || got["b"].Slots != 2 || got["a"].BestEffortSlots != 0 {
		t.Errorf("capacity with full replicas: %v", got)
	}
	burst := map[string]ModelDemand{"a": {BestEffort: 400}, "b": {WithinShares: 5}}
	if got = Apportion(replicas, burst); got["a"].Slots != 11 || got["a"].BestEffortSlots != 11 || got["b"].Slots != 5 {
		t.Errorf("capacity with a burst for one model: %v", got)
	}
	if got = Apportion(replicas, nil); got["a"].Slots != 16 || got["b"].Slots != 8 {
		t.Errorf("capacity with idle replicas: %v", got)
	}
}

// Guards against lost or doubly counted slots when handlers offer, cancel and end requests concurrently. Run with -race.
func TestConcurrentUseKeepsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(16)
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for j := range 300 {
					d := c.Submit(start, request(fmt.Sprint("caller", i), time.Hour, start))
					switch {
					case d.Action == Admit, d.Action == Queue && !c.Cancel(d.Ticket):
						complete(c, start, d.Ticket, j)
						complete(c, start, d.Ticket, j)
					}
					for _, g := range c.StartQueuedOf(start, model) {
						complete(c, start, g.Ticket, j)
					}
					c.Usage(start)
				}
			})
		}
		wg.Wait()
		if d := c.Demand()[model]; d != (ModelDemand{}) {
			t.Fatalf("demand after all requests ended: %v, want none", d)
		}
	})
}

// BenchmarkOffer shows whether the cost of a decision grows with the number of callers and models.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{20, 200, 860} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := New(start, Options{})
			requests := make([]Request, n)
			for i := range requests {
				requests[i] = request(fmt.Sprint("caller", i), time.Hour, start)
				requests[i].Model = fmt.Sprint("model", i)
				c.SetCapacity(start, requests[i].Model, Capacity{Slots: 100, BestEffortSlots: 100, Instances: 1})
			}
			b.ReportAllocs()
			for i := range b.N {
				d := c.Submit(start, requests[i%n])
				complete(c, start, d.Ticket, 100)
			}
		})
	}
}
