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
	"github.com/tarragonhoist/tarragonhoist/coordination/controllerlease"
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

var errUnreachable = errors.New("unreachable")

// testDataCentre simulates a data centre with its instances, the config log, one engine, and faults between them.
type testDataCentre struct {
	names    []string
	electors *Electors

	mu    sync.Mutex
	index uint64
	// logDown makes the config log unreachable, recordCallsDown fails all calls that copy journal records, and
	// partitioned holds the instances that can't reach any other.
	logDown, recordCallsDown bool
	partitioned              map[string]bool
	instances                map[string]*testInstance
	engine                   *memledgertest.Engine
	announcement             *targetapi.Announcement
	deliveryDelay            time.Duration
	// beforeQuorum counts deliveries before a quorum held the journal record, afterLease those after the sender's lease
	// had expired.
	delivered, beforeQuorum, afterLease int
	lastOrder                           targetapi.Order
}

type testInstance struct {
	name     string
	folder   string
	lease    *Lease
	director *Director
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

func newTestDataCentre(names ...string) *testDataCentre {
	c := &testDataCentre{names: names, electors: NewElectors(), partitioned: make(map[string]bool), instances: make(map[string]*testInstance),
		engine: &memledgertest.Engine{Name: "e1", CapacityBytes: 100, ChecksFencing: true}}
	c.engine.Restart()
	c.announcement = c.engine.Announce()
	return c
}

func (c *testDataCentre) Propose(_ context.Context, command []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return nil, errUnreachable
	}
	c.index++
	return c.electors.Apply(c.index, command)
}

// peerLink implements Peers for one instance.
type peerLink struct {
	centre *testDataCentre
	from   string
}

func (l peerLink) Call(_ context.Context, peer, method string, params, result any) error {
	c := l.centre
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	m, down := c.instances[peer], c.partitioned[l.from] || c.partitioned[peer] || c.recordCallsDown && method == peerapi.MethodControlRecord
	c.mu.Unlock()
	if down || m == nil || m.lease == nil {
		return errUnreachable
	}
	var answer any
	var err error
	switch p := params.(type) {
	case controllerlease.VoteRequest:
		answer, err = m.lease.Vote(p)
	case electorate.JournalRecord:
		var response controllerlease.RecordResponse
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

func (c *testDataCentre) open(t *testing.T, m *testInstance, incarnation uint64) *Lease {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	lease, err := OpenLease(Identity{Instance: m.name, Incarnation: incarnation, DataCentre: dataCentre, Electorate: c.names, DataFolder: m.folder},
		c.electors, peerLink{c, m.name}, c, events.NewRecorder(logger, m.name, dataCentre, time.Now), time.Now)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// start runs an instance with a lease and a director.
func (c *testDataCentre) start(t *testing.T, name string) *testInstance {
	t.Helper()
	m := &testInstance{name: name, folder: t.TempDir()}
	m.lease = c.open(t, m, 1)
	m.director = NewDirector(Options{DataCentres: []string{dataCentre}, Local: func(string) []string { return c.names },
		Limits: loadlimit.Limits{WeightLoadsPerSecond: 1, WeightLoads: 4, AdapterLoads: 4}},
		m.lease, c, c, c, orderClient{c, m}, c, m.lease.recorder, time.Now)
	c.mu.Lock()
	c.instances[name] = m
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	m.cancel = cancel
	m.wg.Go(func() { m.lease.Run(ctx) })
	m.wg.Go(func() { m.director.Run(ctx) })
	return m
}

func (c *testDataCentre) stop(instances ...*testInstance) {
	for _, m := range instances {
		m.cancel()
		m.wg.Wait()
	}
	time.Sleep(time.Minute) // lets the goroutines of calls in flight end
}

func (c *testDataCentre) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *testDataCentre) holder() *testInstance {
	for _, name := range c.names {
		if m := c.instances[name]; m != nil {
			if _, ok := m.lease.Held(); ok {
				return m
			}
		}
	}
	return nil
}

func (c *testDataCentre) All() []*membership.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []*membership.Entry{{Announcement: *c.announcement, ExpiresAt: time.Now().Add(time.Hour)}}
}
func (c *testDataCentre) RemoteReplicas(time.Time, string, string) []membership.ModelSummary {
	return nil
}
func (c *testDataCentre) Demand() map[string]admission.ModelDemand           { return nil }
func (c *testDataCentre) Read(context.Context) map[string][]placement.Target { return nil }
func (c *testDataCentre) Contents() *catalog.ActiveConfig {
	return &catalog.ActiveConfig{Index: 1, Models: map[string]releasenote.Model{
		"m": {Name: "m", Version: "1", MemoryBytes: 40, Priority: releasenote.Standard, MinReplicas: 1}}}
}

// orderClient implements Client for one instance: it delivers the instance's orders to the engine.
type orderClient struct {
	centre   *testDataCentre
	instance *testInstance
}

func (s orderClient) Order(ctx context.Context, _ string, order targetapi.Order) (targetapi.OrderStatus, error) {
	c := s.centre
	c.mu.Lock()
	delay := c.deliveryDelay
	c.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return targetapi.OrderStatus{}, ctx.Err()
	}
	holders := 0
	for _, m := range c.instances {
		m.lease.voteMu.Lock()
		if m.lease.saved.Journal.State().Last > 1 {
			holders++
		}
		m.lease.voteMu.Unlock()
	}
	_, ok := s.instance.lease.Held()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.afterLease++
	}
	if order.Kind == targetapi.LoadModel && order.Fence == c.lastOrder.Fence && c.delivered > 0 {
		return targetapi.OrderStatus{}, nil // repeated delivery
	}
	if order.Kind == targetapi.LoadModel {
		c.delivered, c.lastOrder = c.delivered+1, order
		if holders < len(c.names)/2+1 {
			c.beforeQuorum++
		}
	}
	c.engine.Receive(order)
	c.announcement = c.engine.Announce()
	return targetapi.OrderStatus{}, nil
}

// Guards against an order that is sent before a quorum holds its journal record, a controller that keeps sending orders
// after its lease has expired, and a new lease holder that does not take over the open orders.
func TestOrdersWaitForJournalQuorumAndEndWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestDataCentre("a", "b", "c")
		c.withLock(func() { c.recordCallsDown = true })
		instances := []*testInstance{c.start(t, "a"), c.start(t, "b"), c.start(t, "c")}
		time.Sleep(20 * time.Second)
		first := c.holder()
		if first == nil {
			t.Fatal("no controller after 20 s")
		}
		c.withLock(func() {
			if c.delivered != 0 {
				t.Error("an order was delivered before a quorum held its journal record")
			}
			c.recordCallsDown = false
		})
		time.Sleep(5 * time.Second)
		c.withLock(func() {
			if c.delivered != 1 || c.beforeQuorum != 0 {
				t.Errorf("%d orders delivered, %d of them before a quorum held the record, want 1 and 0", c.delivered, c.beforeQuorum)
			}
		})
		firstFence, _ := first.lease.Held()
		c.withLock(func() { c.partitioned[first.name], c.deliveryDelay = true, 1500*time.Millisecond })
		time.Sleep(controllerlease.LeaseDuration)
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
		c.withLock(func() {
			if c.delivered != 1 || c.afterLease != 0 {
				t.Errorf("%d orders delivered, %d of them after the sender's lease, want 1 and 0", c.delivered, c.afterLease)
			}
		})
		c.stop(instances...)
	})
}

// Guards against a delivery over a slow link that reaches the target after the sender's lease has expired.
func TestDeliveryEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestDataCentre("a", "b", "c")
		instances := []*testInstance{c.start(t, "a"), c.start(t, "b"), c.start(t, "c")}
		time.Sleep(20 * time.Second)
		m := c.holder()
		if m == nil {
			t.Fatal("no controller after 20 s")
		}
		c.withLock(func() { c.partitioned[m.name], c.deliveryDelay = true, orderTimeout-time.Millisecond })
		fence, end, _ := m.lease.heldUntil()
		time.Sleep(time.Until(end) - orderTimeout/2)
		m.director.deliver(t.Context(), fence, orders.DueOrder{Target: "e1", Order: targetapi.Order{ID: "o", Kind: targetapi.LoadModel, Fence: fence}})
		time.Sleep(orderTimeout)
		m.director.deliver(t.Context(), fence, orders.DueOrder{Target: "e1", Order: targetapi.Order{ID: "p", Kind: targetapi.LoadModel, Fence: fence}})
		c.withLock(func() {
			if c.afterLease != 0 {
				t.Errorf("%d orders were delivered after the sender's lease", c.afterLease)
			}
		})
		c.stop(instances...)
	})
}

// Guards against an elector that loses its promise in a restart and votes twice for one fencing number, and against an
// elector that lost its disk and votes before it has joined again.
func TestPromiseSurvivesRestartAndLostDiskRequiresJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestDataCentre("a", "b", "c")
		m := &testInstance{name: "a", folder: t.TempDir()}
		m.lease = c.open(t, m, 1)
		if !m.lease.tryJoin(t.Context()) {
			t.Fatal("the elector did not join")
		}
		time.Sleep(2 * controllerlease.LeaseDuration)
		vote := controllerlease.VoteRequest{DataCentre: dataCentre, Elector: "a", Holder: electorate.Holder{Name: "b", Incarnation: 1}, Fence: controllerlease.Fence(1, 5)}
		if response, err := m.lease.Vote(vote); err != nil || !response.Granted {
			t.Fatal(response, err)
		}
		m.lease = c.open(t, m, 2)
		time.Sleep(2 * controllerlease.LeaseDuration)
		other := vote
		other.Holder.Name = "c"
		if response, err := m.lease.Vote(other); err != nil || response.Granted {
			t.Error("the same fencing number was promised to two candidates", err)
		}
		if holder, fence := m.lease.LastVote(); holder != "b" || fence != vote.Fence {
			t.Errorf("after the restart the last vote is for %q with fencing number %d", holder, fence)
		}
		m.folder = t.TempDir() // the disk is lost
		m.lease = c.open(t, m, 3)
		time.Sleep(2 * controllerlease.LeaseDuration)
		other.Fence = controllerlease.Fence(1, 6)
		if response, err := m.lease.Vote(other); err != nil || response.Granted {
			t.Error("an elector that lost its disk voted before it joined again", err)
		}
		c.withLock(func() { c.logDown = true })
		if m.lease.tryJoin(t.Context()) {
			t.Error("the elector joined although the config log was unreachable")
		}
		c.withLock(func() { c.logDown = false })
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
		c := newTestDataCentre("a", "b", "c")
		m := &testInstance{name: "a", folder: t.TempDir() + "/data"}
		if err := os.Mkdir(m.folder, 0o755); err != nil {
			t.Fatal(err)
		}
		m.lease = c.open(t, m, 1)
		if !m.lease.tryJoin(t.Context()) {
			t.Fatal("the elector did not join")
		}
		time.Sleep(2 * controllerlease.LeaseDuration)
		if err := os.RemoveAll(m.folder); err != nil {
			t.Fatal(err)
		}
		vote := controllerlease.VoteRequest{DataCentre: dataCentre, Elector: "a", Holder: electorate.Holder{Name: "b", Incarnation: 1}, Fence: controllerlease.Fence(1, 5)}
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
		if response, err := m.lease.Record(record); err != nil || !response.Stored {
			t.Fatal(response, err)
		}
		if restarted := c.open(t, m, 2); restarted.saved.Journal.State() != (electorate.JournalPosition{Fence: vote.Fence, Last: 1}) {
			t.Errorf("the journal after the restart is %+v", restarted.saved.Journal.State())
		}
	})
}
