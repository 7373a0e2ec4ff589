package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	// exchangeTimeout bounds one report, so that a slow leader does not delay the next one.
	exchangeTimeout = 400 * time.Millisecond
	// unreachablePeriod is how long a failed connection to a target is reported to the leader.
	unreachablePeriod = 2 * time.Second
)

// reportJitter is the maximum share by which the interval between two load reports is shortened at random.
const reportJitter = 0.2

func (g *Gateway) reportInterval() time.Duration {
	return fleetapi.ReportInterval(g.gatewayCount.Gateways(time.Now(), 0))
}

type modelKey struct{ service, model string }

// demand counts what callers ask for between load reports.
type demand struct {
	mu     sync.Mutex
	models map[modelKey]*fleetapi.ModelLoad
	// adapters counts the running requests of an adapter on a target. A count that fell to 0 since the last report stays
	// for the next one.
	adapters map[fleetapi.AdapterUse]int
	// accounts are the loads of client accounts.
	accounts map[string]*fleetapi.AccountLoad
}

func newDemand() *demand {
	return &demand{models: make(map[modelKey]*fleetapi.ModelLoad), adapters: make(map[fleetapi.AdapterUse]int),
		accounts: make(map[string]*fleetapi.AccountLoad)}
}

func (d *demand) update(q *request, f func(*fleetapi.ModelLoad)) {
	if q.prompt.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key := modelKey{q.service.Name, q.prompt.Model}
	m := d.models[key]
	if m == nil {
		m = &fleetapi.ModelLoad{Service: key.service, Model: key.model}
		d.models[key] = m
	}
	f(m)
}

func (d *demand) countRefused(q *request) { d.update(q, func(m *fleetapi.ModelLoad) { m.Refused++ }) }

// addRunning is called with 1 when a request is sent to a target and with -1 when it has ended there.
func (d *demand) addRunning(q *request, target string, n int) {
	d.updateAccount(q.credentials.account, func(a *fleetapi.AccountLoad) { a.Running += n })
	d.update(q, func(m *fleetapi.ModelLoad) {
		m.Running += n
		if q.prompt.Adapter != "" {
			d.adapters[fleetapi.AdapterUse{ID: target, Model: q.prompt.Model, Adapter: q.prompt.Adapter}] += n
		}
	})
}

// takeReport returns the demand for a load report, resets the refused requests and drops entries without requests.
func (d *demand) takeReport() (models []fleetapi.ModelLoad, adapters []fleetapi.AdapterUse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, m := range d.models {
		models = append(models, *m)
		m.Refused = 0
		if m.Running == 0 && m.Waiting == 0 {
			delete(d.models, key)
		}
	}
	for use, n := range d.adapters {
		adapters = append(adapters, use)
		if n == 0 {
			delete(d.adapters, use)
		}
	}
	return models, adapters
}

// exchangeLoad reports the load to the leader and receives the load of the other gateways.
func (g *Gateway) exchangeLoad(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	connected := false
	for {
		// The jitter spreads the reports of gateways that started together.
		interval := g.reportInterval()
		timer.Reset(interval - time.Duration(reportJitter*g.randomFloat()*float64(interval)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		err := g.exchangeLoadOnce(ctx)
		if ok := err == nil; ok != connected {
			connected = ok
			if ok {
				g.recorder.Record(events.LeaderReached, nil)
			} else {
				g.recorder.Record(events.LeaderLost, events.Fields{"error": err.Error()})
			}
		}
	}
}

func (g *Gateway) exchangeLoadOnce(ctx context.Context) error {
	if g.opts.SlowStart {
		g.pace.SetTargets(time.Now(), g.view.Targets())
	}
	leader, _ := g.view.LeaderAndMembers()
	if leader == "" {
		g.applyQuota(time.Now(), nil)
		g.applySpeeds(time.Now(), nil)
		return errNoLeader
	}
	own := g.loadTracker.OwnObservations(time.Now())
	report := fleetapi.LoadReport{Gateway: g.opts.Name, Packed: true, Helps: g.helps(), HelpersChange: g.helpers.knownChange(),
		Brittle: g.loadTracker.OwnBrittle(time.Now()), Limits: g.limits.Own(time.Now()),
		Unreachable: g.loadTracker.Unreachable(time.Now(), unreachablePeriod)}
	report.Models, report.Adapters = g.demand.takeReport()
	report.Accounts = g.demand.accountLoads()
	if g.opts.SlowStart {
		report.Starting, report.Silent = g.pace.Report(), g.loadTracker.Silent(time.Now(), silentPeriod)
	}
	for id, l := range own {
		report.Targets = append(report.Targets, fleetapi.LoadOf(id, l))
	}
	report.Quota = g.reportQuota(time.Now())
	report.Speed = g.reportSpeeds(time.Now())
	if g.takesCallers() {
		report.Rotation = g.rotation.report(time.Now(), g.opts.DataCentre)
	}
	askedAt := g.rotation.clock()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var summary fleetapi.LoadSummary
	if err := g.peers.Call(callCtx, leader, peerapi.MethodFleetLoad, report, &summary); err != nil {
		g.loadTracker.SetPeerObservations(nil, nil)
		g.forgetQueues()
		g.applyQuota(time.Now(), nil)
		g.applySpeeds(time.Now(), nil)
		return err
	}
	g.applyQuota(time.Now(), summary.Quota)
	g.rotation.apply(time.Now(), askedAt, summary.Rotation)
	return g.applySummary(time.Now(), &summary)
}

func (g *Gateway) applySummary(now time.Time, summary *fleetapi.LoadSummary) error {
	loads := summary.Targets
	if len(summary.PackedTargets) > 0 {
		targets := g.view.Targets()
		ids := make([]string, len(targets))
		for i := range targets {
			ids[i] = targets[i].ID
		}
		var err error
		if loads, err = fleetapi.UnpackTargetLoads(summary.PackedTargets, ids); err != nil {
			return err
		}
	}
	g.loadTracker.SetPeerObservations(fleetapi.ObservationsByTarget(loads), summary.UnloadingModels())
	loading := make([]loadingModel, 0, len(summary.Loading))
	for _, a := range summary.Loading {
		loading = append(loading, loadingModel{a.ID, a.Service, a.Model, now.Add(time.Duration(a.RemainingMs) * time.Millisecond)})
	}
	g.loading.Store(&loading)
	g.queues.Store(queuesOf(summary.Queues))
	g.overShare.Store(&summary.OverShare)
	g.mergeLimits(now, summary.Limits)
	g.gatewayCount.Observe(now, summary.Gateways)
	g.watcher.SetGateways(g.gatewayCount.Gateways(now, 0))
	g.loadTracker.SetGateways(g.gatewayCount.Gateways(now, 0))
	g.loadTracker.SetPeerBrittle(now, summary.Brittle)
	g.helpers.set(summary.Helpers, summary.HelpersChange)
	g.applyParts(now, summary.Starting)
	g.applySpeeds(now, summary.Speeds)
	return nil
}

// fingerprint is the same when a caller sends a request again. Request id and headers are left out, since they differ between
// attempts.
func fingerprint(q *request) uint64 {
	d := xxhash.New()
	for _, part := range []string{q.method, q.host, q.uri, q.prompt.Model, q.prompt.Adapter} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}
