package memledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
	"github.com/tarragonhoist/tarragonhoist/state/memledger/memledgertest"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// system is a target, its controllers and the network between them.
type system struct {
	random *rand.Rand
	now    time.Time
	engine *memledgertest.Engine
	ledger *memledger.Ledger
	fence  uint64
	// incarnation is that of the report that the controller acts on.
	incarnation uint64
	ids         int
	mail        []mail
	maxLate     time.Duration
	peak        int64
	settled     int
}

// mail is an order or an announcement under way.
type mail struct {
	at          time.Time
	order       *targetapi.Order
	incarnation uint64
	report      *targetapi.Announcement
}

func (s *system) post(m mail) {
	for range []int{0, 1, 1, 1, 2}[s.random.IntN(5)] {
		m.at = s.now.Add(time.Duration(s.random.Int64N(int64(300 * time.Millisecond))))
		if s.random.IntN(4) == 0 {
			m.at = s.now.Add(time.Duration(s.random.Int64N(int64(s.maxLate))))
		}
		s.mail = append(s.mail, m)
	}
}

func (s *system) deliver() {
	due := s.mail
	s.mail = nil
	for _, m := range due {
		switch {
		case m.at.After(s.now):
			s.mail = append(s.mail, m)
		case m.order != nil && m.incarnation == s.engine.Incarnation:
			s.engine.Receive(*m.order)
		case m.report != nil:
			settled, newer := s.ledger.Report(s.now, m.report)
			if newer {
				s.incarnation = m.report.Incarnation
			}
			s.settled += len(settled)
		}
	}
}

func (s *system) send(o targetapi.Order) {
	s.post(mail{order: &o, incarnation: s.incarnation})
}

func (s *system) control() {
	s.ids++
	o := targetapi.Order{
		ID: fmt.Sprintf("o%d", s.ids), Fence: s.fence, Kind: targetapi.LoadModel, Model: fmt.Sprintf("m%d", s.random.IntN(6)),
		ModelVersion: fmt.Sprintf("v%d", s.random.IntN(2)),
	}
	// The size of an item is fixed by its name.
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
	if s.ledger.NeedsRaise(s.fence) && s.random.IntN(3) == 0 {
		s.send(targetapi.Order{ID: fmt.Sprintf("r%d", s.fence), Fence: s.fence, Kind: targetapi.Raise})
	}
}

// succeed replaces the controller. Copies that the old one sent stay under way.
func (s *system) succeed(journalLost bool) {
	s.fence++
	old := s.ledger
	if journalLost {
		s.ledger = memledger.New("t", memledger.Floor{})
		s.ledger.Distrust(s.now, s.fence)
		return
	}
	s.ledger = memledger.New("t", old.Floor())
	for _, o := range old.Open() {
		s.ledger.Adopt(o)
	}
	if !old.Trusted() {
		s.ledger.Distrust(s.now, s.fence)
	}
}

// Guards against overcommitted accelerator memory under lost, late and repeated orders and reports, restarts of the
// target, changes of the controller and loss of the journal.
func TestRealUseNeverExceedsCapacity(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, loses := range []bool{true, false} {
			t.Run(fmt.Sprintf("fencing %v, journal lost %v", fencing, loses), func(t *testing.T) {
				full, settled := 0, 0
				rapid.Check(t, func(t *rapid.T) {
					s := &system{
						random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: epoch, fence: 1, maxLate: 30 * time.Second,
						engine: &memledgertest.Engine{Name: "t", ChecksFencing: fencing, CapacityBytes: 100, ReserveBytes: 15}, ledger: memledger.New("t", memledger.Floor{}),
					}
					if loses {
						s.maxLate = memledger.CopyLifetime
					}
					s.engine.Restart()
					for range 1200 {
						s.step(loses)
						if use := s.engine.UsedBytes(); use > s.engine.CapacityBytes {
							t.Fatalf("real use %d of %d at %v", use, s.engine.CapacityBytes, s.now.Sub(epoch))
						}
						s.peak = max(s.peak, s.engine.UsedBytes())
					}
					full += int(s.peak) / 80
					settled += s.settled
				})
				if full < 30 || settled < 1000 {
					t.Fatalf("the target was nearly full in %d schedules with %d settled orders: they prove nothing", full, settled)
				}
				t.Logf("nearly full in %d schedules, %d settled orders", full, settled)
			})
		}
	}
}

func (s *system) step(loses bool) {
	s.now = s.now.Add(100 * time.Millisecond)
	s.deliver()
	for _, id := range s.engine.Running() {
		if s.random.IntN(6) == 0 {
			s.engine.Finish(id, s.random.IntN(8) == 0)
		}
	}
	if s.random.IntN(5) == 0 {
		s.post(mail{report: s.engine.Announce()})
	}
	if s.random.IntN(3) == 0 {
		s.control()
	}
	if s.random.IntN(150) == 0 {
		s.succeed(loses)
	}
	if s.random.IntN(400) == 0 {
		s.engine.Restart()
	}
}

// Guards against bad orders that change the account.
func TestReserveErrors(t *testing.T) {
	l := memledger.New("t", memledger.Floor{})
	load := targetapi.Order{ID: "1", Kind: targetapi.LoadModel, Model: "m", ModelVersion: "1", Bytes: 60}
	if err := l.Reserve(load); !errors.Is(err, memledger.ErrNoReport) {
		t.Fatal(err)
	}
	a := targetapi.Announcement{Target: "t", Incarnation: 1, Sequence: 1, CapacityBytes: 100, ReserveBytes: 10,
		Residents: []targetapi.Resident{{Model: "r", Version: "1", State: targetapi.Ready, Bytes: 20}}}
	l.Report(epoch, &a)
	if err := l.Reserve(load); err != nil || l.Free() != 10 {
		t.Fatal(err, l.Free())
	}
	for want, o := range map[error]targetapi.Order{
		memledger.ErrOpenOrder: {ID: "2", Kind: targetapi.UnloadModel, Model: "m", ModelVersion: "1"},
		memledger.ErrResident:  {ID: "3", Kind: targetapi.LoadModel, Model: "r", ModelVersion: "1", Bytes: 1},
		memledger.ErrNoMemory:  {ID: "4", Kind: targetapi.LoadModel, Model: "x", Bytes: 11},
	} {
		if err := l.Reserve(o); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
	for _, o := range []targetapi.Order{{}, {ID: "5", Kind: targetapi.Raise}, {ID: "6", Kind: targetapi.LoadModel, Model: "y"}} {
		if l.Reserve(o) == nil {
			t.Errorf("order %+v was accepted", o)
		}
	}
	if l.Free() != 10 {
		t.Errorf("free %d after refused orders, want 10", l.Free())
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
	l, a := memledger.New("t", memledger.Floor{}), e.Announce()
	b.ReportAllocs()
	for b.Loop() {
		a.Sequence++
		l.Report(epoch, a)
	}
}
