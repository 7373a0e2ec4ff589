package callpolicy

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/coordination/quarantine"
	"github.com/tarragonhoist/tarragonhoist/coordination/retry"
	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
	"github.com/tarragonhoist/tarragonhoist/coordination/straggler"
	"github.com/tarragonhoist/tarragonhoist/instance/admissionqueue"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// noSuspectsOrRemotes implements Suspects without suspects and Remote without other data centres.
type noSuspectsOrRemotes struct{}

func (noSuspectsOrRemotes) IsSuspect(quarantine.Fingerprint) bool     { return false }
func (noSuspectsOrRemotes) HasClaim(quarantine.Target) bool           { return false }
func (noSuspectsOrRemotes) Address(string, *rand.Rand) (string, bool) { return "", false }

func (noSuspectsOrRemotes) Neighbours() []Neighbour { return nil }

// neighbours are other instances of the data centre.
type neighbours struct {
	noSuspectsOrRemotes
	list []Neighbour
}

func (n neighbours) Neighbours() []Neighbour { return slices.Clone(n.list) }

// Guards against an instance that refuses requests because it has lost its links to the targets, while others of its data centre
// reach them, and against one that passes overload on to them.
func TestInstanceWithoutReachableTargetAsksNeighbours(t *testing.T) {
	p := newPolicy(t, "e1", "e2")
	p.remote = neighbours{list: []Neighbour{{"a2", "10.0.0.2:80"}, {"a3", "10.0.0.3:80"}}}
	tried := make(map[string]bool)
	avoid := func(id string) bool { return strings.HasPrefix(id, "e") || tried[id] }
	for _, c := range []struct {
		name                string
		unreached, maySpill bool
	}{{"targets refuse", false, true}, {"request of another instance", true, false}} {
		w := work(16)
		w.Unreached, w.MaySpill = c.unreached, c.maySpill
		if picked, _, refusal := p.Pick(w, avoid); refusal == nil {
			t.Errorf("%s: picked %+v, want a refusal", c.name, picked)
		}
	}
	w := work(16)
	w.Unreached, w.MaySpill = true, true
	if picked, _, refusal := p.Pick(w, avoidNone); refusal != nil || picked.Remote {
		t.Errorf("picked %+v although a target is left", picked)
	}
	for range 2 {
		picked, done, refusal := p.Pick(w, avoid)
		if refusal != nil || !picked.Remote || picked.Address == "" || tried[picked.ID()] {
			t.Fatalf("picked %+v, refusal %v; want another instance", picked, refusal)
		}
		done(modelcalls.Result{})
		tried[picked.ID()] = true
	}
	if picked, _, refusal := p.Pick(w, avoid); refusal == nil {
		t.Errorf("picked %+v after all instances were asked", picked)
	}
}

func newPolicy(t *testing.T, engines ...string) *Policy {
	t.Helper()
	table := membership.NewTable(membership.Options{DataCentre: "a", TargetLease: time.Hour})
	for _, name := range engines {
		_, err := table.Announce(time.Now(), targetapi.Announcement{
			Version: targetapi.Version, Target: name, Incarnation: 1, Sequence: 1, DataCentre: "a", Address: name, Kind: targetapi.Engine,
			CapacityBytes: 100, Slots: 8, Residents: []targetapi.Resident{{Model: "m", Version: "1", State: targetapi.Ready, Bytes: 10}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	waiter := admissionqueue.New(admission.New(time.Now(), admission.Options{}), table, 1, time.Now)
	waiter.Refresh()
	detector := straggler.New(straggler.Options{})
	router := routing.New(routing.Options{Health: detector})
	return New(table, waiter, router, detector, retry.New(retry.Options{}), noSuspectsOrRemotes{}, noSuspectsOrRemotes{}, time.Now)
}

func work(tokenLimit int) *modelcalls.Work {
	return &modelcalls.Work{
		Caller: "crew", Weight: 1, Model: "m", Priority: releasenote.Standard, PromptTokens: 10, TokenLimit: tokenLimit,
		Deadline: time.Now().Add(time.Hour),
	}
}

func avoidNone(string) bool { return false }

// Guards against long requests that routing does not recognize as long. They could then fill all slots of a replica, and
// short requests would wait behind them.
func TestLongRequestsAreSpreadOverReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPolicy(t, "e1", "e2", "e3", "e4")
		completeRequests := func(limit, tokens, times int) {
			for range times {
				permit, refusal := p.Acquire(t.Context(), work(limit))
				if refusal != nil {
					t.Fatal(refusal)
				}
				time.Sleep(time.Duration(tokens) * time.Millisecond)
				permit.Release(tokens, true)
			}
		}
		completeRequests(16, 10, 40)
		completeRequests(8000, 5000, 10)
		perTarget := make(map[string]int)
		for range 8 {
			w := work(8000)
			if _, refusal := p.Acquire(t.Context(), w); refusal != nil {
				t.Fatal(refusal)
			}
			if !w.Long {
				t.Fatalf("a request of %g units is not classified as long", w.Units)
			}
			picked, _, refusal := p.Pick(w, avoidNone)
			if refusal != nil {
				t.Fatal(refusal)
			}
			perTarget[picked.Target]++
		}
		for name, n := range perTarget {
			if n > 2 {
				t.Errorf("%s runs %d of 8 long requests, want at most 2", name, n)
			}
		}
	})
}

// Guards against a target that is picked although the request must avoid it.
func TestAvoidedTargetsAreNotPicked(t *testing.T) {
	p := newPolicy(t, "e1", "e2")
	for range 20 {
		picked, done, refusal := p.Pick(work(10), func(id string) bool { return id == modelcalls.TargetID("e1", 1) })
		if refusal != nil || picked.Target != "e2" {
			t.Fatalf("picked %+v with refusal %v, want e2", picked, refusal)
		}
		done(modelcalls.Result{Err: nil, Tokens: 10, Total: time.Second})
	}
	if _, _, refusal := p.Pick(work(10), func(string) bool { return true }); refusal == nil {
		t.Error("a target was picked although all are avoided")
	}
}

// Guards against requests to a target that has just refused one and named the time until the next, and against a target that
// gets none after that time.
func TestOverloadedTargetIsLeftForTheTimeThatItNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPolicy(t, "e1", "e2")
		refuse := func(target string, pause time.Duration) {
			t.Helper()
			avoidOthers := func(id string) bool { return id != modelcalls.TargetID(target, 1) }
			_, done, refusal := p.Pick(work(10), avoidOthers)
			if refusal != nil {
				t.Fatalf("%s is not picked: %v", target, refusal)
			}
			done(modelcalls.Result{Err: &targetclient.OverloadedError{RetryAfter: pause}})
		}
		picks := func(n int) map[string]int {
			perTarget := make(map[string]int)
			for range n {
				picked, done, refusal := p.Pick(work(10), avoidNone)
				if refusal != nil {
					t.Fatal(refusal)
				}
				perTarget[picked.Target]++
				done(modelcalls.Result{Tokens: 10, Total: time.Second})
			}
			return perTarget
		}
		refuse("e1", 2*time.Second)
		if n := picks(40)["e1"]; n != 0 {
			t.Errorf("%d of 40 requests were sent to a target that takes the next one in 2 s", n)
		}
		refuse("e2", 3*time.Second)
		if _, _, refusal := p.Pick(work(10), avoidNone); refusal == nil || refusal.RetryAfter != 2*time.Second {
			t.Errorf("refusal %+v while all targets are overloaded, want one with the shortest of their pauses", refusal)
		}
		time.Sleep(2 * time.Second)
		if n := picks(10)["e1"]; n != 10 {
			t.Errorf("%d of 10 requests were sent to the target whose pause has ended", n)
		}
		refuse("e1", time.Hour)
		time.Sleep(maxPause)
		if n := picks(40)["e1"]; n == 0 {
			t.Error("one answer takes a target out of service for an hour")
		}
	})
}
