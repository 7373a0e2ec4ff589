package controlinstance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/pace"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// Guards against a leader that names no window of a target that has started, whose window does not grow, or that tells operators
// nothing of it.
func TestStartPhaseAtTheLeader(t *testing.T) {
	view := newTestView(t, simService)
	recorder := discardEvents("a")
	d := &Director{opts: Options{SlowStart: true}, view: view, recorder: recorder, gateways: newGatewayLoads(), starts: newStarts(metrics.NewRegistry())}
	now := time.Now()
	beat := func(id string, startedAtMs int64) {
		_, err := view.ApplyHeartbeat(now, roster.Target{Key: roster.Key{ID: id, StartedAtMs: startedAtMs}, Service: "s",
			Address: "127.0.0.1:" + id, Slots: 8, HeartbeatSequence: 1})
		if err != nil {
			t.Fatal(err)
		}
	}
	const gateways = 20
	exchange := func(r fleetapi.LoadReport) fleetapi.LoadSummary {
		var s fleetapi.LoadSummary
		d.gateways.put(now, &r)
		d.exchangeStarts(now, &r, &s)
		return s
	}
	beat("1", 1)
	beat("2", 1)
	d.updateStarts(now)
	for range 8 {
		for i := range gateways {
			if s := exchange(fleetapi.LoadReport{Gateway: fmt.Sprint("g", i)}); len(s.Starting) > 0 {
				t.Fatalf("parts %+v of targets that are known since the start of the instance", s.Starting)
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	beat("1", 2)
	d.updateStarts(now)
	key := roster.Key{ID: "1", StartedAtMs: 2}
	sizes, allowed := []int{}, 0
	var round int64
	for step := range 12 {
		i := step % gateways
		s := exchange(fleetapi.LoadReport{Gateway: fmt.Sprint("g", i), Starting: []pace.Observation{
			{Target: key, Round: round, InTime: allowed, Wanted: 3}}})
		if len(s.Starting) == 0 {
			break // it has ended
		}
		p := s.Starting[0]
		if p.Target != key {
			t.Fatalf("part %+v", p)
		}
		round, allowed = p.Round, p.Allowed
		sizes = append(sizes, p.Window)
		now = now.Add(50 * time.Millisecond)
	}
	if len(sizes) < 3 || sizes[0] != 2 || !slices.IsSorted(sizes) || d.starts.sums.Starting() > 0 {
		t.Errorf("windows %v, want from 2 to the end of the phase", sizes)
	}
	var names []int
	for _, e := range recorder.Since(0, 100) {
		names = append(names, e.Number)
	}
	if !slices.Equal(names, []int{events.StartPhaseBegan.Number, events.StartPhaseEnded.Number}) {
		t.Errorf("events %v", names)
	}
}
