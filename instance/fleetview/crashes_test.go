package fleetview

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// fakeInstances are control instances without a replicated log.
type fakeInstances struct {
	mu      sync.Mutex
	views   map[string]*View
	epochs  map[string]uint64
	reports atomic.Int64
}

// restart starts an instance that knows nothing of before.
func (f *fakeInstances) restart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views[name] = New(nil, "dc", nil)
	f.epochs[name]++
}

func (f *fakeInstances) view(name string) (*View, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.views[name], f.epochs[name]
}

func (f *fakeInstances) Call(ctx context.Context, name, method string, params, result any) error {
	v, epoch := f.view(name)
	time.Sleep(time.Millisecond)
	if v == nil {
		return errors.New("the instance is down")
	}
	switch method {
	case peerapi.MethodFleetCrashes:
		f.reports.Add(1)
		v.MergeCrashes(time.Now(), params.(fleetapi.CrashReport).Crashes)
		return nil
	case peerapi.MethodFleetWatch:
		response := v.ServeWatch(ctx, epoch, func() (string, []string) { return "", nil }, time.Now, params.(fleetapi.WatchRequest))
		if _, now := f.view(name); now != epoch {
			return errors.New("the instance has restarted")
		}
		data, err := json.Marshal(response)
		if err != nil {
			return err
		}
		return json.Unmarshal(data, result)
	}
	return errors.Errorf("unexpected method %s", method)
}

// Guards against crashes that a gateway observed and the others never learn of, against knowledge that is lost when the
// control instances restart, and against reports that never end.
func TestCrashesReachAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := &fakeInstances{views: make(map[string]*View), epochs: make(map[string]uint64)}
		members := []string{"a", "b", "c"}
		for _, name := range members {
			instances.restart(name)
		}
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		watch := func(v *View, name string, all bool) *View {
			go NewWatcher(v, instances, name, all, func(string, error) {}).Run(ctx)
			return v
		}
		for _, name := range members {
			watch(instances.views[name], name, true)
		}
		var gateways []*View
		const initial = 40
		for i := range initial {
			v := New(nil, "dc", members)
			v.SetLeaderAndMembers("", members)
			gateways = append(gateways, watch(v, fmt.Sprint("g", i), false))
		}
		time.Sleep(time.Second)
		bad := []crashes.Suspect{{Key: crashes.PartKey("bad"), Depth: 2}}
		for i := range 3 {
			now := time.Now()
			gateways[i].RecordCrash(now, crashes.Occurrence{At: now}, uint64(i+1), bad)
			time.Sleep(200 * time.Millisecond)
		}
		requireKnown := func(what string) {
			t.Helper()
			for i, v := range gateways {
				if _, _, found := v.Quarantined(time.Now(), bad); !found {
					t.Errorf("%s: gateway %d does not know of the crashes", what, i)
				}
			}
		}
		time.Sleep(maxContentDelay)
		requireKnown("after the third crash")
		if n := instances.reports.Load(); n > 3*initial*watchedInstances {
			t.Errorf("%d reports of three crashes", n)
		}
		for _, name := range members {
			instances.restart(name)
			watch(instances.views[name], name, true)
		}
		time.Sleep(3 * watchTimeout)
		v := New(nil, "dc", members)
		v.SetLeaderAndMembers("", members)
		gateways = append(gateways, watch(v, "new", false))
		time.Sleep(3 * time.Second)
		requireKnown("after a restart of all control instances")
		time.Sleep(2 * failurePause) // until no gateway changes the instances that it watches
		before := instances.reports.Load()
		time.Sleep(time.Minute)
		if n := instances.reports.Load() - before; n != 0 {
			t.Errorf("%d reports in a minute without a crash", n)
		}
	})
}
