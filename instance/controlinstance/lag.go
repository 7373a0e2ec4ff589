package controlinstance

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/rotation"
	"github.com/tarragonhoist/tarragonhoist/events"
)

const (
	// reportedLag is the lag from which the process counts as short of processor time: half of the shortest time after which a follower
	// takes the leader for lost.
	reportedLag = electionTimeout / 2
	// lagReportInterval is the least time between two reports.
	lagReportInterval = time.Second
)

// lagMeter measures how late timers of this process fire.
type lagMeter struct {
	recorder   *events.Recorder
	gauge      metrics.Gauge
	window     rotation.LagWindow
	reportedAt time.Time
}

func newLagMeter(recorder *events.Recorder, registry metrics.Registry) *lagMeter {
	return &lagMeter{recorder: recorder, gauge: metrics.GetOrRegisterGauge("control.lag_ms", registry)}
}

// run measures until ctx ends.
func (m *lagMeter) run(ctx context.Context) { rotation.MeasureLag(ctx, m.sample) }

// sample records the delay of a timer and returns the period of the next one.
func (m *lagMeter) sample(now time.Time, delay time.Duration) time.Duration {
	m.window.Add(now, delay)
	lag, _ := m.window.Lag(now)
	m.gauge.Update(lag.Milliseconds())
	if delay >= reportedLag && now.Sub(m.reportedAt) >= lagReportInterval {
		m.reportedAt = now
		m.recorder.Record(events.ProcessorShort, events.Fields{"lag_ms": delay.Milliseconds()})
	}
	return m.window.Period(now)
}
