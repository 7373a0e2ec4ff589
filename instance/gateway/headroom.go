package gateway

import (
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/headroom"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// startingGateways stands for the number of gateways that share the slots until it is known. More than the gateways of most
// deployments would keep one that has just started from serving its callers.
const startingGateways = 100

// hasDeferrableRequests reports whether a route of the service of a request has callers with time to spare, so that others can go first.
func (q *request) hasDeferrableRequests() bool {
	return q.service.Engine != nil && q.table.MaxObjective(q.service.Name) >= headroom.MinDeferrableObjective
}

// age is the time since the first attempt of the caller, as far as the time that it has left shows.
func (q *request) age(now time.Time) time.Duration {
	return max(q.route.Timeout-q.deadline.Sub(q.arrived), 0) + now.Sub(q.arrived)
}

func (g *Gateway) headroomRequest(now time.Time, q *request) headroom.Request {
	over := q.credentials.account != nil && slices.Contains(*g.overShare.Load(), q.credentials.account.Name)
	return headroom.Request{Objective: q.route.Objective, Age: q.age(now), OverShare: over}
}

// limitLoad sets how full a target may be for a request, and which part of its free slots this gateway takes.
func (g *Gateway) limitLoad(now time.Time, q *request, query *dispatch.Query) {
	query.MaxPerSlot = maxPlainPerSlot
	if q.service.Engine == nil {
		return
	}
	query.Slots, query.MaxPerSlot = q.service.Engine.Slots, dispatch.MaxEngineRequestsPerSlot(q.route.Rank)
	if !q.hasDeferrableRequests() {
		return
	}
	r := g.headroomRequest(now, q)
	query.MaxPerSlot *= r.Share()
	own, others := g.demand.queue(q), (*g.queues.Load())[q.modelKey()]
	query.Sharing = &dispatch.Sharing{
		Part: headroom.Part(own, others, r.Urgent()), Waiting: headroom.Competing(own, others, r.Urgent()),
		PartUnknown: 1 / float64(max(g.gatewayCount.Gateways(now, startingGateways), 1)), ServiceTime: g.serviceTimes.Mean(q.service.Name, q.prompt.Model),
	}
	if r.Urgent() && q.route.Rank <= mostUrgent {
		query.Sharing.Part = 1 // engines serve these first, so their queues order them better than gateways could
	}
}

// expectedWait is how long a request is expected to wait while the copies of its model are full.
func (g *Gateway) expectedWait(now time.Time, q *request) time.Duration {
	var copies []headroom.Copy
	for _, t := range g.view.TargetIndex().Holding(q.service.Name, q.prompt.Model) {
		copies = append(copies, headroom.Copy{Slots: dispatch.SlotsOf(t, q.service.Engine.Slots), Speed: g.loadTracker.SpeedOf(t.ID)})
	}
	return headroom.ExpectedWait(g.demand.queue(q), (*g.queues.Load())[q.modelKey()], g.headroomRequest(now, q).Urgent(), copies,
		g.serviceTimes.Mean(q.service.Name, q.prompt.Model))
}

// reasonTooManyWaiting is why a request is refused before the end of its wait.
const reasonTooManyWaiting dispatch.Reason = "more requests wait for the same slots than can be served in time"

// shouldShed reports whether a request that has not waited yet is refused, since it can hardly be served within the time for which it
// may wait. Its caller is told when there will be room.
func (g *Gateway) shouldShed(now time.Time, q *request, reason dispatch.Reason, left time.Duration) bool {
	if reason != dispatch.AllFull || q.waiting != notWaiting || q.waited > 0 || q.sends > 0 || !q.hasDeferrableRequests() {
		return false
	}
	wait := g.expectedWait(now, q)
	if !headroom.Refuse(wait, left, g.randomFloat()) {
		return false
	}
	g.metrics.shed.Inc(1)
	q.returnAfter = headroom.ReturnAfter(wait, g.randomFloat())
	return true
}

// queuesOf returns the requests that wait at other gateways.
func queuesOf(loads []fleetapi.ModelLoad) *map[modelKey]headroom.Queue {
	queues := make(map[modelKey]headroom.Queue, len(loads))
	for _, m := range loads {
		queues[modelKey{m.Service, m.Model}] = headroom.Queue{Urgent: m.Urgent, Other: m.Waiting - m.Urgent}
	}
	return &queues
}

// forgetQueues is called when a load report got no answer: what waits elsewhere changes within fractions of a second.
func (g *Gateway) forgetQueues() {
	g.queues.Store(queuesOf(nil))
	g.overShare.Store(&[]string{})
}

// waitState is how a request counts in the demand while it waits.
type waitState uint8

const (
	notWaiting waitState = iota
	waiting
	waitingUrgent
)

// setWaiting counts a request as waiting, or not any more.
func (d *demand) setWaiting(q *request, state waitState) {
	if state == q.waiting {
		return
	}
	before := q.waiting
	q.waiting = state
	if before == notWaiting {
		q.waitingAccount = q.credentials.account // another configuration may give the request another account while it waits
	}
	d.updateAccount(q.waitingAccount, func(a *fleetapi.AccountLoad) {
		if before != notWaiting {
			a.Waiting--
		}
		if state != notWaiting {
			a.Waiting++
		}
	})
	d.update(q, func(m *fleetapi.ModelLoad) {
		count := func(s waitState, n int) {
			if s != notWaiting {
				m.Waiting += n
			}
			if s == waitingUrgent {
				m.Urgent += n
			}
		}
		count(before, -1)
		count(state, 1)
	})
}

// updateAccount changes the load of a client account, nil for none.
func (d *demand) updateAccount(account *routes.Account, f func(*fleetapi.AccountLoad)) {
	if account == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.accounts[account.Name]
	if a == nil {
		a = &fleetapi.AccountLoad{Name: account.Name}
		d.accounts[a.Name] = a
	}
	f(a)
	if a.Running == 0 && a.Waiting == 0 {
		delete(d.accounts, a.Name)
	}
}

// accountLoads returns the loads of client accounts for a load report.
func (d *demand) accountLoads() []fleetapi.AccountLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make([]fleetapi.AccountLoad, 0, len(d.accounts))
	for _, a := range d.accounts {
		loads = append(loads, *a)
	}
	return loads
}

// queue returns the requests that wait at this gateway for the model of a request.
func (d *demand) queue(q *request) headroom.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.models[q.modelKey()]
	if m == nil {
		return headroom.Queue{}
	}
	return headroom.Queue{Urgent: m.Urgent, Other: m.Waiting - m.Urgent}
}

// waitStateOf is how a request counts that waits now.
func (g *Gateway) waitStateOf(now time.Time, q *request) waitState {
	if q.hasDeferrableRequests() && g.headroomRequest(now, q).Urgent() {
		return waitingUrgent
	}
	return waiting
}
