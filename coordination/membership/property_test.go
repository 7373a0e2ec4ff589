package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

const (
	testLease = 4 * time.Second
	// maxDelay is the largest network delay of an announcement in the simulation.
	maxDelay   = 2 * time.Second
	frameLimit = 2048
)

func engine(name string, incarnation, sequence uint64, adapters int) targetapi.Announcement {
	a := targetapi.Announcement{
		Version: targetapi.Version, Target: name, Incarnation: incarnation, Sequence: sequence, DataCentre: "coulee-a",
		Address: "10.0.0.1:9000", Kind: targetapi.Engine, CapacityBytes: 80 << 30, Slots: 8,
		Residents: []targetapi.Resident{{Model: "m", Version: "1", State: targetapi.Ready, Bytes: 16 << 30}},
		Load:      targetapi.LoadReport{MeasuredAtMs: 1_700_000_000_000 + int64(sequence), Running: int(sequence % 5)},
	}
	for i := range adapters {
		a.Residents = append(a.Residents, targetapi.Resident{
			Model: "m", Version: "1", Adapter: fmt.Sprintf("crew-%d", i), State: targetapi.Ready, Bytes: 64 << 20})
	}
	return a
}

type simTarget struct {
	name                  string
	incarnation, sequence uint64
	adapters              int
	leaving, faulty       bool
}

type delivery struct {
	at      time.Time
	deliver func(now time.Time)
}

// network simulates targets and instances that exchange messages, in virtual time.
type network struct {
	t       *rapid.T
	now     time.Time
	tables  []*Table
	targets []*simTarget
	pending []delivery
	// lastReceipt and leftAt are keyed by target and incarnation, leftSeen and received by instance as well, and seen
	// by instance and target.
	lastReceipt, leftAt map[string]time.Time
	leftSeen            map[string]bool
	received            map[string]uint64
	seen                map[string]view
}

// view is the state of a target on one instance: the announcements from which its content and its lease come.
type view struct {
	incarnation, sequence, leaseSequence uint64
	received                             time.Time
}

func newNetwork(t *rapid.T) *network {
	return &network{
		t: t, now: time.Unix(1_700_000_000, 0), lastReceipt: map[string]time.Time{}, leftAt: map[string]time.Time{},
		leftSeen: map[string]bool{}, received: map[string]uint64{}, seen: map[string]view{},
	}
}

func incarnationID(target string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", target, incarnation)
}

func (n *network) send(delay time.Duration, deliver func(now time.Time)) {
	n.pending = append(n.pending, delivery{at: n.now.Add(delay), deliver: deliver})
}

func (n *network) announce(target *simTarget) {
	target.sequence++
	a := engine(target.name, target.incarnation, target.sequence, target.adapters)
	a.Leaving = target.leaving
	id := incarnationID(a.Target, a.Incarnation)
	if _, left := n.leftAt[id]; a.Leaving && !left && !target.faulty {
		n.leftAt[id] = n.now
	}
	for range rapid.IntRange(0, 2).Draw(n.t, "copies") {
		i := rapid.IntRange(0, len(n.tables)-1).Draw(n.t, "receiver")
		delay := time.Duration(rapid.IntRange(0, int(maxDelay/time.Millisecond)).Draw(n.t, "delay")) * time.Millisecond
		n.send(delay, func(now time.Time) {
			receiptKey := fmt.Sprintf("%d:%s", i, id)
			if a.Sequence > n.received[receiptKey] { // a repeated or older announcement extends no lease
				n.lastReceipt[id], n.received[receiptKey] = now, a.Sequence
			}
			n.leftSeen[receiptKey] = n.leftSeen[receiptKey] || a.Leaving
			if _, err := n.tables[i].Announce(now, a); err != nil {
				n.t.Fatal(err)
			}
		})
	}
}

// exchange sends a request from one table to another, with copies of the answer: none if it is lost, two if it is
// duplicated. The delays may be much longer than a lease.
func (n *network) exchange(requester, peer *Table, delays [2]time.Duration, copies int) {
	sent := n.now
	request, err := requester.PullRequest(n.now, frameLimit)
	if err != nil {
		n.t.Fatal(err)
	}
	n.send(delays[0], func(now time.Time) {
		merged, err := peer.Merge(now, 0, request)
		if err != nil {
			n.t.Fatal(err)
		}
		answer, err := peer.Delta(now, frameLimit, merged.ContentRequests)
		if err != nil {
			n.t.Fatal(err)
		}
		if len(request) > frameLimit || len(answer) > frameLimit {
			n.t.Fatalf("request of %d and answer of %d bytes exceed the limit", len(request), len(answer))
		}
		for range copies {
			n.send(delays[1], func(now time.Time) {
				if _, err := requester.Merge(now, now.Sub(sent), answer); err != nil {
					n.t.Fatal(err)
				}
			})
		}
	})
}

// advance moves the clock and delivers the messages that are due, in the order of their times.
func (n *network) advance(duration time.Duration) {
	end := n.now.Add(duration)
	for {
		first := -1
		for i, d := range n.pending {
			if !d.at.After(end) && (first < 0 || d.at.Before(n.pending[first].at)) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		d := n.pending[first]
		n.pending = append(n.pending[:first], n.pending[first+1:]...)
		n.now = d.at
		d.deliver(n.now)
		n.checkInvariants()
	}
	n.now = end
	n.checkInvariants()
}

// checkInvariants asserts that no table offers a target past the bounds of its lease and its leaving, and that no view
// goes back to an older state.
func (n *network) checkInvariants() {
	for i, table := range n.tables {
		for _, entry := range table.All() {
			rec, _ := table.records.Get(entry.Announcement.Target)
			v := view{entry.Announcement.Incarnation, entry.Announcement.Sequence, rec.leaseSequence, entry.ReceivedAt}
			viewKey := fmt.Sprintf("%d:%s", i, entry.Announcement.Target)
			if old, ok := n.seen[viewKey]; ok && v.incarnation <= old.incarnation {
				if v.incarnation < old.incarnation || v.sequence < old.sequence || v.leaseSequence < old.leaseSequence {
					n.t.Fatalf("instance %d: state of a target went back from %v to %v", i, old, v)
				}
				if v.leaseSequence == old.leaseSequence && !v.received.Equal(old.received) {
					n.t.Fatalf("instance %d: a repeated message extended the lease of %s", i, viewKey)
				}
			}
			n.seen[viewKey] = v
		}
		for _, entry := range table.Replicas(n.now, "m", "") {
			id := incarnationID(entry.Announcement.Target, entry.Announcement.Incarnation)
			if received, ok := n.lastReceipt[id]; !ok || !n.now.Before(received.Add(testLease)) {
				n.t.Fatalf("instance %d offers %s %v after its last announcement", i, id, n.now.Sub(received))
			}
			if n.leftSeen[fmt.Sprintf("%d:%s", i, id)] {
				n.t.Fatalf("instance %d offers %s although it received a leaving announcement", i, id)
			}
			if left, ok := n.leftAt[id]; ok && !n.now.Before(left.Add(maxDelay+testLease)) {
				n.t.Fatalf("instance %d offers %s %v after it began to leave", i, id, n.now.Sub(left))
			}
		}
	}
}

// Guards against targets that are still offered after they left or died, leases extended by copies that instances relay
// to each other, and tables that never converge, under any reordering, loss, delay and duplication of messages.
func TestGossipConvergesAndHonoursBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range rapid.IntRange(2, 4).Draw(t, "instances") {
			n.tables = append(n.tables, NewTable(Options{DataCentre: "coulee-a", TargetLease: testLease}))
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "targets") {
			n.targets = append(n.targets, &simTarget{name: fmt.Sprintf("net-assistant-%d", i), incarnation: 1})
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {},
			"announce": func(t *rapid.T) {
				n.announce(rapid.SampledFrom(n.targets).Draw(t, "target"))
			},
			"change": func(t *rapid.T) {
				rapid.SampledFrom(n.targets).Draw(t, "target").adapters = rapid.SampledFrom([]int{0, 1, 150}).Draw(t, "adapters")
			},
			"leave": func(t *rapid.T) { rapid.SampledFrom(n.targets).Draw(t, "target").leaving = true },
			"withdraw leaving": func(t *rapid.T) { // only instances that received the notice know it
				target := rapid.SampledFrom(n.targets).Draw(t, "target")
				target.leaving, target.faulty = false, true
				delete(n.leftAt, incarnationID(target.name, target.incarnation))
			},
			"restart": func(t *rapid.T) {
				target := rapid.SampledFrom(n.targets).Draw(t, "target")
				target.incarnation, target.sequence, target.leaving, target.faulty = target.incarnation+1, 0, false, false
			},
			"exchange": func(t *rapid.T) {
				delay := rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, time.Second, 9 * time.Second})
				n.exchange(rapid.SampledFrom(n.tables).Draw(t, "requester"), rapid.SampledFrom(n.tables).Draw(t, "peer"),
					[2]time.Duration{delay.Draw(t, "there"), delay.Draw(t, "back")}, rapid.IntRange(0, 2).Draw(t, "copies"))
			},
			"advance": func(t *rapid.T) {
				n.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(t *rapid.T) { rapid.SampledFrom(n.tables).Draw(t, "table").Expire(n.now) },
		})
		n.advance(20 * time.Second)
		for _, target := range n.targets {
			n.announce(target)
			n.announce(target)
		}
		n.advance(maxDelay)
		n.converge()
	})
}

// converge exchanges frames without delay until all tables are equal, for at most 40 rounds.
func (n *network) converge() {
	for round := 0; ; round++ {
		views := make([]string, len(n.tables))
		differ := false
		for i, table := range n.tables {
			table.Expire(n.now)
			for _, entry := range table.All() {
				a := entry.Announcement
				views[i] += fmt.Sprintf("%s/%d/%d %v %d;", a.Target, a.Incarnation, a.Sequence, a.Leaving, len(a.Residents))
			}
			differ = differ || views[i] != views[0]
		}
		if !differ {
			break
		}
		if round == 40 {
			n.t.Fatalf("tables differ after 40 rounds:\n%q", views)
		}
		for _, requester := range n.tables {
			for _, peer := range n.tables {
				n.exchange(requester, peer, [2]time.Duration{}, 1)
				n.advance(0)
			}
		}
	}
	for _, target := range n.targets {
		id := incarnationID(target.name, target.incarnation)
		received, ok := n.lastReceipt[id]
		entry, known := n.tables[0].Target(target.name)
		if ok && n.now.Before(received.Add(testLease)) && (!known || entry.Announcement.Incarnation != target.incarnation) {
			n.t.Fatalf("%s has a valid lease but is not in the table", id)
		}
	}
}
