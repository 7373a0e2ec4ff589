package memledger

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine runs every order that it accepts without looking at its memory, so that only the ledger protects it.
type engine struct {
	fencing     bool
	capacity    int64
	reserve     int64
	incarnation uint64
	sequence    uint64
	lastFence   uint64
	residents   map[Item]targetapi.Resident
	orders      map[string]targetapi.OrderStatus
	running     map[string]targetapi.Order
	peak        int64
}

func (e *engine) restart() {
	e.incarnation++
	e.sequence, e.lastFence = 0, 0
	e.residents = make(map[Item]targetapi.Resident)
	e.orders = make(map[string]targetapi.OrderStatus)
	e.running = make(map[string]targetapi.Order)
}

func (e *engine) use() int64 {
	use := e.reserve
	for _, r := range e.residents {
		use += r.Bytes
	}
	return use
}

func (e *engine) receive(o targetapi.Order) {
	if _, known := e.orders[o.ID]; known {
		return
	}
	if e.fencing && o.Fence < e.lastFence {
		return
	}
	e.lastFence = max(e.lastFence, o.Fence)
	if o.Kind == targetapi.Raise {
		return
	}
	e.orders[o.ID] = targetapi.OrderStatus{ID: o.ID, State: targetapi.OrderAccepted}
	e.running[o.ID] = o
	item := ItemOf(&o)
	held, resident := e.residents[item]
	switch {
	case IsLoad(&o) && !resident:
		e.residents[item] = targetapi.Resident{Model: o.Model, Version: o.ModelVersion, Adapter: o.Adapter, State: targetapi.Loading, Bytes: o.Bytes}
	case IsUnload(&o) && resident:
		held.State = targetapi.Unloading
		e.residents[item] = held
	}
}

func (e *engine) finish(id string, fail bool) {
	o := e.running[id]
	delete(e.running, id)
	item := ItemOf(&o)
	state := targetapi.OrderDone
	held, resident := e.residents[item]
	switch {
	case IsLoad(&o) && fail:
		state = targetapi.OrderFailed
		delete(e.residents, item)
	case IsLoad(&o) && resident:
		held.State = targetapi.Ready
		e.residents[item] = held
	case IsUnload(&o):
		delete(e.residents, item)
	}
	e.orders[id] = targetapi.OrderStatus{ID: id, State: state}
}

func (e *engine) announce() *targetapi.Announcement {
	e.sequence++
	a := &targetapi.Announcement{
		Version: 1, Target: "t", Incarnation: e.incarnation, Sequence: e.sequence, CapacityBytes: e.capacity,
		ReserveBytes: e.reserve, ChecksFencing: e.fencing, LastFence: e.lastFence,
	}
	for _, r := range e.residents {
		a.Residents = append(a.Residents, r)
	}
	for _, s := range e.orders {
		a.Orders = append(a.Orders, s)
	}
	return a
}

// system is a target, its controllers and the network between them.
type system struct {
	random  *rand.Rand
	now     time.Time
	engine  *engine
	ledger  *Ledger
	fence   uint64
	ids     int
	mail    []mail
	maxLate time.Duration
	settled int
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
		case m.order != nil && m.incarnation == s.engine.incarnation:
			s.engine.receive(*m.order)
		case m.report != nil:
			settled, _ := s.ledger.Report(s.now, m.report)
			s.settled += len(settled)
		}
	}
}

func (s *system) send(o targetapi.Order) {
	// The controller binds each copy to the incarnation of the report it acts on.
	s.post(mail{order: &o, incarnation: s.ledger.report.Incarnation})
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
		s.ledger = New("t", Floor{})
		s.ledger.Distrust(s.now, s.fence)
		return
	}
	s.ledger = New("t", old.Floor())
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
						engine: &engine{fencing: fencing, capacity: 100, reserve: 15}, ledger: New("t", Floor{}),
					}
					if loses {
						s.maxLate = CopyLifetime
					}
					s.engine.restart()
					for range 1200 {
						s.step(loses)
						if use := s.engine.use(); use > s.engine.capacity {
							t.Fatalf("real use %d of %d at %v", use, s.engine.capacity, s.now.Sub(epoch))
						}
						s.engine.peak = max(s.engine.peak, s.engine.use())
					}
					full += int(s.engine.peak) / 80
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
	// Maps are walked in order, so that a seed gives the same schedule again.
	for _, id := range slices.Sorted(maps.Keys(s.engine.running)) {
		if s.random.IntN(6) == 0 {
			s.engine.finish(id, s.random.IntN(8) == 0)
		}
	}
	if s.random.IntN(5) == 0 {
		s.post(mail{report: s.engine.announce()})
	}
	if s.random.IntN(3) == 0 {
		s.control()
	}
	if s.random.IntN(150) == 0 {
		s.succeed(loses)
	}
	if s.random.IntN(400) == 0 {
		s.engine.restart()
	}
}

// Guards against bad orders that change the account.
func TestReserveErrors(t *testing.T) {
	l := New("t", Floor{})
	load := targetapi.Order{ID: "1", Kind: targetapi.LoadModel, Model: "m", ModelVersion: "1", Bytes: 60}
	if err := l.Reserve(load); !errors.Is(err, ErrNoReport) {
		t.Fatal(err)
	}
	a := targetapi.Announcement{Target: "t", Incarnation: 1, Sequence: 1, CapacityBytes: 100, ReserveBytes: 10,
		Residents: []targetapi.Resident{{Model: "r", Version: "1", State: targetapi.Ready, Bytes: 20}}}
	l.Report(epoch, &a)
	if err := l.Reserve(load); err != nil || l.Free() != 10 {
		t.Fatal(err, l.Free())
	}
	for want, o := range map[error]targetapi.Order{
		ErrOpenOrder: {ID: "2", Kind: targetapi.UnloadModel, Model: "m", ModelVersion: "1"},
		ErrResident:  {ID: "3", Kind: targetapi.LoadModel, Model: "r", ModelVersion: "1", Bytes: 1},
		ErrNoMemory:  {ID: "4", Kind: targetapi.LoadModel, Model: "x", Bytes: 11},
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
	e := &engine{capacity: 1000, reserve: 10}
	e.restart()
	for i := range 20 {
		o := targetapi.Order{ID: fmt.Sprint(i), Kind: targetapi.LoadModel, Model: fmt.Sprint(i), Bytes: 10}
		e.receive(o)
		e.finish(o.ID, false)
	}
	l, a := New("t", Floor{}), e.announce()
	b.ReportAllocs()
	for b.Loop() {
		a.Sequence++
		l.Report(epoch, a)
	}
}
