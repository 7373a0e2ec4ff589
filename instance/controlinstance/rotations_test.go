package controlinstance

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// Guards against a leader that takes no overloaded gateway out of rotation, does not name it to operators, decides without its lease,
// or counts gateways of builds that report no lag; and against a new leader that knows nothing of a gateway that is out.
func TestRotationAtTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newQuotaDirector(t, 1)
		reports := func(d *Director, out bool) (summary fleetapi.LoadSummary) {
			for i := range 17 {
				r := fleetapi.LoadReport{Gateway: fmt.Sprint("g", i), Rotation: &fleetapi.RotationReport{DataCentre: "a", LagMs: 2, Connections: 5}}
				switch {
				case i == 3:
					r.Rotation.LagMs, r.Rotation.Connections = 300, 12
					if out {
						r.Rotation.State = 1
					}
				case i == 4:
					r.Rotation = nil // of an older build
				}
				s, err := d.Exchange(time.Now(), &r)
				if err != nil {
					t.Fatal(err)
				}
				if i == 3 {
					summary = s
				} else if s.Rotation != nil {
					t.Fatalf("decision %+v on %s", s.Rotation, r.Gateway)
				}
			}
			time.Sleep(100 * time.Millisecond)
			return summary
		}
		decision := (*fleetapi.RotationSummary)(nil)
		for range 35 {
			if decision = reports(d, false).Rotation; decision != nil {
				break
			}
		}
		if decision == nil || !decision.Out || decision.MeanConnections != 6 { // 87 connections of 16 gateways
			t.Fatalf("decision %+v on an overloaded gateway", decision)
		}
		if out := outOfRotation(d); !slices.Equal(out, []string{"g3"}) {
			t.Errorf("out of rotation: %v", out)
		}
		d.tick(t.Context(), time.Now())
		if n := d.rotations.out.Value(); n != 1 || d.rotations.taken.Count() != 1 {
			t.Errorf("gauge %d, counter %d", n, d.rotations.taken.Count())
		}
		if kept := d.recorder.Since(0, 1000); !slices.ContainsFunc(kept, func(r events.Record) bool { return r.Number == events.GatewayTakenOut.Number }) {
			t.Errorf("no event %s", events.GatewayTakenOut.Name)
		}
		d.lease.expiresAt = 0
		if s := reports(d, true); s.Rotation != nil || len(outOfRotation(d)) > 0 {
			t.Errorf("decision %+v without a lease, out of rotation %v", s.Rotation, outOfRotation(d))
		}
		next := newQuotaDirector(t, 2)
		if s := reports(next, true); s.Rotation == nil || !s.Rotation.Out {
			t.Errorf("decision %+v of a new leader on a gateway that is out", s.Rotation)
		}
		if out := outOfRotation(next); !slices.Equal(out, []string{"g3"}) {
			t.Errorf("out of rotation at a new leader: %v", out)
		}
		// A later term of the same instance begins with what gateways report.
		next.lease.term = 3
		if out := outOfRotation(next); len(out) > 0 {
			t.Errorf("out of rotation in a new term: %v", out)
		}
		reports(next, false)
		if out := outOfRotation(next); len(out) > 0 {
			t.Errorf("out of rotation in a new term: %v, although none reported to be", out)
		}
		reports(next, true)
		if out := outOfRotation(next); !slices.Equal(out, []string{"g3"}) {
			t.Errorf("out of rotation in a new term: %v", out)
		}
	})
}

func outOfRotation(d *Director) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gatewaysOut(time.Now())
}
