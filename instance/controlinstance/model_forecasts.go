package controlinstance

import (
	"math"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/residency"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// slopeDelay is the time after the first plan of a leader, and after a change of the number of gateways, from which the
	// demand has a slope. Until then, the reports of the gateways add up.
	slopeDelay = time.Second
	// gatewaysChange is the part of the gateways whose loss or return, as with a partition of a data centre, would pass
	// for a slope of the demand for all models.
	gatewaysChange = 0.1
)

// modelForecasts holds the trend of the demand for each model that had requests recently.
type modelForecasts struct {
	trends map[modelKey]*residency.Trend
	// running and waiting are the sums over the gateways in the current tick. Refused requests count as waiting.
	running, waiting map[modelKey]float64
	// gateways is the number of reporting gateways when it last changed by gatewaysChange, and slopesFrom the time from
	// which demand has a slope again.
	gateways   int
	slopesFrom time.Time
	// storeLoads counts the loads from the weight store by urgency.
	storeLoads map[residency.Urgency]metrics.Counter
}

func newModelForecasts(registry metrics.Registry) *modelForecasts {
	f := &modelForecasts{trends: make(map[modelKey]*residency.Trend), running: make(map[modelKey]float64),
		waiting: make(map[modelKey]float64), storeLoads: make(map[residency.Urgency]metrics.Counter)}
	for _, u := range []residency.Urgency{residency.UrgencySpare, residency.UrgencyAbsent, residency.UrgencyOverload} {
		f.storeLoads[u] = metrics.GetOrRegisterCounter("control.store_loads_"+u.String(), registry)
	}
	return f
}

// sample sets the requests of the current tick.
func (f *modelForecasts) sample(now time.Time, gateways *gatewayLoads, refusals map[modelKey]float64) {
	if change := math.Abs(float64(gateways.live - f.gateways)); change > gatewaysChange*float64(f.gateways) {
		f.gateways, f.slopesFrom = gateways.live, now.Add(slopeDelay)
	}
	clear(f.running)
	clear(f.waiting)
	for g := range gateways.counted() {
		for key, m := range g.models {
			f.running[key] += float64(m.Running)
			f.waiting[key] += float64(m.Waiting)
		}
	}
	for key, n := range refusals {
		f.waiting[key] += n
	}
}

// add adds the sample of the current tick to the trend of a model. planAfter is the time of the first plan of the leader,
// zero on other instances.
func (f *modelForecasts) add(now time.Time, key modelKey, planAfter time.Time) {
	t := f.trends[key]
	if t == nil {
		t = &residency.Trend{}
		f.trends[key] = t
	}
	settled := !planAfter.IsZero() && now.Sub(planAfter) >= slopeDelay && !now.Before(f.slopesFrom)
	t.Add(now, f.running[key], f.waiting[key], settled)
}

// of returns the forecast for a model.
func (f *modelForecasts) of(key modelKey) residency.Forecast {
	if t := f.trends[key]; t != nil {
		return t.Forecast()
	}
	return residency.Forecast{}
}

// recordMove records a planned move.
func (d *Director) recordMove(service *routes.Service, move *residency.Move) {
	key := modelKey{service.Name, move.Load}
	fields := events.Fields{"target": move.Target, "load": move.Load, "unload": move.Unload, "from_store": move.FromStore,
		"fence": d.fence, "demand": roundToTenth(d.smoothed[key]), "demand_unload": roundToTenth(d.smoothed[modelKey{service.Name, move.Unload}])}
	if move.ByForecast {
		fields["forecast"] = roundToTenth(d.forecasts.of(key).Loaded)
		fields["urgency"] = move.Urgency.String()
	}
	d.recorder.Record(events.MovePlanned, fields)
	if move.FromStore {
		d.storeLoads.Inc(1)
		if move.ByForecast {
			d.forecasts.storeLoads[move.Urgency].Inc(1)
		}
	}
}
