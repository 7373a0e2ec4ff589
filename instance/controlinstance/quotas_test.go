package controlinstance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/quota"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

var testQuota = quota.Options{Window: 8 * time.Second, Excess: 0.1, Interval: fleetapi.ReportInterval}

// newQuotaDirector returns a director that leads in a term, and whose configuration has an account with 100 units/s and a burst
// of 100.
func newQuotaDirector(t *testing.T, term uint64) *Director {
	t.Helper()
	view := fleetview.New(func([]byte) (*routes.Document, error) {
		yard := routes.Account{Name: "yard", Keys: []routes.KeyDigest{routes.DigestKey("k")}, Quota: routes.Quota{PerSecond: 100, Burst: 100}}
		return &routes.Document{Version: 1, Accounts: []routes.Account{yard, {Name: "free", Keys: []routes.KeyDigest{routes.DigestKey("l")}}}}, nil
	}, "", nil)
	packed, err := routes.Pack(1, nil)
	if err == nil {
		err = view.SetDocument(packed)
	}
	if err != nil {
		t.Fatal(err)
	}
	d := newDirector(Options{Name: "instance", Quota: testQuota}, view, nil, nil, discardEvents("instance"), metrics.NewRegistry())
	d.lease = &lease{term: term, expiresAt: bootTime() + time.Hour, clock: bootTime}
	return d
}

// quotaLoad is a number of gateways at which an account has more demand than its quota.
type quotaLoad struct {
	t        *testing.T
	limiters []*quota.Limiter
	admitted []time.Time
}

func newQuotaLoad(t *testing.T, gateways int) *quotaLoad {
	l := &quotaLoad{t: t}
	for i := range gateways {
		l.limiters = append(l.limiters, quota.NewLimiter(time.Now(), testQuota, fmt.Sprint("g", i), 1))
	}
	return l
}

// run sends 500 requests a second for a time, with d as the leader, nil for none.
func (l *quotaLoad) run(d *Director, length time.Duration) {
	l.t.Helper()
	for step := range int(length / (10 * time.Millisecond)) {
		now := time.Now()
		for i, limiter := range l.limiters {
			if step%10 == i%10 {
				l.exchange(d, limiter, fmt.Sprint("g", i))
			}
		}
		for i := range 5 {
			if l.admit(d, l.limiters[(step*5+i)%len(l.limiters)], float64((step*7+i*3)%10)/10) {
				l.admitted = append(l.admitted, now)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *quotaLoad) exchange(d *Director, limiter *quota.Limiter, name string) {
	l.t.Helper()
	report := &fleetapi.LoadReport{Gateway: name, Quota: limiter.Report(time.Now())}
	if d == nil {
		return
	}
	summary, err := d.Exchange(time.Now(), report)
	if err != nil {
		l.t.Fatal(err)
	}
	limiter.Apply(summary.Quota)
}

func (l *quotaLoad) admit(d *Director, limiter *quota.Limiter, random float64) bool {
	limit := quota.Limit{PerSecond: 100, Burst: 100}
	decision := limiter.Admit(time.Now(), "yard", limit, 1, random)
	if !decision.Ask {
		return decision.Admit
	}
	if d == nil {
		return limiter.Fallback(time.Now(), decision.Request, limit, random).Admit
	}
	grant, err := d.GrantQuota(time.Now(), decision.Request)
	if err != nil || !grant.Ready {
		return limiter.Fallback(time.Now(), decision.Request, limit, random).Admit
	}
	return limiter.Granted(time.Now(), decision.Request, grant).Admit
}

// most returns the largest number of admitted requests in any 8 s.
func (l *quotaLoad) most() int {
	most, first := 0, 0
	for i, at := range l.admitted {
		for at.Sub(l.admitted[first]) >= testQuota.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a new leader that grants what its predecessor has granted already, and against one that grants nothing.
func TestNewLeaderKeepsTheQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := newQuotaLoad(t, 8)
		load.run(newQuotaDirector(t, 1), 12*time.Second)
		load.run(nil, 1500*time.Millisecond)
		second := newQuotaDirector(t, 2)
		before := len(load.admitted)
		load.run(second, 16*time.Second)
		if hard := int(testQuota.Hard(quota.Limit{PerSecond: 100, Burst: 100})); load.most() > hard {
			t.Errorf("%d units admitted in 8 s, the bound is %d", load.most(), hard)
		}
		if n := len(load.admitted) - before; n < 1500 {
			t.Errorf("%d units admitted in 16 s under the new leader, 1,600 are within the rate", n)
		}
	})
}

// Guards against an instance that grants units of quotas without the lease of the leader.
func TestNoQuotaGrantsWithoutLease(t *testing.T) {
	d := newQuotaDirector(t, 1)
	report := &fleetapi.LoadReport{Gateway: "g", Quota: &quota.Report{Incarnation: 1, Sequence: 1}}
	if s, err := d.Exchange(time.Now(), report); err != nil || s.Quota == nil {
		t.Errorf("levels %v of the leader, error %v", s.Quota, err)
	}
	d.lease.expiresAt = 0
	if s, _ := d.Exchange(time.Now(), report); s.Quota != nil {
		t.Errorf("levels %v without a lease", s.Quota)
	}
	if _, err := d.GrantQuota(time.Now(), quota.GrantRequest{Gateway: "g", Account: "yard", Cost: 1}); err == nil {
		t.Error("a grant without a lease")
	}
}

// Guards against a call that began in an earlier term, such as one for the status that waited, and ends the ledger of the present one.
func TestEarlierTermDoesNotEndTheLedger(t *testing.T) {
	q := &quotas{opts: testQuota}
	ledger := q.of(time.Now(), 2)
	q.of(time.Now(), 1)
	if q.of(time.Now(), 2) != ledger {
		t.Error("the ledger of the present term was replaced")
	}
}
