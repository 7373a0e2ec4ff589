package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// Guards against a gateway that applies changes to the wrong speeds, keeps removed ones, or forgets them with a leader that is lost for a
// moment or does not know them yet.
func TestSpeedsAtTheGateway(t *testing.T) {
	f := newFixture(t)
	g := f.gateway
	now := time.Now()
	want := func(what string, a, b float64) {
		t.Helper()
		if gotA, gotB := g.loadTracker.SpeedOf("a"), g.loadTracker.SpeedOf("b"); gotA != a || gotB != b {
			t.Errorf("%s: speeds %v and %v, want %v and %v", what, gotA, gotB, a, b)
		}
	}
	want("at the start", 1, 1)
	g.applySpeeds(now, &fleetapi.Speeds{Change: 7, Complete: true, Percent: map[string]int{"a": 60, "b": 160}})
	want("all", 0.6, 1.6)
	g.applySpeeds(now, &fleetapi.Speeds{Change: 8, Percent: map[string]int{"a": 70}})
	want("a change", 0.7, 1.6)
	if report := g.reportSpeeds(now); report.Change != 8 {
		t.Errorf("reported change %d, want 8", report.Change)
	}
	g.applySpeeds(now, &fleetapi.Speeds{Change: 9, Percent: map[string]int{"b": 0}})
	want("a removal", 0.7, 1)
	now = now.Add(25 * time.Second)
	g.applySpeeds(now, &fleetapi.Speeds{Change: 9})
	now = now.Add(29 * time.Second)
	g.applySpeeds(now, nil)
	want("29 s without a leader", 0.7, 1)
	now = now.Add(2 * time.Second)
	g.applySpeeds(now, nil)
	want("31 s without a leader", 1, 1)
	if report := g.reportSpeeds(now); report.Change != 0 {
		t.Errorf("reported change %d after the speeds were dropped, want 0, so that all are sent again", report.Change)
	}
	g.applySpeeds(now, &fleetapi.Speeds{Change: 3, Complete: true, Percent: map[string]int{"b": 150}})
	want("a new leader", 1, 1.5)
	g.applySpeeds(now, &fleetapi.Speeds{Change: 4, Complete: true})
	want("withdrawn", 1, 1)
	if report := g.reportSpeeds(now); report.Change != 0 {
		t.Errorf("reported change %d without speeds, want 0, so that a new leader sends at once what it has learned", report.Change)
	}
}

// Guards against samples in each of ten reports per second, against a leader that gets more of them with more gateways, and against messages that builds without speeds do not decode.
func TestSpeedReports(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("t", "engine", answerOK)
	g := f.gateway
	now := time.Now()
	inFlight := g.loadTracker.Start(now, "t", "m", 10)
	for _, c := range []struct{ gateways, most int }{{1, 7}, {77, 7}, {300, 3}} {
		g.gatewayCount.Observe(now, c.gateways)
		with := 0
		for i := range 30 {
			now = now.Add(100 * time.Millisecond)
			g.gatewayCount.Observe(now, c.gateways)
			g.loadTracker.Event(now, inFlight, 45*time.Millisecond)
			if r := g.reportSpeeds(now); len(r.Samples) > 0 {
				with++
				if s := r.Samples[0]; s.Target != "t" || s.Model != "m" || s.StartedAtMs == 0 {
					t.Errorf("report %d: sample %+v", i, s)
				}
			}
		}
		if with < 1 || with > c.most {
			t.Errorf("%d gateways: %d of 30 reports in 3 s have samples, want at most %d", c.gateways, with, c.most)
		}
	}
	if data, err := json.Marshal(fleetapi.LoadReport{Gateway: "g"}); err != nil || string(data) != `{"g":"g"}` {
		t.Errorf("a report without speeds is %s, %v", data, err)
	}
}
