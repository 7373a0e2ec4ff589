package fleetview

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// Guards against control instances that answer hundreds of gateways at each change of what a target holds, and against
// gateways that learn late that a target leaves.
func TestGatewaysGetContentChangesInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 200
		v := New(nil, "dc", nil)
		sequence := uint64(0)
		beat := func(model string, state roster.State) {
			t.Helper()
			sequence++
			_, err := v.ApplyHeartbeat(time.Now(), roster.Target{Key: roster.Key{ID: "t", StartedAtMs: 1}, Service: "s", Address: "t:1",
				HeartbeatSequence: sequence, State: state, Models: []roster.Held{{Model: model}}})
			if err != nil {
				t.Fatal(err)
			}
		}
		beat("m0", roster.Ready)
		noControl := func() (string, []string) { return "", nil }
		request := fleetapi.WatchRequest{Epoch: 1, Gateway: true,
			ChangeNumber: v.watchResponse(1, "", nil, time.Now(), &fleetapi.WatchRequest{}).Roster.Change}
		watch := func() (answers chan time.Duration) {
			answers = make(chan time.Duration, gateways)
			for range gateways {
				started := time.Now()
				go func() {
					v.ServeWatch(context.Background(), 1, noControl, time.Now, request)
					answers <- time.Since(started)
				}()
			}
			synctest.Wait()
			return answers
		}
		answers := watch()
		for i := range 10 {
			beat(fmt.Sprint("m", i+1), roster.Ready)
			time.Sleep(5 * time.Millisecond)
		}
		synctest.Wait()
		if early := len(answers); early > gateways/2 {
			t.Fatalf("%d of %d watches were answered within 50ms of changes, want them batched", early, gateways)
		}
		for range gateways {
			if took := <-answers; took > maxContentDelay {
				t.Fatalf("a watch was answered %v after the first change, want at most %v", took, maxContentDelay)
			}
		}
		request.ChangeNumber = v.watchResponse(1, "", nil, time.Now(), &request).Roster.Change
		answers = watch()
		beat("m10", roster.Draining)
		synctest.Wait()
		if len(answers) != gateways {
			t.Fatalf("%d of %d watches were answered when a target began to leave, want all at once", len(answers), gateways)
		}
	})
}

// Guards against traffic between data centres that one control instance in the own data centre would save, and against a
// gateway that depends on its own data centre alone or keeps to an instance that fails.
func TestGatewaysWatchOneLocalAndOneRemoteInstance(t *testing.T) {
	members := []string{"a1", "a2", "b1", "b2", "c1"}
	dataCentres := []string{"a", "a", "b", "b", "c"}
	for i := range 50 {
		v := New(nil, "b", members)
		v.SetDataCentres(members, dataCentres)
		w := NewWatcher(v, nil, fmt.Sprint("g", i), false, nil)
		chosen := w.chooseInstances(time.Now(), w.candidates())
		if len(chosen) != watchedInstances || chosen[0][0] != 'b' || chosen[1][0] == 'b' {
			t.Fatalf("chose %v, want one in data centre b and one elsewhere", chosen)
		}
		w.recordFailure("b1", time.Now())
		w.recordFailure("b2", time.Now())
		for _, name := range w.chooseInstances(time.Now(), w.candidates()) {
			if name[0] == 'b' {
				t.Fatalf("chose %s, whose watch has just failed", name)
			}
		}
	}
}

// silentPeers answers the watches of all instances but one, to which calls get no answer.
type silentPeers struct {
	silent string

	mu      sync.Mutex
	answers map[string]int
}

func (p *silentPeers) Call(ctx context.Context, name, _ string, _, result any) error {
	if name == p.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(longPollTimeout):
	case <-ctx.Done():
		return ctx.Err()
	}
	p.mu.Lock()
	p.answers[name]++
	p.mu.Unlock()
	return json.Unmarshal([]byte(`{"e":1}`), result)
}

// Guards against a gateway that returns to an unresponsive control instance, which ranks first for it, as soon as it has
// turned to another one.
func TestUnresponsiveInstanceIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []string{"a1", "b1", "c1"}
		v := New(nil, "a", members)
		v.SetDataCentres(members, []string{"a", "b", "c"})
		peers := &silentPeers{silent: "a1", answers: map[string]int{}}
		w := NewWatcher(v, peers, "g", false, func(string, error) {})
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(20 * time.Second)
		stop()
		synctest.Wait()
		for _, name := range []string{"b1", "c1"} {
			// Two rounds of watchTimeout with the silent instance and the pauses between polls leave at least 12 s.
			if n := peers.answers[name]; n < 12 {
				t.Errorf("%s answered %d watches in 20 s while a1 was silent, want at least 12", name, n)
			}
		}
	})
}
