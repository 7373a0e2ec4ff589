package controlinstance

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// Guards against sums that drift from the reports, when gateways report, fall silent and return in any order.
func TestGatewayLoadSumsMatchReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loads := newGatewayLoads()
		now := time.Unix(100, 0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 700).Draw(rt, "pause in ms")) * time.Millisecond)
			r := fleetapi.LoadReport{Gateway: fmt.Sprint("g", rapid.IntRange(0, 4).Draw(rt, "gateway"))}
			for i := range rapid.IntRange(0, 3).Draw(rt, "targets") {
				r.Targets = append(r.Targets, fleetapi.TargetLoad{ID: fmt.Sprint("t", i), Running: rapid.IntRange(0, 9).Draw(rt, "running"),
					SlownessPercent: rapid.IntRange(0, 300).Draw(rt, "slowness")})
			}
			loads.put(now, &r)
			loads.expire(now)
			running, slowness, live := map[string]int{}, map[string]int{}, 0
			for l := range loads.counted() {
				live++
				if age := now.Sub(l.receivedAt); age > gatewayTimeout+expiryInterval {
					rt.Fatalf("a report of %v ago counts", age)
				}
				if l.report.Gateway == r.Gateway {
					continue
				}
				for _, target := range l.report.Targets {
					running[target.ID] += target.Running
					slowness[target.ID] = max(slowness[target.ID], target.SlownessPercent)
				}
			}
			if live != loads.live {
				rt.Fatalf("%d gateways counted, want %d", loads.live, live)
			}
			for _, l := range loads.others(r.Gateway) {
				// Slowness may still be that of a report which was replaced since the last expiry.
				if l.Running != running[l.ID] || l.SlownessPercent < slowness[l.ID] {
					rt.Fatalf("load of the others is %+v, want %d running and a slowness of %d", l, running[l.ID], slowness[l.ID])
				}
				delete(running, l.ID)
			}
			for id, n := range running {
				if n != 0 {
					rt.Fatalf("the load of %s is missing, want %d running", id, n)
				}
			}
		}
	})
}

// Guards against requests that are handed over to gateways that reach no target either, to one gateway alone, or to those that have
// stopped reporting, and against lists that are sent although nothing has changed.
func TestHelpersReachTargets(t *testing.T) {
	g := newGatewayLoads()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	report := func(name string, helps bool) {
		g.put(now, &fleetapi.LoadReport{Gateway: name, Helps: helps})
	}
	const gateways, isolated = 100, 40
	for i := range gateways {
		report(fmt.Sprint("g", i), i >= isolated)
	}
	now = now.Add(expiryInterval)
	g.expire(now)
	chosen := make(map[string]int)
	for i := range isolated {
		list := g.helpers(fmt.Sprint("g", i))
		if len(list) != maxHelpers {
			t.Errorf("%d helpers, want %d", len(list), maxHelpers)
		}
		for _, name := range list {
			chosen[name]++
		}
	}
	for name, n := range chosen {
		var number int
		if _, err := fmt.Sscanf(name, "g%d", &number); err != nil || number < isolated || n > isolated/2 {
			t.Errorf("%s is a helper of %d of %d gateways", name, n, isolated)
		}
	}
	if slices.Contains(g.helpers("g50"), "g50") {
		t.Error("a gateway is its own helper")
	}
	before := g.helpersChange
	now = now.Add(expiryInterval)
	g.expire(now)
	if g.helpersChange != before {
		t.Error("the helpers changed without a report")
	}
	for i := range isolated + 1 {
		now = now.Add(gatewayTimeout / 41)
		report(fmt.Sprint("g", i), i == isolated) // the others are silent
	}
	g.expire(now.Add(gatewayTimeout / 2))
	if list := g.helpers("g0"); len(list) != 1 || list[0] != fmt.Sprint("g", isolated) || g.helpersChange == before {
		t.Errorf("helpers %v, change %d after %d; want only the gateway that still reports", list, g.helpersChange, before)
	}
}

// Guards against a gateway that goes on taking targets for brittle because its own report comes back to it.
func TestBrittleServicesOfOtherGateways(t *testing.T) {
	g := newGatewayLoads()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g.put(now, &fleetapi.LoadReport{Gateway: "g1", Brittle: map[string]int{"s": 5, "other": 1}})
	g.put(now, &fleetapi.LoadReport{Gateway: "g2", Brittle: map[string]int{"s": 3}})
	g.put(now, &fleetapi.LoadReport{Gateway: "g3"})
	g.expire(now.Add(expiryInterval))
	for gateway, want := range map[string]map[string]int{"g1": {"s": 3}, "g2": {"s": 5, "other": 1}, "g3": {"s": 3, "other": 1}} {
		if got := g.brittleServices(gateway); !maps.Equal(got, want) {
			t.Errorf("%s is told %v, want %v", gateway, got, want)
		}
	}
	g.expire(now.Add(2 * gatewayTimeout))
	if got := g.brittleServices("g3"); len(got) != 0 {
		t.Errorf("%v after the gateways have stopped reporting", got)
	}
}
