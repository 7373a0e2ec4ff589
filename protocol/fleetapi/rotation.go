package fleetapi

import (
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/rotation"
)

// RotationReport is what a gateway reports that takes callers, see package rotation.
type RotationReport struct {
	DataCentre string `json:"z"`
	// LagMs is rounded up.
	LagMs       int            `json:"l,omitempty"`
	Connections int            `json:"c,omitempty"` // of callers
	State       rotation.State `json:"s,omitempty"`
}

// RotationSummary is the decision on a gateway. It is left out for gateways that are in rotation and stay there, and by instances
// that may not decide.
type RotationSummary struct {
	Out bool `json:"o,omitempty"`
	// MeanConnections is the mean number of connections of callers at the gateways of the data centre, rounded up.
	MeanConnections int `json:"m,omitempty"`
}

// RotationReportOf converts the report of a gateway.
func RotationReportOf(r rotation.Report) *RotationReport {
	return &RotationReport{DataCentre: r.DataCentre, LagMs: int((r.Lag + time.Millisecond - 1) / time.Millisecond), Connections: r.Connections, State: r.State}
}

// Of returns the report as that of a gateway.
func (r *RotationReport) Of(gateway string) rotation.Report {
	return rotation.Report{Gateway: gateway, DataCentre: r.DataCentre, Lag: time.Duration(r.LagMs) * time.Millisecond, Connections: r.Connections, State: r.State}
}

// RotationSummaryOf converts an answer; nil stands for none.
func RotationSummaryOf(a rotation.Answer) *RotationSummary {
	if !a.Decided {
		return nil
	}
	return &RotationSummary{Out: a.Out, MeanConnections: a.MeanConnections}
}

// Answer returns the decision; s may be nil.
func (s *RotationSummary) Answer() rotation.Answer {
	if s == nil {
		return rotation.Answer{}
	}
	return rotation.Answer{Decided: true, Out: s.Out, MeanConnections: s.MeanConnections}
}
