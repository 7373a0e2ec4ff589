package controlinstance

import (
	"math"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/pace"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// plainFullPerSlot is the number of requests per slot that a plain target takes after its start phase: one that runs and one that
// waits.
const plainFullPerSlot = 2

// starts are the start phases of targets. The caller holds Director.mu.
type starts struct {
	sums         *pace.Sums
	began, ended metrics.Counter
	starting     metrics.Gauge
}

func newStarts(registry metrics.Registry) *starts {
	return &starts{sums: pace.NewSums(), began: metrics.GetOrRegisterCounter("control.start_phases_began", registry),
		ended:    metrics.GetOrRegisterCounter("control.start_phases_ended", registry),
		starting: metrics.GetOrRegisterGauge("control.starting_targets", registry)}
}

// updateStarts applies the list of targets. All control instances do, so that a new leader knows which targets have just started.
func (d *Director) updateStarts(now time.Time) {
	table := d.view.Table()
	if !d.opts.SlowStart || table == nil {
		return
	}
	services := make(map[string]*routes.Service)
	for i := range table.Document().Services {
		s := &table.Document().Services[i]
		services[s.Name] = s
	}
	var list []pace.Target
	targets := d.view.Targets()
	for i := range targets {
		if t := &targets[i]; t.State == roster.Ready {
			list = append(list, startingTarget(t, services[t.Service], d.gateways.running(t.ID)))
		}
	}
	d.starts.sums.SetTargets(now, list)
	d.recordStarts(now)
}

func startingTarget(t *roster.Entry, service *routes.Service, running int) pace.Target {
	slots, perSlot := max(t.Slots, 1), float64(plainFullPerSlot)
	if service != nil && service.Engine != nil {
		perSlot = dispatch.MaxEngineRequestsPerSlot(0)
		if t.Slots == 0 {
			slots = max(service.Engine.Slots, 1)
		}
	}
	return pace.Target{Key: t.Key, HeardAt: t.HeardAt, Slots: slots, Running: running, Full: int(math.Ceil(perSlot * float64(slots)))}
}

// exchangeStarts applies what a gateway saw of targets in their start phase, and adds its parts to its summary.
func (d *Director) exchangeStarts(now time.Time, r *fleetapi.LoadReport, s *fleetapi.LoadSummary) {
	if !d.opts.SlowStart {
		return
	}
	interval := fleetapi.ReportInterval(d.gateways.live)
	report := pace.Report{Gateway: r.Gateway, Lost: slices.Concat(r.Unreachable, r.Silent), Observations: r.Starting}
	for i := range r.Targets {
		if t := &r.Targets[i]; t.Running > t.Unstarted {
			report.Serving = append(report.Serving, t.ID)
		}
	}
	d.starts.sums.Report(now, &report, d.gateways.live, interval)
	own := func(id string) int {
		for i := range r.Targets {
			if r.Targets[i].ID == id {
				return r.Targets[i].Running
			}
		}
		return 0
	}
	s.Starting = d.starts.sums.Parts(now, r.Gateway, own, d.gateways.running, interval)
	d.recordStarts(now)
}

// recordStarts records what has changed, at the instance to which gateways report.
func (d *Director) recordStarts(now time.Time) {
	changes := d.starts.sums.TakeChanges()
	d.starts.starting.Update(int64(d.starts.sums.Starting()))
	if !d.starts.sums.Leads(now) {
		return
	}
	for _, c := range changes {
		if c.Cause != "" {
			d.starts.began.Inc(1)
			d.recorder.Record(events.StartPhaseBegan, events.Fields{"target": c.Target.ID, "cause": string(c.Cause), "window": c.Window})
			continue
		}
		d.starts.ended.Inc(1)
		d.recorder.Record(events.StartPhaseEnded, events.Fields{"target": c.Target.ID, "window": c.Window,
			"took_ms": c.Took.Milliseconds(), "in_time": c.InTime, "bad": c.Bad})
	}
}
