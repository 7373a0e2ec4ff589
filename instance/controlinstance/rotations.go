package controlinstance

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/rotation"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// rotations decides which gateways are out of rotation while this instance leads. Director.mu guards it.
type rotations struct {
	term    uint64
	planner *rotation.Planner // of the term, nil before the first report

	taken metrics.Counter
	out   metrics.Gauge
}

func newRotations(registry metrics.Registry) *rotations {
	return &rotations{taken: metrics.GetOrRegisterCounter("control.gateways_taken_out", registry),
		out: metrics.GetOrRegisterGauge("control.gateways_out", registry)}
}

// exchangeRotation records the lag of a gateway and adds the decision on it to its summary, unless another instance may decide.
func (d *Director) exchangeRotation(now time.Time, r *fleetapi.LoadReport, s *fleetapi.LoadSummary) {
	if r.Rotation == nil {
		return
	}
	term, ok := d.lease.PermitTerm()
	if !ok {
		return
	}
	if d.rotations.planner == nil || d.rotations.term != term {
		d.rotations.term, d.rotations.planner = term, rotation.NewPlanner(now)
	}
	timeout := max(gatewayTimeout, missedReports*fleetapi.ReportInterval(d.gateways.live))
	answer, taken := d.rotations.planner.Report(now, timeout, r.Rotation.Of(r.Gateway))
	s.Rotation = fleetapi.RotationSummaryOf(answer)
	if taken != nil {
		d.rotations.taken.Inc(1)
		d.recorder.Record(events.GatewayTakenOut, events.Fields{"gateway": r.Gateway, "gateway_data_centre": r.Rotation.DataCentre,
			"lag_ms": taken.Lag.Milliseconds(), "median_ms": taken.Median.Milliseconds(), "out": taken.Out, "reporting": taken.Reporting})
	}
}

// gatewaysOut returns the gateways that count as out of rotation, in order, if this instance decides on them. The caller holds d.mu.
func (d *Director) gatewaysOut(now time.Time) []string {
	if term, ok := d.lease.PermitTerm(); !ok || d.rotations.planner == nil || d.rotations.term != term {
		return nil
	}
	return d.rotations.planner.Out(now)
}
