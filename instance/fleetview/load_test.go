package fleetview

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

const (
	// trafficBound is the control traffic of a gateway at the planned size, in bytes a second.
	trafficBound = 28_000
	// departureBound is the shortest time of the users' sites within which targets that leave get nothing more.
	departureBound = 2 * time.Second
	// messageTime and byteTime are what a message and a byte of it cost a control instance of 0.48 of a core, at a quarter below what the
	// recorded day shows: 3.4 MB a second at the limit.
	messageTime = 100 * time.Microsecond
	byteTime    = 200 * time.Nanosecond
	// watchRequestBytes is the size of a request to watch, with its envelope.
	watchRequestBytes = 250
)

// work occupies the processor of a control instance for a message.
func (f *splitFleet) work(name string, bytes int) {
	processor := f.processors[name]
	if processor == nil {
		return
	}
	processor <- struct{}{}
	time.Sleep(messageTime + time.Duration(bytes)*byteTime)
	<-processor
}

func (f *splitFleet) serveCrashes(name string, report fleetapi.CrashReport) error {
	data, err := json.Marshal(report)
	if err != nil {
		return err
	}
	f.work(name, len(data))
	f.mu.Lock()
	f.reports++
	f.reportBytes += len(data)
	f.mu.Unlock()
	f.views[name].MergeCrashes(time.Now(), report.Crashes)
	time.Sleep(splitLinkDelay)
	return nil
}

// loadedFleet is a deployment of the size of the recorded day for each control instance: three instead of six, with half of the gateways.
type loadedFleet struct {
	*splitFleet
	gateways []*View
	targets  []roster.Target
	rng      *rand.Rand
}

func newLoadedFleet(t *testing.T) *loadedFleet {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(time.Minute) // until the control instances have worked off what waits for them
		synctest.Wait()
	})
	const (
		gateways = 147
		targets  = 204
	)
	f := &loadedFleet{splitFleet: newSplitFleet(ctx, 3), rng: rand.New(rand.NewPCG(1, 1))}
	f.processors = make(map[string]chan struct{})
	for _, name := range f.members {
		f.processors[name] = make(chan struct{}, 1)
	}
	f.acknowledge(packVersion(t, 1))
	for i := range targets {
		target := roster.Target{Key: roster.Key{ID: fmt.Sprintf("i-%010x", f.rng.Uint64()>>24), StartedAtMs: 1772028513284}, Service: "net-assistant",
			Address: fmt.Sprintf("10.%d.64.%d:8062", 1+i%6, 1+i/6), DataCentre: fmt.Sprint("dc", i%2), SoftwareVersion: "v1", Slots: 12}
		for range 3 {
			target.Models = append(target.Models, roster.Held{Model: f.drawName(), Version: 1})
		}
		f.targets = append(f.targets, target)
		f.announce(i)
	}
	time.Sleep(time.Second)
	f.gateways = f.startGateways(ctx, gateways)
	time.Sleep(4 * time.Second)
	return f
}

func (f *loadedFleet) drawName() string { return fmt.Sprintf("daka%06d", f.rng.IntN(1_000_000)) }

// announce sends the next heartbeat of a target.
func (f *loadedFleet) announce(i int) {
	f.targets[i].HeartbeatSequence++
	_, _ = f.views[f.members[i%len(f.members)]].ApplyHeartbeat(time.Now(), f.targets[i])
}

// changeAdapters has targets load a number of adapters a second, for a time. Targets hold eight each.
func (f *loadedFleet) changeAdapters(perSecond int, period time.Duration) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		i := f.rng.IntN(len(f.targets))
		held := &f.targets[i].Models[f.rng.IntN(3)]
		adapters := append([]string{fmt.Sprint("a", f.rng.IntN(144))}, held.Adapters...)
		f.targets[i].Models = append([]roster.Held(nil), f.targets[i].Models...)
		f.targets[i].Models[f.rng.IntN(3)].Adapters = adapters[:min(len(adapters), 3)]
		f.announce(i)
	}
}

// crash records that a target crashed under requests of several gateways. Each request has a whole, a shared first part, another shared
// one and one of its own.
func (f *loadedFleet) crash(target, requests int) {
	now := time.Now()
	for range requests {
		suspects := []crashes.Suspect{{Key: crashes.Key(f.rng.Uint64())}, {Key: sharedPart(f.rng.IntN(3)), Depth: 1},
			{Key: sharedPart(3 + f.rng.IntN(74)), Depth: 2}, {Key: crashes.Key(f.rng.Uint64()), Depth: 3}}
		f.gateways[f.rng.IntN(len(f.gateways))].RecordCrash(now, crashes.Occurrence{SentAt: now.Add(-200 * time.Millisecond), At: now},
			crashes.TargetID(f.targets[target].ID, uint64(f.targets[target].StartedAtMs)), suspects)
	}
}

// answer has gateways pass on answers on shared parts until ctx ends: six a second at each gateway.
func (f *loadedFleet) answer(ctx context.Context) {
	rng := rand.New(rand.NewPCG(2, 2))
	for ctx.Err() == nil {
		f.gateways[rng.IntN(len(f.gateways))].RecordSound(time.Now(), crashes.UnknownVersion,
			[]crashes.Suspect{{Key: sharedPart(rng.IntN(3)), Depth: 1}, {Key: sharedPart(3 + rng.IntN(74)), Depth: 2}})
		time.Sleep(time.Second / time.Duration(6*len(f.gateways)))
	}
}

func sharedPart(n int) crashes.Key { return crashes.PartKey(fmt.Sprint("shared ", n)) }

// departureDelay announces at one control instance that a target leaves, and returns the time until the last gateway knows it.
func (f *loadedFleet) departureDelay(t *testing.T, i int) time.Duration {
	t.Helper()
	f.targets[i].State = roster.Draining
	f.announce(i)
	announced := time.Now()
	for behind := 1; behind > 0; time.Sleep(5 * time.Millisecond) {
		behind = 0
		for _, v := range f.gateways {
			if !v.departed(f.targets[i].Key) {
				behind++
			}
		}
		if time.Since(announced) > 5*departureBound {
			t.Fatalf("%d gateways do not know of a departure %v after it was announced", behind, 5*departureBound)
		}
	}
	return time.Since(announced)
}

func (v *View) departed(key roster.Key) bool {
	for _, t := range v.Targets() {
		if t.ID == key.ID {
			return t.Key != key || t.State != roster.Ready
		}
	}
	return true
}

// takeTrafficOfGateways returns the bytes a second between each gateway and the control instances since the last call.
func (f *loadedFleet) takeTrafficOfGateways(period time.Duration) int {
	answers, _ := f.takeTraffic()
	f.mu.Lock()
	defer f.mu.Unlock()
	bytes := answers + f.reportBytes
	f.reportBytes, f.reports = 0, 0
	return int(float64(bytes) / period.Seconds() / float64(len(f.gateways)))
}

// Guards against control instances without processor time while targets load adapters, as at the start of a deployment: each change of
// a target went to two watches of each gateway, and departures reached gateways seconds late.
func TestDeparturesReachGatewaysWhileTargetsLoadAdapters(t *testing.T) {
	const period = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newLoadedFleet(t)
		f.takeTrafficOfGateways(time.Second)
		changes := make(chan struct{})
		go func() {
			defer close(changes)
			f.changeAdapters(280, period) // 838 orders in 3 s on the recorded day
		}()
		time.Sleep(period / 2)
		delay := f.departureDelay(t, 7)
		<-changes
		traffic := f.takeTrafficOfGateways(period)
		t.Logf("a departure took %v, %d B/s for each gateway", delay, traffic)
		if delay > departureBound {
			t.Errorf("a departure took %v, want %v at most", delay, departureBound)
		}
		if traffic > trafficBound {
			t.Errorf("%d B/s for each gateway, want %d at most", traffic, trafficBound)
		}
	})
}

// Guards against control instances without processor time after many targets have crashed at once: all gateways reported what they knew
// about the parts of prompts that were on the targets, with all crashes of each part, again and again.
func TestDeparturesReachGatewaysAfterManyCrashes(t *testing.T) {
	const (
		lost     = 45 // of 204 targets, twice within 3 s on the recorded day
		requests = 8  // at each target
		period   = 6 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		f := newLoadedFleet(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go f.answer(ctx)
		time.Sleep(5 * time.Second)
		f.takeTrafficOfGateways(time.Second)
		began := time.Now()
		for i := range 2 * lost {
			f.crash(i, requests)
			if i == lost {
				time.Sleep(3 * time.Second)
			}
			time.Sleep(5 * time.Millisecond)
		}
		delay := f.departureDelay(t, 150)
		time.Sleep(time.Until(began.Add(period)))
		f.mu.Lock()
		reports := f.reports
		f.mu.Unlock()
		traffic := f.takeTrafficOfGateways(period)
		t.Logf("a departure took %v, %d reports, %d B/s for each gateway", delay, reports, traffic)
		if delay > departureBound {
			t.Errorf("a departure took %v, want %v at most", delay, departureBound)
		}
		if traffic > trafficBound {
			t.Errorf("%d B/s for each gateway, want %d at most", traffic, trafficBound)
		}
		for _, v := range f.gateways {
			if keys := v.crashes.Keys(time.Now()); len(keys) > 0 {
				t.Fatalf("%d sound parts are quarantined", len(keys))
			}
		}
	})
}

// Guards against gateways that learn nothing of departures or of new models while the instance that informs them of models is silent or has
// lost contact: the other one that they watch only tells what is urgent.
func TestGatewaysTurnToTheInstanceThatStandsBy(t *testing.T) {
	for _, fault := range []string{"silent", "cut off"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLoadedFleet(t)
				if fault == "silent" {
					f.mu.Lock()
					f.frozen["c0"] = true
					f.mu.Unlock()
				} else {
					f.cut("c0")
				}
				if delay := f.departureDelay(t, 1); delay > departureBound { // c1 gets the heartbeat
					t.Errorf("a departure took %v, want %v at most", delay, departureBound)
				}
				f.targets[4].Models = []roster.Held{{Model: "new", Version: 1}} // c1 as well
				f.announce(4)
				time.Sleep(2 * departureBound)
				f.targets[4].Models = []roster.Held{{Model: "newer", Version: 1}}
				f.announce(4)
				time.Sleep(departureBound)
				for i, v := range f.gateways {
					if !slices.ContainsFunc(v.Targets(), func(e roster.Entry) bool { return e.HeldModel("newer") != nil }) {
						t.Fatalf("gateway %d does not know of a model %v after it was loaded", i, departureBound)
					}
				}
			})
		})
	}
}
