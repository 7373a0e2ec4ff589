package gateway

import (
	"maps"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

const (
	// speedsTTL is the time without a leader that knows speeds after which all targets count as equally fast.
	speedsTTL = 30 * time.Second
	// speedReportInterval is the least time between two reports with samples, which cost the leader more than others, and
	// speedReportSpacing that between those of any two gateways at the leader: at most 167 per second.
	speedReportInterval = 500 * time.Millisecond
	speedReportSpacing  = 6 * time.Millisecond
)

// speeds are the speeds of targets as the leader published them. They belong to the goroutine that exchanges loads.
type speeds struct {
	change      uint64
	percent     map[string]int
	confirmedAt time.Time
	reportedAt  time.Time
}

// reportSpeeds returns what a load report says about the speeds of targets.
func (g *Gateway) reportSpeeds(now time.Time) *fleetapi.SpeedReport {
	report := &fleetapi.SpeedReport{}
	if len(g.speeds.percent) > 0 { // without speeds, a new leader sends at once what it has learned
		report.Change = g.speeds.change
	}
	interval := max(speedReportInterval, time.Duration(g.gatewayCount.Gateways(now, 0))*speedReportSpacing)
	if now.Sub(g.speeds.reportedAt) < interval {
		return report
	}
	g.speeds.reportedAt = now
	targets := g.view.Targets()
	startedAtMs := make(map[string]int64, len(targets))
	for i := range targets {
		startedAtMs[targets[i].ID] = targets[i].StartedAtMs
	}
	report.Samples = g.loadTracker.TakeSpeedSamples(startedAtMs)
	return report
}

// applySpeeds applies what the leader published; nil if there is no leader, or one that does not know the speeds.
func (g *Gateway) applySpeeds(now time.Time, published *fleetapi.Speeds) {
	s := &g.speeds
	if published == nil {
		if len(s.percent) > 0 && now.Sub(s.confirmedAt) > speedsTTL {
			s.percent = nil
			s.change = 0
			g.setSpeeds()
		}
		return
	}
	s.confirmedAt = now
	if published.Change == s.change && !published.Complete || len(s.percent) == 0 && len(published.Percent) == 0 {
		s.change = published.Change
		return
	}
	percent := make(map[string]int)
	if !published.Complete {
		maps.Copy(percent, s.percent)
	}
	maps.Copy(percent, published.Percent)
	maps.DeleteFunc(percent, func(_ string, v int) bool { return v <= 0 })
	s.percent, s.change = percent, published.Change
	g.setSpeeds()
}

func (g *Gateway) setSpeeds() {
	byTarget := make(map[string]float64, len(g.speeds.percent))
	for id, v := range g.speeds.percent {
		byTarget[id] = float64(v) / 100
	}
	g.loadTracker.SetSpeeds(byTarget)
	g.metrics.targetSpeeds.Update(int64(len(byTarget)))
}
