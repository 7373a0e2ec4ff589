package fleetapi

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/rotation"
)

// Guards against reports and decisions that do not arrive as they were sent, and against a decision that appears where none was sent,
// as in messages of builds before.
func TestRotationOnTheWire(t *testing.T) {
	for _, want := range []rotation.Report{
		{Gateway: "g", DataCentre: "a"},
		{Gateway: "g", DataCentre: "a", Lag: 61 * time.Millisecond, Connections: 12, State: rotation.Out},
		{Gateway: "g", DataCentre: "a", Lag: 2 * time.Second, State: rotation.Resting},
	} {
		encoded, err := json.Marshal(LoadReport{Gateway: "g", Rotation: RotationReportOf(want)})
		if err != nil {
			t.Fatal(err)
		}
		var r LoadReport
		if err := json.Unmarshal(encoded, &r); err != nil || r.Rotation == nil || r.Rotation.Of(r.Gateway) != want {
			t.Errorf("%s: %+v, %v; want %+v", encoded, r.Rotation, err, want)
		}
	}
	if ms := RotationReportOf(rotation.Report{Lag: 60*time.Millisecond + 1}).LagMs; ms != 61 {
		t.Errorf("lag %d ms, want it rounded up", ms)
	}
	for _, want := range []rotation.Answer{{}, {Decided: true}, {Decided: true, Out: true, MeanConnections: 5}} {
		encoded, err := json.Marshal(LoadSummary{Rotation: RotationSummaryOf(want)})
		if err != nil {
			t.Fatal(err)
		}
		var s LoadSummary
		if err := json.Unmarshal(encoded, &s); err != nil || s.Rotation.Answer() != want {
			t.Errorf("%s: %+v, %v; want %+v", encoded, s.Rotation, err, want)
		}
	}
	if encoded, _ := json.Marshal([]any{LoadReport{}, LoadSummary{}}); strings.Contains(string(encoded), "ro") {
		t.Errorf("%s: fields that are not set", encoded)
	}
}
