package targets

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

const lease = 4 * time.Second

// network connects registries. Faulty ones answer with invalid frames, unreachable ones do not answer.
type network struct {
	registries  map[string]*Registry
	recorders   map[string]*events.Recorder
	faulty      map[string]bool
	unreachable map[string]bool
}

func (n *network) Call(ctx context.Context, peer, _ string, params, result any) error {
	if n.unreachable[peer] {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	if n.faulty[peer] {
		*result.(*peerapi.GossipDelta) = peerapi.GossipDelta{Frame: []byte("?"), Summaries: []byte("?")}
		return nil
	}
	if n.registries[peer] == nil {
		return errors.New("no such instance")
	}
	answer, err := n.registries[peer].HandleGossip(params.(peerapi.GossipPull))
	*result.(*peerapi.GossipDelta) = answer
	return err
}

type fakeConfigLog struct{}

func (fakeConfigLog) Applied() uint64     { return 0 }
func (fakeConfigLog) NotifyCommit(uint64) {}

func newNetwork(names ...string) *network {
	n := &network{registries: make(map[string]*Registry), recorders: make(map[string]*events.Recorder), faulty: make(map[string]bool),
		unreachable: make(map[string]bool)}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	for i, name := range names {
		var local []string
		for _, other := range names {
			if other != name {
				local = append(local, other)
			}
		}
		n.recorders[name] = events.NewRecorder(quiet, name, "a", time.Now)
		n.registries[name] = New(Options{DataCentre: "a", Local: local, Lease: lease}, n, fakeConfigLog{}, n.recorders[name], time.Now,
			rand.New(rand.NewPCG(1, uint64(i))))
	}
	return n
}

func announcement(incarnation, sequence uint64, leaving bool) targetapi.Announcement {
	return targetapi.Announcement{Version: targetapi.Version, Target: "t1", Incarnation: incarnation, Sequence: sequence, DataCentre: "a",
		Address: "127.0.0.1:1", Kind: targetapi.Service, Service: "haul-desk", Slots: 1, Leaving: leaving}
}

// runRegistries runs the registries of the given instances for a duration.
func (n *network) runRegistries(d time.Duration, names ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() { n.registries[name].Run(ctx) })
	}
	time.Sleep(d)
	cancel()
	wg.Wait()
}

func (n *network) usable(name string) bool {
	e, ok := n.registries[name].Table().Target("t1")
	return ok && e.Usable(time.Now())
}

// Guards against a leaving target that still gets work, until the next gossip round, from instances to which it did not
// announce that it is leaving.
func TestLeavingIsSpreadAtOnce(t *testing.T) {
	for name, leaving := range map[string]targetapi.Announcement{
		"same incarnation":      announcement(1, 9, true),
		"after a restart":       announcement(2, 1, true),
		"older sequence number": announcement(1, 1, true),
		"one peer unreachable":  announcement(1, 9, true),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork("a1", "a2", "a3")
				if err := n.registries["a1"].Announce(announcement(1, 2, false)); err != nil {
					t.Fatal(err)
				}
				n.runRegistries(gossipInterval+100*time.Millisecond, "a2", "a3")
				if !n.usable("a2") || !n.usable("a3") {
					t.Fatal("a2 or a3 does not know the target after a gossip round")
				}
				n.unreachable["a2"] = name == "one peer unreachable"
				if err := n.registries["a1"].Announce(leaving); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond)
				for _, instance := range []string{"a1", "a2", "a3"} {
					if n.usable(instance) && !n.unreachable[instance] {
						t.Errorf("%s still considers the leaving target usable", instance)
					}
				}
				time.Sleep(leaveTimeout)
			})
		})
	}
}

// Guards against a peer that sends invalid frames or hangs and so blocks the exchange with other peers, and against
// invalid frames that are not reported.
func TestBadPeersAreReportedAndSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a1", "a2", "a3")
		n.faulty["a3"] = true
		for i := range 5 { // each announcement renews the lease
			if err := n.registries["a1"].Announce(announcement(1, uint64(i+1), false)); err != nil {
				t.Fatal(err)
			}
			n.runRegistries(2*gossipInterval+100*time.Millisecond, "a2")
			if !n.usable("a2") {
				t.Errorf("round %d: a2 does not know the target", i)
			}
			n.faulty["a3"], n.unreachable["a3"] = false, true
		}
		reported := 0
		for _, r := range n.recorders["a2"].Since(0, events.Capacity) {
			if r.Number == events.InternalError.Number {
				reported++
			}
		}
		if reported == 0 {
			t.Error("a2 did not report the invalid frames of a3")
		}
		if _, err := n.registries["a1"].HandleGossip(peerapi.GossipPull{DataCentre: "a", Frame: []byte("?")}); err == nil {
			t.Error("a pull with an invalid frame was answered")
		}
	})
}
