package controlinstance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/speed"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

const speedTargets = 30

type speedFixture struct {
	t      *testing.T
	d      *Director
	now    time.Time
	starts [speedTargets]int64
	speeds [speedTargets]float64
	// silent targets have no samples.
	silent map[int]bool
	change map[string]uint64 // by gateway
}

func newSpeedFixture(t *testing.T) *speedFixture {
	f := &speedFixture{t: t, now: time.Now(), silent: make(map[int]bool), change: make(map[string]uint64)}
	f.d = &Director{view: newTestView(t, simService), recorder: discardEvents("a"), gateways: newGatewayLoads(), speeds: newSpeeds(metrics.NewRegistry())}
	for i := range f.speeds {
		f.speeds[i] = []float64{0.6, 1, 1.6}[i%3]
		f.beat(i, 1)
	}
	return f
}

func (f *speedFixture) id(i int) string { return fmt.Sprint("t", i) }

func (f *speedFixture) beat(i int, startedAtMs int64) {
	f.t.Helper()
	f.starts[i] = startedAtMs
	_, err := f.d.view.ApplyHeartbeat(f.now, roster.Target{Key: roster.Key{ID: f.id(i), StartedAtMs: startedAtMs}, Service: "s",
		Address: fmt.Sprint("127.0.0.1:", 1000+i), Slots: 8, HeartbeatSequence: 1})
	if err != nil {
		f.t.Fatal(err)
	}
}

// exchange reports samples of one gateway and returns the answer.
func (f *speedFixture) exchange(gateway string) *fleetapi.Speeds {
	r := fleetapi.LoadReport{Gateway: gateway, Speed: &fleetapi.SpeedReport{Change: f.change[gateway]}}
	for i, v := range f.speeds {
		if !f.silent[i] {
			r.Speed.Samples = append(r.Speed.Samples, speed.Sample{Target: f.id(i), StartedAtMs: f.starts[i], Model: "m", GapMs: 45 / v, Count: 60})
		}
	}
	var s fleetapi.LoadSummary
	f.d.exchangeSpeeds(f.now, &r, &s)
	if s.Speeds != nil {
		f.change[gateway] = s.Speeds.Change
	}
	f.d.updateSpeeds(f.now)
	f.now = f.now.Add(500 * time.Millisecond)
	return s.Speeds
}

func (f *speedFixture) events() (numbers []int) {
	for _, e := range f.d.recorder.Since(0, 100) {
		numbers = append(numbers, e.Number)
	}
	return numbers
}

// Guards against speeds that gateways or the planner do not learn, that are sent again without a change, that outlive a restart of their
// target, and against a change that operators are not told of.
func TestSpeedsAtTheLeader(t *testing.T) {
	f := newSpeedFixture(t)
	if first := f.exchange("g"); first != nil {
		t.Fatalf("a leader that has learned nothing publishes %+v", first)
	}
	for range 6 {
		f.exchange("g")
	}
	first := f.exchange("other")
	if first == nil || !first.Complete || len(first.Percent) != speedTargets {
		t.Fatalf("first answer to a gateway: %+v", first)
	}
	for i, want := range f.speeds {
		if got := float64(first.Percent[f.id(i)]) / 100; math.Abs(got/want-1) > 0.1 {
			t.Errorf("speed of %s is %.2f, want %.2f", f.id(i), got, want)
		}
		if got := f.d.targetSpeed("s", f.id(i)); math.Abs(got/want-1) > 0.1 {
			t.Errorf("speed of %s for the planner is %.2f, want %.2f", f.id(i), got, want)
		}
	}
	if got := f.d.targetSpeed("s", "unknown"); got != 1 {
		t.Errorf("speed of an unknown target is %v", got)
	}
	if again := f.exchange("other"); again == nil || again.Complete || len(again.Percent) > 0 {
		t.Errorf("answer without a change: %+v", again)
	}
	beforeRestart := f.change["other"]
	f.beat(2, 2)
	f.silent[2] = true
	f.exchange("g")
	f.exchange("g")
	f.exchange("g")
	if restarted := f.exchange("other"); restarted.Complete || len(restarted.Percent) != 1 || restarted.Percent[f.id(2)] != 0 {
		t.Errorf("answer after a restart: %+v", restarted)
	}
	if got := f.d.targetSpeed("s", f.id(2)); got != 1 {
		t.Errorf("speed of a target that has restarted is %v", got)
	}
	for range 70 { // until the removal is no longer published as a change
		f.exchange("g")
	}
	f.change["other"] = beforeRestart
	if late := f.exchange("other"); !late.Complete || len(late.Percent) != speedTargets-1 {
		t.Errorf("answer to a gateway that has missed changes: complete %t, %d speeds", late.Complete, len(late.Percent))
	}
	if services := f.d.speeds.services.Value(); services != 1 {
		t.Errorf("%d services with speeds, want 1", services)
	}
	for i := range f.speeds {
		f.speeds[i] = 1
	}
	for range 20 {
		f.exchange("g")
	}
	if equal := f.exchange("fresh"); equal == nil || !equal.Complete || len(equal.Percent) > 0 {
		t.Errorf("answer while all targets are equal: %+v", equal)
	}
	if got := f.d.targetSpeed("s", f.id(0)); got != 1 {
		t.Errorf("speed for the planner while all targets are equal: %v", got)
	}
	if numbers := f.events(); !slices.Equal(numbers, []int{events.SpeedsInEffect.Number, events.SpeedsWithdrawn.Number}) {
		t.Errorf("events %v", numbers)
	}
}

// Guards against a build without speeds that is sent some, and against a new leader that withdraws those of its predecessor before it has
// learned its own.
func TestSpeedsAtNewLeader(t *testing.T) {
	f := newSpeedFixture(t)
	for range 6 {
		f.exchange("g")
	}
	var s fleetapi.LoadSummary
	if f.d.exchangeSpeeds(f.now, &fleetapi.LoadReport{Gateway: "earlier build"}, &s); s.Speeds != nil {
		t.Errorf("speeds %+v for a build that does not know them", s.Speeds)
	}
	known := f.change["g"]
	next := newSpeedFixture(t)
	next.change["g"] = known
	if answer := next.exchange("g"); answer != nil {
		t.Errorf("first answer of a new leader: %+v", answer)
	}
	for range 6 {
		next.exchange("g")
	}
	next.change["g"] = known
	if answer := next.exchange("g"); answer == nil || !answer.Complete || len(answer.Percent) != speedTargets {
		t.Errorf("answer of a new leader to what another one published: %+v", answer)
	}
	// The same instance leads again after another one.
	f.now = f.now.Add(time.Minute)
	f.d.updateSpeeds(f.now)
	if answer := f.exchange("g"); answer != nil {
		t.Errorf("answer of a leader that led before: %+v", answer)
	}
}

// Guards against a planner that keeps using the latest speeds although gateways no longer report any, such as after a return to a build
// that does not know them.
func TestSpeedsEndWithoutReports(t *testing.T) {
	f := newSpeedFixture(t)
	for range 6 {
		f.exchange("g")
	}
	if got := f.d.targetSpeed("s", f.id(2)); got == 1 {
		t.Fatal("no speeds")
	}
	for range 31 * 2 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.d.exchangeSpeeds(f.now, &fleetapi.LoadReport{Gateway: "g"}, &fleetapi.LoadSummary{})
		f.d.updateSpeeds(f.now)
	}
	if got := f.d.targetSpeed("s", f.id(2)); got != 1 {
		t.Errorf("speed for the planner is %v 31 s after the last report, want 1", got)
	}
}

// Guards against a new leader that withdraws the speeds of a service with few targets, which it has not learned yet, because those of
// another service are in effect already. A gateway without speeds gets what is known at once.
func TestNewLeaderLearnsAllServices(t *testing.T) {
	f := newSpeedFixture(t)
	const small = 6
	for i := range small {
		if _, err := f.d.view.ApplyHeartbeat(f.now, roster.Target{Key: roster.Key{ID: fmt.Sprint("u", i), StartedAtMs: 1}, Service: "small",
			Address: fmt.Sprint("127.0.0.1:", 2000+i), Slots: 8, HeartbeatSequence: 1}); err != nil {
			t.Fatal(err)
		}
	}
	f.change["knows"] = 1 // of another leader
	f.learnBoth(t, small)
	// The same instance leads again after another one.
	f.now = f.now.Add(time.Minute)
	f.change["knows"] = f.change["fresh"]
	f.learnBoth(t, small)
}

func (f *speedFixture) learnBoth(t *testing.T, small int) {
	t.Helper()
	known := 0
	for i := range 40 {
		r := fleetapi.LoadReport{Gateway: "small", Speed: &fleetapi.SpeedReport{Change: f.change["knows"]}}
		for j := range small {
			r.Speed.Samples = append(r.Speed.Samples, speed.Sample{Target: fmt.Sprint("u", j), StartedAtMs: 1, Model: "m", GapMs: 45 / f.speeds[j], Count: 30})
		}
		var s fleetapi.LoadSummary
		f.d.exchangeSpeeds(f.now, &r, &s)
		if known == 0 && s.Speeds != nil {
			known = len(s.Speeds.Percent)
			if !s.Speeds.Complete || known != speedTargets+small {
				t.Errorf("report %d: first answer to a gateway with the speeds of another leader: complete %t, %d speeds, want %d", i, s.Speeds.Complete,
					known, speedTargets+small)
			}
		}
		f.change["fresh"] = 0
		if answer := f.exchange("fresh"); i == 6 && (answer == nil || len(answer.Percent) != speedTargets) {
			t.Errorf("answer after 3 s to a gateway without speeds: %+v", answer)
		}
	}
	if known == 0 {
		t.Error("a gateway with the speeds of another leader got none in 20 s")
	}
}
