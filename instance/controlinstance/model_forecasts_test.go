package controlinstance

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/residency"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// forecastTick lets gateways report the same number of running requests and adds a sample.
func forecastTick(d *Director, now time.Time, gateways, running int) residency.Forecast {
	for g := range gateways {
		d.gateways.put(now, &fleetapi.LoadReport{Gateway: fmt.Sprint("g", g),
			Models: []fleetapi.ModelLoad{{Service: "s", Model: "m", Running: running}}})
	}
	d.gateways.expire(now)
	d.updateDemand(now)
	return d.forecasts.of(modelKey{"s", "m"})
}

// Guards against a partition of gateways, or its end, that passes for a fall or a rise of the demand for all models.
func TestLossOfGatewaysIsNoSlope(t *testing.T) {
	d, _ := newTestDirector(t, nil)
	now := time.Unix(1000, 0)
	d.planAfter = now
	play := func(gateways, running int, length time.Duration) (f residency.Forecast, falling bool, highest float64) {
		for range length / tickInterval {
			now = now.Add(tickInterval)
			f = forecastTick(d, now, gateways, running)
			falling, highest = falling || f.Falling, max(highest, f.Loaded)
		}
		return f, falling, highest
	}
	if _, falling, highest := play(30, 4, 4*time.Second); falling || highest > 121 {
		t.Errorf("steady demand of 120 counts as falling: %v, forecast up to %v", falling, highest)
	}
	if f, falling, _ := play(20, 4, 4*time.Second); falling || f.Loaded < 79 || f.Loaded > 81 {
		t.Errorf("the loss of 10 of 30 gateways counts as falling demand: %v, forecast %+v", falling, f)
	}
	if _, _, highest := play(30, 4, 4*time.Second); highest > 121 {
		t.Errorf("forecast %v after the return of the gateways, at a demand of 120", highest)
	}
	if f, _, _ := play(30, 6, time.Second); f.Loaded < 200 {
		t.Errorf("forecast %+v one second after a rise from 120 to 180", f)
	}
}

// Guards against a plan whose reasons an operator can't see.
func TestMovesByForecastAreRecorded(t *testing.T) {
	d, _ := newTestDirector(t, nil)
	now := time.Unix(1000, 0)
	for i := range 10 {
		forecastTick(d, now.Add(time.Duration(i)*tickInterval), 3, 4)
	}
	service := d.view.Table().Service("s")
	d.recordMove(service, &residency.Move{Target: "t", Load: "m", FromStore: true})
	d.recordMove(service, &residency.Move{Target: "t", Load: "m", FromStore: true, ByForecast: true, Urgency: residency.UrgencyOverload})
	records := d.recorder.Since(0, 10)
	if len(records) != 2 || records[0].Number != events.MovePlanned.Number || records[0].Fields["forecast"] != nil {
		t.Fatalf("records %+v, want one without a forecast and one with it", records)
	}
	if f := records[1].Fields; f["forecast"] != 12.0 || f["demand"] != 12.0 || f["urgency"] != "overload" {
		t.Errorf("fields %+v", f)
	}
	if all, urgent := d.storeLoads.Count(), d.forecasts.storeLoads[residency.UrgencyOverload].Count(); all != 2 || urgent != 1 {
		t.Errorf("%d store loads, %d of them for overload, want 2 and 1", all, urgent)
	}
}
