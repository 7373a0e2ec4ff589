package controlinstance

import (
	"math"
	"math/rand/v2"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/speed"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

const (
	// minSpeedChange is the relative change from which a speed is published again.
	minSpeedChange = 0.05
	// removedSpeedTTL is how long the removal of a speed is published as a change. Gateways that report less often get all speeds.
	removedSpeedTTL = 30 * time.Second
)

// publishedSpeed is a speed as gateways know it.
type publishedSpeed struct {
	percent   int // 0 if it was removed
	change    uint64
	removedAt time.Time
}

// speeds estimates the speeds of targets and keeps what is published of them. The caller holds Director.mu.
type speeds struct {
	estimator *speed.Estimator
	// change is the number of the latest change, and completeBefore the lowest one from which the published speeds hold all changes.
	change, completeBefore uint64
	published              map[string]publishedSpeed
	began, ended           metrics.Counter
	services, targets      metrics.Gauge
}

func newSpeeds(registry metrics.Registry) *speeds {
	first := rand.Uint64()>>1 + 1 // a new leader continues from another number than its predecessor
	return &speeds{estimator: speed.NewEstimator(), change: first, completeBefore: first, published: make(map[string]publishedSpeed),
		began: metrics.GetOrRegisterCounter("control.speeds_began", registry), ended: metrics.GetOrRegisterCounter("control.speeds_ended", registry),
		services: metrics.GetOrRegisterGauge("control.services_with_speeds", registry), targets: metrics.GetOrRegisterGauge("control.targets_with_speeds", registry)}
}

// targetSpeed returns the speed of a target relative to the median target of its service, 1 if it is unknown or if the speeds of the
// service have no effect. The caller holds Director.mu.
func (d *Director) targetSpeed(service, id string) float64 {
	return d.speeds.estimator.Of(service, id)
}

// updateSpeeds applies the list of targets and estimates the speeds, at most once per second.
func (d *Director) updateSpeeds(now time.Time) {
	s := d.speeds
	if !s.estimator.Leads(now) {
		s.services.Update(0)
		s.targets.Update(0)
		s.estimator.Update(now) // ends the speeds of which nothing is reported
		return
	}
	d.listSpeedTargets()
	if !s.estimator.Update(now) {
		return
	}
	s.publish(now)
	for _, c := range s.estimator.TakeChanges() {
		counter, event := s.ended, events.SpeedsWithdrawn
		if c.InEffect {
			counter, event = s.began, events.SpeedsInEffect
		}
		counter.Inc(1)
		d.recorder.Record(event, events.Fields{"service": c.Service, "ratio": math.Round(c.Ratio*100) / 100, "targets": c.Targets})
	}
	s.services.Update(int64(s.estimator.InEffect()))
	s.targets.Update(int64(len(s.estimator.All())))
}

func (d *Director) listSpeedTargets() {
	targets := d.view.Targets()
	list := make([]speed.Target, len(targets))
	for i := range targets {
		list[i] = speed.Target{ID: targets[i].ID, StartedAtMs: targets[i].StartedAtMs, Service: targets[i].Service}
	}
	d.speeds.estimator.SetTargets(list)
}

// publish compares the speeds with the published ones.
func (s *speeds) publish(now time.Time) {
	current := s.estimator.All()
	next := s.change + 1
	for id, v := range current {
		percent := int(math.Round(v * 100))
		known := s.published[id].percent
		if known == 0 || math.Abs(float64(percent-known)) > minSpeedChange*float64(known) {
			s.published[id] = publishedSpeed{percent: percent, change: next}
			s.change = next
		}
	}
	for id, p := range s.published {
		switch {
		case current[id] > 0:
		case p.percent > 0:
			s.published[id] = publishedSpeed{change: next, removedAt: now}
			s.change = next
		case now.Sub(p.removedAt) > removedSpeedTTL:
			delete(s.published, id)
			s.completeBefore = max(s.completeBefore, p.change)
		}
	}
}

// exchangeSpeeds records what a gateway saw, and adds the speeds that it does not know yet to its summary.
func (d *Director) exchangeSpeeds(now time.Time, r *fleetapi.LoadReport, s *fleetapi.LoadSummary) {
	if r.Speed == nil {
		return
	}
	if !d.speeds.estimator.Leads(now) {
		d.listSpeedTargets()
		d.speeds.startOver()
	}
	d.speeds.estimator.Report(now, r.Gateway, r.Speed.Samples)
	if e := d.speeds.estimator; e.Ready() || e.InEffect() > 0 && !d.speeds.ofEarlierLeader(r.Speed.Change) {
		s.Speeds = d.speeds.since(r.Speed.Change)
	}
}

// startOver publishes all speeds anew. Another instance may have led since the latest change.
func (s *speeds) startOver() {
	s.change++
	s.completeBefore = s.change
	clear(s.published)
}

// ofEarlierLeader reports whether a gateway may have speeds that this leader has not published since it began to learn.
func (s *speeds) ofEarlierLeader(change uint64) bool {
	return change != 0 && (change < s.completeBefore || change > s.change)
}

// since returns the published speeds that have changed since a change, or all if it is not known what has changed.
func (s *speeds) since(change uint64) *fleetapi.Speeds {
	answer := &fleetapi.Speeds{Change: s.change, Complete: change < s.completeBefore || change > s.change}
	for id, p := range s.published {
		if answer.Complete && p.percent > 0 || !answer.Complete && p.change > change {
			if answer.Percent == nil {
				answer.Percent = make(map[string]int)
			}
			answer.Percent[id] = p.percent
		}
	}
	return answer
}
