package quota

import (
	"testing"
	"time"
)

// Guards against grants of more than a fifth of a limit that gateways do not know of yet, and against a refusal of what is within
// the quota for that reason: it is granted at the stated time once the gateways have acknowledged the earlier grants.
func TestGrantsWaitForAcknowledgement(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	opts, limit := testOptions(), Limit{PerSecond: 100_000, Burst: 100_000}
	limits := func(string) (Limit, bool) { return limit, true }
	ledger := NewLedger(now, opts, 1)
	names := []string{"one", "two", "three"}
	limiters := make(map[string]*Limiter)
	for _, name := range names {
		limiters[name] = NewLimiter(now, opts, name, 1)
	}
	exchange := func(answered ...string) {
		now = now.Add(100 * time.Millisecond)
		for _, name := range names {
			levels := ledger.Report(now, name, limiters[name].Report(now), limits)
			for _, a := range answered {
				if a == name {
					limiters[name].Apply(levels)
				}
			}
		}
	}
	for range 10 {
		exchange(names...)
	}
	most := unseenShare * opts.units(limit)
	request := GrantRequest{Gateway: "one", Epoch: 1, Account: "a", Cost: 1000}
	grantAll := func() (granted float64, last Grant) {
		for {
			last = ledger.Grant(now, request, limit)
			if !last.OK {
				return granted, last
			}
			granted += request.Cost
		}
	}
	granted, last := grantAll()
	if granted > most || granted < most-request.Cost || !last.Hold || last.WaitMs <= 0 {
		t.Fatalf("%v granted at once of at most %v, then %+v", granted, most, last)
	}
	if last := ledger.Grant(now, GrantRequest{Gateway: "two", Epoch: 1, Account: "a", Cost: 2 * opts.Hard(limit)}, limit); last.Hold || last.OK {
		t.Errorf("a request beyond the quota is answered with %+v", last)
	}
	exchange("one", "two") // the answer to the third gateway is lost
	exchange("one", "two")
	exchange("one", "two")
	if granted, _ := grantAll(); granted > 0 {
		t.Errorf("%v granted while one gateway does not know of earlier grants", granted)
	}
	exchange(names...)
	exchange(names...)
	now = now.Add(checkInterval)
	if granted, last = grantAll(); granted > most || granted < most-request.Cost || !last.Hold {
		t.Errorf("%v granted after an acknowledgement, at most %v, then %+v", granted, most, last)
	}
	for range 40 { // a gateway whose answers are lost for good uses no grants, and the others do not wait for it
		exchange("one", "two")
	}
	now = now.Add(checkInterval)
	if granted, _ = grantAll(); granted == 0 {
		t.Error("nothing is granted because of a gateway that gets no answers")
	}
}

// Guards against shares of several times the limit in all while the use of an account begins: the first gateway that reports has all
// of the use, and the next one half of it, as far as the leader knows.
func TestSharesSumToOneAtTheStartOfUse(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	opts, limit := testOptions(), Limit{PerSecond: 100_000, Burst: 100_000}
	ledger := NewLedger(now, opts, 1)
	limiters := make([]*Limiter, 30)
	for i := range limiters {
		limiters[i] = NewLimiter(now, opts, accountName(i), 1)
	}
	shares := make([]float64, len(limiters))
	for round := range 20 {
		for i, l := range limiters {
			now = now.Add(3 * time.Millisecond)
			if round > 10 {
				if d := l.Admit(now, "a", limit, 1000, 0); d.Ask {
					l.Granted(now, d.Request, ledger.Grant(now, d.Request, limit))
				}
			}
			levels := ledger.Report(now, accountName(i), l.Report(now), func(string) (Limit, bool) { return limit, true })
			l.Apply(levels)
			for _, level := range levels.Levels {
				shares[i] = level.Share
			}
			sum := 0.0
			for _, s := range shares {
				sum += s
			}
			if sum > 1.001 {
				t.Fatalf("round %d, gateway %d: shares of %.3f in all", round, i, sum)
			}
		}
	}
	if shares[7] < 0.02 || shares[7] > 0.05 {
		t.Errorf("a gateway of 30 with equal use has a share of %.3f", shares[7])
	}
}

// Guards against a denial of a held request that asks again at the stated time, because it counts as held itself until a later time.
// Requests are held until no more are within the quota, and none arrives afterwards.
func TestHeldRequestIsNotDeniedAtTheStatedTime(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	opts, limit := testOptions(), Limit{PerSecond: 100_000, Burst: 100_000}
	limits := func(string) (Limit, bool) { return limit, true }
	ledger := NewLedger(now, opts, 1)
	names, limiters := []string{"one", "two"}, []*Limiter{NewLimiter(now, opts, "one", 1), NewLimiter(now, opts, "two", 1)}
	exchange := func() {
		for i, l := range limiters {
			l.Apply(ledger.Report(now, names[i], l.Report(now), limits))
		}
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		exchange()
	}
	type heldRequest struct {
		at   time.Time
		cost float64
	}
	var held []heldRequest
	ask := func(cost float64) Grant {
		g := ledger.Grant(now, GrantRequest{Gateway: "one", Epoch: 1, Account: "a", Cost: cost}, limit)
		if g.Hold {
			held = append(held, heldRequest{now.Add(time.Duration(g.WaitMs) * time.Millisecond), cost})
		}
		return g
	}
	for i := 0; ; i++ {
		if g := ask(float64(200 + i*379%1600)); !g.OK && !g.Hold {
			break
		}
		now = now.Add(137 * time.Microsecond)
	}
	waiting, denied := len(held), 0
	for step := 0; len(held) > 0 && step < 50_000; step++ {
		now = now.Add(100 * time.Microsecond)
		if step%1000 == 0 {
			exchange()
		}
		due := held
		held = nil
		for _, h := range due {
			if h.at.After(now) {
				held = append(held, h)
			} else if g := ask(h.cost); !g.OK && !g.Hold {
				denied++
			}
		}
	}
	if denied > 0 || len(held) > 0 || waiting == 0 {
		t.Errorf("%d of %d held requests denied, %d still held", denied, waiting, len(held))
	}
}
