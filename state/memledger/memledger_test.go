package memledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/coordination/lossynet"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
	"github.com/tarragonhoist/tarragonhoist/state/memledger/memledgertest"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// system simulates a target, its successive controllers and the network between them.
type system struct {
	random *rand.Rand
	now    time.Time
	engine *memledgertest.Engine
	ledger *memledger.Ledger
	fence  uint64
	// incarnation is the one in the latest report that the controller used.
	incarnation uint64
	lastID      int
	network     *lossynet.Network
	peakBytes   int64
	settled     int
}

func (s *system) post(deliver func()) { s.network.Post(s.now.Sub(epoch), deliver) }

// send posts a copy of an order that only the incarnation known to the controller receives.
func (s *system) send(o targetapi.Order) {
	incarnation := s.incarnation
	s.post(func() {
		if incarnation == s.engine.Incarnation {
			s.engine.Receive(o)
		}
	})
}

func (s *system) report(a *targetapi.Announcement) {
	settled, newer := s.ledger.Report(s.now, a)
	if newer {
		s.incarnation = a.Incarnation
	}
	s.settled += len(settled)
}

func (s *system) issueOrders() {
	s.lastID++
	o := targetapi.Order{
		ID: fmt.Sprintf("o%d", s.lastID), Fence: s.fence, Kind: targetapi.LoadModel, Model: fmt.Sprintf("m%d", s.random.IntN(6)),
		ModelVersion: fmt.Sprintf("v%d", s.random.IntN(2)),
	}
	// All loads of a model have the same size.
	o.Bytes = int64(10 + 5*int(o.Model[1]-'0'))
	if s.random.IntN(2) == 0 {
		o.Kind, o.Bytes = targetapi.UnloadModel, 0
	}
	if s.ledger.Reserve(o) == nil {
		s.send(o)
	}
	for _, o := range s.ledger.Open() {
		if s.random.IntN(3) == 0 && s.ledger.Sendable(&o, s.fence) {
			s.send(o)
		}
	}
	if s.ledger.NeedsFenceRaise(s.fence) && s.random.IntN(3) == 0 {
		s.send(targetapi.Order{ID: fmt.Sprintf("r%d", s.fence), Fence: s.fence, Kind: targetapi.RaiseFence})
	}
}

// replaceController replaces the controller. Copies of orders that the old one sent stay in transit.
func (s *system) replaceController(journalLost bool) {
	s.fence++
	old := s.ledger
	if journalLost {
		s.ledger = memledger.New("t", memledger.ReportPosition{})
		s.ledger.SuspendReservations(s.now, s.fence)
		return
	}
	s.ledger = memledger.New("t", old.Floor())
	for _, o := range old.Open() {
		s.ledger.Adopt(o)
	}
	if !old.ReservationsAllowed() {
		s.ledger.SuspendReservations(s.now, s.fence)
	}
}

// Guards against overcommitted accelerator memory when orders and reports are lost, delayed or duplicated, the target
// restarts, the controller is replaced or the journal is lost.
func TestUsedMemoryNeverExceedsCapacity(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		for _, journalLost := range []bool{true, false} {
			t.Run(fmt.Sprintf("fencing %v, journal lost %v", checksFencing, journalLost), func(t *testing.T) {
				nearlyFull, settled := 0, 0
				rapid.Check(t, func(t *rapid.T) {
					s := &system{
						random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: epoch, fence: 1,
						engine: &memledgertest.Engine{Name: "t", ChecksFencing: checksFencing, CapacityBytes: 100, ReserveBytes: 15}, ledger: memledger.New("t", memledger.ReportPosition{}),
					}
					s.network = &lossynet.Network{
						Random: s.random, LossShare: 0.2, RepeatShare: 0.2, LateShare: 0.25, MaxDelay: 300 * time.Millisecond, MaxLate: 30 * time.Second,
					}
					if journalLost {
						s.network.MaxLate = memledger.MaxMessageLifetime - s.network.MaxDelay
					}
					s.engine.Restart()
					for range 1200 {
						s.step(journalLost)
						if use := s.engine.UsedBytes(); use > s.engine.CapacityBytes {
							t.Fatalf("target uses %d of %d bytes at %v", use, s.engine.CapacityBytes, s.now.Sub(epoch))
						}
						s.peakBytes = max(s.peakBytes, s.engine.UsedBytes())
					}
					nearlyFull += int(s.peakBytes) / 80
					settled += s.settled
				})
				if nearlyFull < 30 || settled < 1000 {
					t.Fatalf("the schedules do not exercise the limit: nearly full in %d, want at least 30; %d settled orders, want at least 1000", nearlyFull, settled)
				}
				t.Logf("target nearly full in %d schedules, %d settled orders", nearlyFull, settled)
			})
		}
	}
}

func (s *system) step(journalLost bool) {
	s.now = s.now.Add(100 * time.Millisecond)
	s.network.Deliver(s.now.Sub(epoch))
	for _, id := range s.engine.Running() {
		if s.random.IntN(6) == 0 {
			s.engine.Finish(id, s.random.IntN(8) == 0)
		}
	}
	if s.random.IntN(5) == 0 {
		a := s.engine.Announce()
		s.post(func() { s.report(a) })
	}
	if s.random.IntN(3) == 0 {
		s.issueOrders()
	}
	if s.random.IntN(150) == 0 {
		s.replaceController(journalLost)
	}
	if s.random.IntN(400) == 0 {
		s.engine.Restart()
	}
}

// Guards against refused orders that change the free memory.
func TestReserveErrors(t *testing.T) {
	l := memledger.New("t", memledger.ReportPosition{})
	load := targetapi.Order{ID: "1", Kind: targetapi.LoadModel, Model: "m", ModelVersion: "1", Bytes: 60}
	if err := l.Reserve(load); !errors.Is(err, memledger.ErrNoReport) {
		t.Fatalf("reserve before any report: error %v, want ErrNoReport", err)
	}
	a := targetapi.Announcement{Target: "t", Incarnation: 1, Sequence: 1, CapacityBytes: 100, ReserveBytes: 10,
		Residents: []targetapi.Resident{{Model: "r", Version: "1", State: targetapi.Ready, Bytes: 20}}}
	l.Report(epoch, &a)
	if err := l.Reserve(load); err != nil || l.Free() != 10 {
		t.Fatalf("reserve of 60 bytes: error %v, %d bytes free, want 10", err, l.Free())
	}
	for want, o := range map[error]targetapi.Order{
		memledger.ErrOpenOrder: {ID: "2", Kind: targetapi.UnloadModel, Model: "m", ModelVersion: "1"},
		memledger.ErrResident:  {ID: "3", Kind: targetapi.LoadModel, Model: "r", ModelVersion: "1", Bytes: 1},
		memledger.ErrNoMemory:  {ID: "4", Kind: targetapi.LoadModel, Model: "x", Bytes: 11},
	} {
		if err := l.Reserve(o); !errors.Is(err, want) {
			t.Errorf("reserve of order %s: error %v, want %v", o.ID, err, want)
		}
	}
	for _, o := range []targetapi.Order{{}, {ID: "5", Kind: targetapi.RaiseFence}, {ID: "6", Kind: targetapi.LoadModel, Model: "y"}} {
		if l.Reserve(o) == nil {
			t.Errorf("invalid order %+v was accepted", o)
		}
	}
	if l.Free() != 10 {
		t.Errorf("%d bytes free after refused orders, want 10", l.Free())
	}
}

func BenchmarkReport(b *testing.B) {
	e := &memledgertest.Engine{Name: "t", CapacityBytes: 1000, ReserveBytes: 10}
	e.Restart()
	for i := range 20 {
		o := targetapi.Order{ID: fmt.Sprint(i), Kind: targetapi.LoadModel, Model: fmt.Sprint(i), Bytes: 10}
		e.Receive(o)
		e.Finish(o.ID, false)
	}
	l, a := memledger.New("t", memledger.ReportPosition{}), e.Announce()
	b.ReportAllocs()
	for b.Loop() {
		a.Sequence++
		l.Report(epoch, a)
	}
}
