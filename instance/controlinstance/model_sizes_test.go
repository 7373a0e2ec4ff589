package controlinstance

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// changingService is a service whose models are replaced by new configurations while its targets hold earlier ones.
type changingService struct {
	t       *testing.T
	rng     *rand.Rand
	models  map[string]float64 // configured sizes
	last    map[string]float64 // sizes in the latest configuration with the model
	created int
	version uint64
	view    *fleetview.View
	d       *Director
	fleet   fakeFleet
	engines map[string]*fakeEngine
	beats   map[string]uint64
}

func newChangingService(t *testing.T, seed uint64, held map[string][]string) *changingService {
	s := &changingService{t: t, rng: rand.New(rand.NewPCG(seed, 5)), models: map[string]float64{"m": modelMB, "n": modelMB, "o": modelMB},
		last: map[string]float64{}, fleet: fakeFleet{}, engines: map[string]*fakeEngine{}, beats: map[string]uint64{}}
	s.view = fleetview.New(func([]byte) (*routes.Document, error) { return s.document(), nil }, "", nil)
	for id, models := range held {
		e := newFakeEngine(t, models...)
		e.configuredMB = func(model string) float64 { return s.last[model] }
		s.engines[id], s.fleet[id] = e, e
	}
	s.configure()
	s.startDirector()
	return s
}

func (s *changingService) document() *routes.Document {
	engine := &routes.Engine{Slots: 8, CapacityMB: capacityMB, LoadsPerSecond: 10}
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		engine.Models = append(engine.Models, routes.Model{Name: name, WeightsMB: s.models[name], LoadTime: 300 * time.Millisecond})
	}
	return &routes.Document{Version: s.version, Services: []routes.Service{{Name: "s", Engine: engine}}}
}

func (s *changingService) configure() {
	s.version++
	maps.Copy(s.last, s.models)
	packed, err := routes.Pack(s.version, nil)
	if err == nil {
		err = s.view.SetDocument(packed)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// startDirector starts a control instance that knows nothing of earlier configurations.
func (s *changingService) startDirector() {
	s.d = newDirector(Options{Name: "instance"}, s.view, nil, s.fleet, discardEvents("instance"), metrics.NewRegistry())
	s.d.lease = &lease{term: 7, expiresAt: bootTime() + time.Hour, clock: bootTime}
	s.changeLeader()
}

// changeLeader makes the director forget the targets, as a new leader does.
func (s *changingService) changeLeader() {
	s.d.targets = map[string]*controlledTarget{}
	for id := range s.engines {
		s.d.targets[id] = newControlledTarget(roster.Target{Key: roster.Key{ID: id, StartedAtMs: 1}, Service: "s", Slots: 8})
	}
}

// change withdraws, adds, renames, replaces, adds again or resizes a model.
func (s *changingService) change(resize bool) {
	names := slices.Sorted(maps.Keys(s.models))
	name := names[s.rng.IntN(len(names))]
	switch kind := s.rng.IntN(4); {
	case kind == 0 && len(names) > 2:
		delete(s.models, name)
	case kind == 1:
		s.created++
		s.models[fmt.Sprint("new", s.created)] = modelMB
		delete(s.models, name)
	case kind == 2 && len(s.last) > len(s.models):
		for _, earlier := range slices.Sorted(maps.Keys(s.last)) {
			if _, ok := s.models[earlier]; !ok {
				s.models[earlier] = s.last[earlier]
				break
			}
		}
	case resize:
		s.models[name] = float64(20 + s.rng.IntN(50))
	}
	s.configure()
}

func (s *changingService) run(rounds int, each func(round int)) {
	for round := range rounds {
		each(round)
		now := time.Now()
		s.d.sizes.observe(now, s.view.Table().Document(), s.view.Targets)
		if round%4 == 0 {
			for _, id := range slices.Sorted(maps.Keys(s.engines)) {
				s.beats[id]++
				e := s.engines[id]
				e.deliverHeartbeatAfter(s.d.targets[id], s.beats[id], time.Duration(s.rng.IntN(1500))*time.Millisecond)
				e.mu.Lock()
				models := e.history[len(e.history)-1].report.Models
				e.mu.Unlock()
				if _, err := s.view.ApplyHeartbeat(now, roster.Target{Key: roster.Key{ID: id, StartedAtMs: 1}, Service: "s", Address: "localhost:1", Slots: 8,
					HeartbeatSequence: s.beats[id], Models: models}); err != nil {
					s.t.Fatal(err)
				}
			}
		}
		if round%15 == 0 {
			for _, m := range slices.Sorted(maps.Keys(s.models)) {
				s.d.smoothed[modelKey{"s", m}] = float64(s.rng.IntN(60))
			}
		}
		for _, id := range slices.Sorted(maps.Keys(s.d.targets)) {
			s.d.targets[id].step(context.Background(), now, s.d)
		}
		s.d.plan(now, s.view.Table().Service("s"))
		time.Sleep(tickInterval)
		synctest.Wait()
	}
	time.Sleep(10 * time.Second) // for orders that are still in flight
}

// Guards against a load beside a model that the configuration no longer lists, and against a place that is never used again.
func TestWithdrawnModelTakesItsPlace(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprint("restarted ", restarted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newChangingService(t, 1, map[string][]string{"t": {"m", "n"}})
				delete(s.models, "o")
				s.configure()
				s.run(30, func(int) {})
				delete(s.models, "n")
				s.models["p"] = modelMB
				s.configure()
				if restarted {
					s.startDirector()
				}
				s.run(60, func(int) { s.d.smoothed[modelKey{"s", "p"}] = 20 })
				if e := s.engines["t"]; !e.holds("p") || e.holds("n") || !e.holds("m") {
					t.Errorf("the target holds %v, want m and p", e.models)
				}
			})
		})
	}
}

// Guards against orders beyond the memory of a target in every order of withdrawn, added, replaced, re-added and resized models, with
// late and lost orders, stale reports, and new leaders. A control instance that starts knows no earlier sizes of listed models, so
// restarts are played without resizing.
func TestChangesOfModelsDoNotOvercommit(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newChangingService(t, seed, map[string][]string{"t1": {"m", "n"}, "t2": {"m", "o"}, "t3": {"m"}})
				for _, id := range slices.Sorted(maps.Keys(s.engines)) {
					s.engines[id].loseResponse = func() bool { return s.rng.IntN(6) == 0 }
				}
				resize := seed%2 == 0
				s.run(900, func(round int) {
					switch {
					case round%40 == 39 && s.rng.IntN(2) == 0:
						s.change(resize)
					case s.rng.IntN(100) == 0:
						s.changeLeader()
					case !resize && s.rng.IntN(100) == 0:
						s.startDirector()
					}
				})
			})
		})
	}
}
