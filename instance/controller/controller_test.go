package controller

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/control"
	"github.com/tarragonhoist/tarragonhoist/coordination/loadlimit"
	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/coordination/orders"
	"github.com/tarragonhoist/tarragonhoist/coordination/placement"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
	"github.com/tarragonhoist/tarragonhoist/state/memledger/memledgertest"
)

const dataCentre = "plateau"

var errDown = errors.New("unreachable")

// centre simulates a data centre with its instances, the config log, one engine, and faults between them.
type centre struct {
	names    []string
	electors *Electors

	mu    sync.Mutex
	index uint64
	// logDown makes the config log unreachable, recordsDown fails all calls that copy journal records, and cut holds the
	// instances that are partitioned from all others.
	logDown, recordsDown bool
	cut                  map[string]bool
	members              map[string]*member
	engine               *memledgertest.Engine
	report               *targetapi.Announcement
	slow                 time.Duration
	// early counts deliveries before a quorum held the journal record, late those after the sender's lease had expired.
	delivered, early, late int
	last                   targetapi.Order
}

type member struct {
	name     string
	folder   string
	lease    *Lease
	director *Director
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

func newCentre(names ...string) *centre {
	c := &centre{names: names, electors: NewElectors(), cut: make(map[string]bool), members: make(map[string]*member),
		engine: &memledgertest.Engine{Name: "e1", CapacityBytes: 100, ChecksFencing: true}}
	c.engine.Restart()
	c.report = c.engine.Announce()
	return c
}

func (c *centre) Propose(_ context.Context, command []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return nil, errDown
	}
	c.index++
	return c.electors.Apply(c.index, command)
}

// link implements Peers for one instance.
type link struct {
	centre *centre
	from   string
}

func (l link) Call(_ context.Context, peer, method string, params, result any) error {
	c := l.centre
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	m, down := c.members[peer], c.cut[l.from] || c.cut[peer] || c.recordsDown && method == peerapi.MethodControlRecord
	c.mu.Unlock()
	if down || m == nil || m.lease == nil {
		return errDown
	}
	var answer any
	var err error
	switch p := params.(type) {
	case control.VoteRequest:
		answer, err = m.lease.Vote(p)
	case electorate.JournalRecord:
		var response control.RecordResponse
		response, err = m.lease.Record(p)
		answer = response
	default:
		return errors.Errorf("unexpected peer method %s", method)
	}
	if err != nil {
		return err
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

func (c *centre) open(t *testing.T, m *member, incarnation uint64) *Lease {
	t.Helper()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	lease, err := OpenLease(Identity{Instance: m.name, Incarnation: incarnation, DataCentre: dataCentre, Electorate: c.names, DataFolder: m.folder},
		c.electors, link{c, m.name}, c, events.NewRecorder(quiet, m.name, dataCentre, time.Now), time.Now)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// start runs an instance with a lease and a director.
func (c *centre) start(t *testing.T, name string) *member {
	t.Helper()
	m := &member{name: name, folder: t.TempDir()}
	m.lease = c.open(t, m, 1)
	m.director = NewDirector(Options{DataCentres: []string{dataCentre}, Local: func(string) []string { return c.names },
		Limits: loadlimit.Limits{WeightLoadsPerSecond: 1, WeightLoads: 4, AdapterLoads: 4}},
		m.lease, c, c, c, sender{c, m}, c, m.lease.recorder, time.Now)
	c.mu.Lock()
	c.members[name] = m
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	m.cancel = cancel
	m.wg.Go(func() { m.lease.Run(ctx) })
	m.wg.Go(func() { m.director.Run(ctx) })
	return m
}

func (c *centre) stop(members ...*member) {
	for _, m := range members {
		m.cancel()
		m.wg.Wait()
	}
	time.Sleep(time.Minute) // lets the goroutines of calls in flight end
}

func (c *centre) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *centre) holder() *member {
	for _, name := range c.names {
		if m := c.members[name]; m != nil {
			if _, ok := m.lease.Held(); ok {
				return m
			}
		}
	}
	return nil
}

func (c *centre) All() []*membership.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []*membership.Entry{{Announcement: *c.report, ExpiresAt: time.Now().Add(time.Hour)}}
}
func (c *centre) RemoteReplicas(time.Time, string, string) []membership.ModelSummary { return nil }
func (c *centre) Demand() map[string]admission.ModelDemand                           { return nil }
func (c *centre) Read(context.Context) map[string][]placement.Target                 { return nil }
func (c *centre) Contents() *catalog.Contents {
	return &catalog.Contents{Index: 1, Models: map[string]releasenote.Model{
		"m": {Name: "m", Version: "1", MemoryBytes: 40, Priority: releasenote.Standard, MinReplicas: 1}}}
}

// sender implements Client for one instance: it delivers the instance's orders to the engine.
type sender struct {
	centre *centre
	member *member
}

func (s sender) Order(ctx context.Context, _ string, order targetapi.Order) (targetapi.OrderStatus, error) {
	c := s.centre
	c.mu.Lock()
	slow := c.slow
	c.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-ctx.Done():
		return targetapi.OrderStatus{}, ctx.Err()
	}
	held := 0
	for _, m := range c.members {
		m.lease.voteMu.Lock()
		if m.lease.saved.Journal.State().Last > 1 {
			held++
		}
		m.lease.voteMu.Unlock()
	}
	_, ok := s.member.lease.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.late++
	}
	if order.Kind == targetapi.LoadModel && order.Fence == c.last.Fence && c.delivered > 0 {
		return targetapi.OrderStatus{}, nil // repeated delivery
	}
	if order.Kind == targetapi.LoadModel {
		c.delivered, c.last = c.delivered+1, order
		if held < len(c.names)/2+1 {
			c.early++
		}
	}
	c.engine.Receive(order)
	c.report = c.engine.Announce()
	return targetapi.OrderStatus{}, nil
}

// Guards against an order that is sent before a quorum holds its journal record, a controller that keeps sending orders
// after its lease has expired, and a new lease holder that does not take over the open orders.
func TestOrdersWaitForTheJournalAndEndWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCentre("a", "b", "c")
		c.set(func() { c.recordsDown = true })
		members := []*member{c.start(t, "a"), c.start(t, "b"), c.start(t, "c")}
		time.Sleep(20 * time.Second)
		first := c.holder()
		if first == nil {
			t.Fatal("no controller after 20 s")
		}
		c.set(func() {
			if c.delivered != 0 {
				t.Error("an order was delivered before a quorum held its journal record")
			}
			c.recordsDown = false
		})
		time.Sleep(5 * time.Second)
		c.set(func() {
			if c.delivered != 1 || c.early != 0 {
				t.Errorf("%d orders delivered, %d of them before a quorum held the record, want 1 and 0", c.delivered, c.early)
			}
		})
		firstFence, _ := first.lease.Held()
		c.set(func() { c.cut[first.name], c.slow = true, 1500*time.Millisecond })
		time.Sleep(control.LeaseDuration)
		if _, ok := first.lease.Held(); ok {
			t.Error("a partitioned controller still holds its lease after the lease duration")
		}
		time.Sleep(10 * time.Second)
		second := c.holder()
		if second == nil || second == first {
			t.Fatal("no other instance took over the lease")
		}
		if fence, _ := second.lease.Held(); fence <= firstFence {
			t.Errorf("fencing number %d of the new holder is not above %d", fence, firstFence)
		}
		if first.director.issuer.Fence() != 0 || second.director.OpenOrders() == 0 {
			t.Error("the old holder did not end its term, or the new one did not take over the open order")
		}
		c.set(func() {
			if c.delivered != 1 || c.late != 0 {
				t.Errorf("%d orders delivered, %d of them after the sender's lease, want 1 and 0", c.delivered, c.late)
			}
		})
		c.stop(members...)
	})
}

// Guards against a delivery over a slow link that reaches the target after the sender's lease has expired.
func TestDeliveryEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCentre("a", "b", "c")
		members := []*member{c.start(t, "a"), c.start(t, "b"), c.start(t, "c")}
		time.Sleep(20 * time.Second)
		m := c.holder()
		if m == nil {
			t.Fatal("no controller after 20 s")
		}
		c.set(func() { c.cut[m.name], c.slow = true, orderTimeout-time.Millisecond })
		fence, end, _ := m.lease.heldUntil()
		time.Sleep(time.Until(end) - orderTimeout/2)
		m.director.deliver(t.Context(), fence, orders.Send{Target: "e1", Order: targetapi.Order{ID: "o", Kind: targetapi.LoadModel, Fence: fence}})
		time.Sleep(orderTimeout)
		m.director.deliver(t.Context(), fence, orders.Send{Target: "e1", Order: targetapi.Order{ID: "p", Kind: targetapi.LoadModel, Fence: fence}})
		c.set(func() {
			if c.late != 0 {
				t.Errorf("%d orders were delivered after the sender's lease", c.late)
			}
		})
		c.stop(members...)
	})
}

// Guards against an elector that loses its promise in a restart and votes twice for one fencing number, and against an
// elector that lost its disk and votes before it has joined again.
func TestPromisesSurviveRestartsAndLostDisksJoinAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCentre("a", "b", "c")
		m := &member{name: "a", folder: t.TempDir()}
		m.lease = c.open(t, m, 1)
		if !m.lease.tryJoin(t.Context()) {
			t.Fatal("the elector did not join")
		}
		time.Sleep(2 * control.LeaseDuration)
		vote := control.VoteRequest{DataCentre: dataCentre, Elector: "a", Holder: electorate.Holder{Name: "b", Incarnation: 1}, Fence: control.Fence(1, 5)}
		if response, err := m.lease.Vote(vote); err != nil || !response.Granted {
			t.Fatal(response, err)
		}
		m.lease = c.open(t, m, 2)
		time.Sleep(2 * control.LeaseDuration)
		other := vote
		other.Holder.Name = "c"
		if response, err := m.lease.Vote(other); err != nil || response.Granted {
			t.Error("the same fencing number was promised to two candidates", err)
		}
		if holder, fence := m.lease.Known(); holder != "b" || fence != vote.Fence {
			t.Errorf("after the restart the last vote is for %q with fencing number %d", holder, fence)
		}
		m.folder = t.TempDir() // the disk is lost
		m.lease = c.open(t, m, 3)
		time.Sleep(2 * control.LeaseDuration)
		other.Fence = control.Fence(1, 6)
		if response, err := m.lease.Vote(other); err != nil || response.Granted {
			t.Error("an elector that lost its disk voted before it joined again", err)
		}
		c.set(func() { c.logDown = true })
		if m.lease.tryJoin(t.Context()) {
			t.Error("the elector joined although the config log was unreachable")
		}
		c.set(func() { c.logDown = false })
		if !m.lease.tryJoin(t.Context()) {
			t.Error("the elector did not join again")
		}
		if response, err := m.lease.Vote(other); err != nil || response.Granted {
			t.Error("the elector voted for a fencing number from before its join", err)
		}
	})
}

// Guards against the acknowledgement of a vote or journal record that a restart would not find. It comes about when the
// write fails and the repeated request finds the promise or record in memory.
func TestFailedWritesAreNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCentre("a", "b", "c")
		m := &member{name: "a", folder: t.TempDir() + "/data"}
		if err := os.Mkdir(m.folder, 0o755); err != nil {
			t.Fatal(err)
		}
		m.lease = c.open(t, m, 1)
		if !m.lease.tryJoin(t.Context()) {
			t.Fatal("the elector did not join")
		}
		time.Sleep(2 * control.LeaseDuration)
		if err := os.RemoveAll(m.folder); err != nil {
			t.Fatal(err)
		}
		vote := control.VoteRequest{DataCentre: dataCentre, Elector: "a", Holder: electorate.Holder{Name: "b", Incarnation: 1}, Fence: control.Fence(1, 5)}
		record := electorate.JournalRecord{DataCentre: dataCentre, Fence: vote.Fence, Sequence: 1, Base: true, Data: []byte("x")}
		for range 2 {
			if response, err := m.lease.Vote(vote); err == nil {
				t.Errorf("a vote was acknowledged although its write failed: %+v", response)
			}
			if response, err := m.lease.Record(record); err == nil {
				t.Errorf("a journal record was acknowledged although its write failed: %+v", response)
			}
		}
		if err := os.Mkdir(m.folder, 0o755); err != nil {
			t.Fatal(err)
		}
		if response, err := m.lease.Record(record); err != nil || !response.Held {
			t.Fatal(response, err)
		}
		if restarted := c.open(t, m, 2); restarted.saved.Journal.State() != (electorate.JournalState{Fence: vote.Fence, Last: 1}) {
			t.Errorf("the journal after the restart is %+v", restarted.saved.Journal.State())
		}
	})
}
