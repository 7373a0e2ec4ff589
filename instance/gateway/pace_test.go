package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/pace"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// nameParts applies a summary with the part of the gateway in the window of a target.
func (f *fixture) nameParts(gateways int, id string, round int64, allowed int) {
	f.t.Helper()
	f.gateway.opts.SlowStart = true
	summary := fleetapi.LoadSummary{Gateways: gateways,
		Starting: []pace.Part{{Target: roster.Key{ID: id, StartedAtMs: 1}, Round: round, Window: 2, Allowed: allowed}}}
	if err := f.gateway.applySummary(time.Now(), &summary); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) callMany(n int, prefix string) map[int]int {
	f.t.Helper()
	statuses := make(map[int]int)
	for i := range n {
		response, _, err := f.call(fmt.Sprint(prefix, i), "/safe/1")
		if err != nil {
			f.t.Fatal(err)
		}
		statuses[response.StatusCode]++
	}
	return statuses
}

// Guards against requests to a target in its start phase beyond the part of the gateway while another target takes them, and against a
// held back target that is the only one.
func TestStartingTargetGetsItsPart(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("starting", "plain", answerOK)
	f.nameParts(77, "starting", 5, 0)
	if statuses := f.callMany(5, "only"); statuses[200] != 5 {
		t.Fatalf("statuses %v with the starting target as the only one", statuses)
	}
	f.target("sound", "plain", answerOK)
	before := f.gateway.metrics.startingSends.Count()
	if statuses := f.callMany(30, "both"); statuses[200] != 30 {
		t.Errorf("statuses %v", statuses)
	}
	if n := f.gateway.metrics.startingSends.Count() - before; n > 0 {
		t.Errorf("%d requests to the starting target without a part", n)
	}
	f.nameParts(77, "starting", 5, 1)
	if statuses := f.callMany(60, "part"); statuses[200] != 60 {
		t.Errorf("statuses %v", statuses)
	}
	if f.gateway.metrics.startingSends.Count() == before {
		t.Error("no request to the starting target with a part")
	}
	if reported := f.gateway.pace.Report(); len(reported) != 1 || reported[0].Round != 5 || reported[0].InTime == 0 || reported[0].Bad > 0 {
		t.Errorf("reported %+v", reported)
	}
}

// Guards against an effect where gateways do not outnumber the slots of a target, of which it has four here.
func TestFewGatewaysStartTargetsAsBefore(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.target("starting", "plain", answerOK)
	f.target("sound", "plain", answerOK)
	f.nameParts(4, "starting", 5, 0)
	f.callMany(60, "r")
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.gateway.metrics.startingSends.Count(); n > 0 {
		t.Errorf("%d sends count as those to a starting target", n)
	}
}

// Guards against refusals and broken responses that do not reach the leader.
func TestBadResponsesOfStartingTargetAreReported(t *testing.T) {
	for name, serve := range map[string]func(net.Conn, *http.Request, string){"refused": rejectFull, "broken": closeConnection} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			f.target("starting", "plain", serve)
			f.nameParts(77, "starting", 5, 9)
			if _, _, err := f.call("r", "/safe/1"); err != nil {
				t.Fatal(err)
			}
			if reported := f.gateway.pace.Report(); len(reported) != 1 || reported[0].Bad == 0 || reported[0].InTime > 0 {
				t.Errorf("reported %+v", reported)
			}
		})
	}
}

// Guards against messages that builds before the start phases do not decode, and against a phase that a leader of such a build never
// ends.
func TestLeaderOfEarlierBuild(t *testing.T) {
	data, err := json.Marshal(fleetapi.LoadSummary{Gateways: 77})
	if err != nil || string(data) != `{"g":77}` {
		t.Errorf("a summary without start phases is %s, %v", data, err)
	}
	f := newFixture(t)
	f.configure()
	f.target("starting", "plain", answerOK)
	f.nameParts(77, "starting", 5, 0)
	if err := f.gateway.applySummary(time.Now(), &fleetapi.LoadSummary{Gateways: 77}); err != nil {
		t.Fatal(err)
	}
	if n := f.gateway.pace.Starting(); n > 0 {
		t.Errorf("%d start phases that the leader does not name", n)
	}
}
