// Package loadlimit keeps the loads of one data centre within its share of the limits of the whole deployment: rate and
// concurrency of loads from the weight store, and concurrency of adapter loads. It does no I/O and reads no clock.
//
// A limit is divided into slots; each data centre owns a fixed number of them and may lend some to others for a limited
// time. A slot permits one load at a time. A slot of the weight store also carries a share of the rate: it starts at
// most one load per interval. The sum over all data centres therefore stays within the limits without consensus between
// them.
package loadlimit

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is a kind of load with a limit of its own.
type Kind string

// Kinds of load.
const (
	Weights  Kind = "weights"
	Adapters Kind = "adapters"
)

// Times of a loan. A borrowed slot starts a load only while more than MaxLoadTime of the loan remains, so that the load
// has ended when the lender takes the slot back.
const (
	LoanPeriod  = 30 * time.Second
	MaxLoadTime = 15 * time.Second
	// DriftMargin covers the drift between two monotonic clocks over one loan.
	DriftMargin = 3 * time.Second
	// requestTimeout is how long a borrower waits for a response before it sends another request.
	requestTimeout = 2 * time.Second
	// idleReturn is how long a loan without a load is kept before its slots are returned.
	idleReturn = 2 * time.Second
)

// Limits are the load limits of the whole deployment.
type Limits struct {
	WeightLoadsPerSecond float64
	WeightLoads          int
	AdapterLoads         int
}

// Shares divides a number of slots between data centres as evenly as possible; the remainder goes to the first ones by
// name. The shares add up to the total.
func Shares(total int, dataCentres []string) map[string]int {
	names := slices.Sorted(slices.Values(dataCentres))
	shares := make(map[string]int, len(names))
	for i, name := range names {
		shares[name] = total / len(names)
		if i < total%len(names) {
			shares[name]++
		}
	}
	return shares
}

// BorrowRequest asks another data centre to lend slots.
type BorrowRequest struct {
	// ID is unique, also across restarts of the borrower. It becomes the id of the loan.
	ID    string `json:"id"`
	From  string `json:"from"`
	To    string `json:"to"`
	Kind  Kind   `json:"kind"`
	Slots int    `json:"slots"`
}

// BorrowResponse lends slots, possibly none. For the borrower, the loan lasts LoanPeriod from the time of the request.
type BorrowResponse struct {
	ID    string `json:"id"`
	From  string `json:"from"`
	To    string `json:"to"`
	Kind  Kind   `json:"kind"`
	Slots int    `json:"slots"`
}

// Return ends a loan early.
type Return struct {
	ID   string `json:"id"`
	From string `json:"from"`
	To   string `json:"to"`
	Kind Kind   `json:"kind"`
}

// Load is a load that needs a slot to start.
type Load struct {
	ID   string
	Kind Kind
	// Urgent marks the load of a model or adapter that has no ready replica. Urgent loads get slots first, and only
	// they cause borrowing.
	Urgent bool
}

// Limiter holds the slots of one data centre. It is not safe for concurrent use. A controller creates a new one when it
// gets the lease and drops it when it loses the lease.
type Limiter struct {
	self         string
	epoch        uint64
	peers        []string
	pools        map[Kind]*pool
	requestCount uint64
}

// New returns the limiter of a data centre. The epoch must differ from those of all earlier limiters of the data
// centre, as the fencing number does. Slots that a predecessor may have lent become usable only after LoanPeriod and
// DriftMargin; the others only after one interval, because the predecessor may just have started a load.
func New(now time.Time, self string, epoch uint64, dataCentres []string, limits Limits) (*Limiter, error) {
	if !slices.Contains(dataCentres, self) {
		return nil, errors.Errorf("data centre %q is not among %v", self, dataCentres)
	}
	if limits.WeightLoadsPerSecond <= 0 || limits.WeightLoads <= 0 || limits.AdapterLoads <= 0 {
		return nil, errors.Errorf("load limits must be larger than 0, got %+v", limits)
	}
	l := &Limiter{self: self, epoch: epoch, pools: make(map[Kind]*pool, 2)}
	for _, name := range slices.Sorted(slices.Values(dataCentres)) {
		if name != self {
			l.peers = append(l.peers, name)
		}
	}
	interval := time.Duration(float64(limits.WeightLoads) / limits.WeightLoadsPerSecond * float64(time.Second))
	l.pools[Weights] = newPool(now, Weights, Shares(limits.WeightLoads, dataCentres)[self], interval)
	l.pools[Adapters] = newPool(now, Adapters, Shares(limits.AdapterLoads, dataCentres)[self], 0)
	return l, nil
}

// AddRunning counts a load that a predecessor started and whose end has not been reported.
func (l *Limiter) AddRunning(id string, kind Kind) { l.pools[kind].addRunning(id) }

// Start assigns slots to loads, urgent ones first, otherwise in the order given, and returns the ids of those that may
// start. The number of urgent loads without a slot is kept as the number of slots to borrow.
func (l *Limiter) Start(now time.Time, loads []Load) []string {
	var started []string
	for _, p := range l.pools {
		p.urgentWaiting = 0
		p.expire(now)
	}
	for _, urgent := range []bool{true, false} {
		for _, load := range loads {
			if load.Urgent != urgent {
				continue
			}
			p := l.pools[load.Kind]
			switch {
			case p.start(now, load.ID):
				started = append(started, load.ID)
			case urgent:
				p.urgentWaiting++
			}
		}
	}
	return started
}

// Finish frees the slot of a load that has ended or was withdrawn.
func (l *Limiter) Finish(now time.Time, id string) {
	for _, p := range l.pools {
		p.done(now, id)
	}
}

// Status is a summary of one limit for operators and metrics.
type Status struct {
	InFlight int `json:"in_flight"`
	// Own counts the own slots that are not lent. Lent counts those that other data centres hold, or may hold because a
	// predecessor may have lent them.
	Own      int `json:"own"`
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"`
	// Waiting is the number of urgent loads that got no slot in the last Start.
	Waiting int `json:"waiting"`
}

// Status returns the state of both limits.
func (l *Limiter) Status() map[Kind]Status {
	all := make(map[Kind]Status, len(l.pools))
	for kind, p := range l.pools {
		s := Status{InFlight: len(p.inFlight), Waiting: p.urgentWaiting}
		for i := range p.slots {
			if p.slots[i].loan == "" {
				s.Own++
			} else {
				s.Borrowed++
			}
		}
		for _, loan := range p.lent {
			s.Lent += loan.slots
		}
		all[kind] = s
	}
	return all
}

// Tick returns the messages to send: requests to borrow slots for urgent loads, and returns of loans that are not used.
func (l *Limiter) Tick(now time.Time) (requests []BorrowRequest, returns []Return) {
	for _, kind := range []Kind{Weights, Adapters} {
		p := l.pools[kind]
		returns = append(returns, p.returnIdle(now, l.self)...)
		if p.urgentWaiting == 0 || len(l.peers) == 0 || !p.mayRequest(now) {
			continue
		}
		l.requestCount++
		// Requests go to the peers in round-robin order.
		peer := l.peers[int(l.requestCount)%len(l.peers)]
		r := BorrowRequest{ID: fmt.Sprintf("%s-%d-%d", l.self, l.epoch, l.requestCount), From: l.self, To: peer, Kind: kind, Slots: p.urgentWaiting}
		p.pending, p.pendingAt, p.pendingPeer = r.ID, now, peer
		requests = append(requests, r)
	}
	return requests, returns
}

// Lend answers a request. A repeated request gets the same answer while its loan lasts.
func (l *Limiter) Lend(now time.Time, r BorrowRequest) BorrowResponse {
	response := BorrowResponse{ID: r.ID, From: l.self, To: r.From, Kind: r.Kind}
	p := l.pools[r.Kind]
	if p == nil || r.To != l.self || r.Slots <= 0 || !slices.Contains(l.peers, r.From) || !strings.HasPrefix(r.ID, r.From+"-") {
		return response
	}
	response.Slots = p.lend(now, r.ID, r.Slots)
	return response
}

// HandleBorrowResponse handles the response to a request. A response that is repeated or late is ignored.
func (l *Limiter) HandleBorrowResponse(now time.Time, r BorrowResponse) {
	if p := l.pools[r.Kind]; p != nil && r.To == l.self {
		p.borrowed(now, r)
	}
}

// HandleReturn handles the return of a loan. A repeated message is ignored.
func (l *Limiter) HandleReturn(now time.Time, r Return) {
	if p := l.pools[r.Kind]; p != nil && r.To == l.self {
		p.endLoan(now, r.ID)
	}
}

// slot permits one load at a time.
type slot struct {
	// load is the id of the load in flight, empty for none.
	load string
	// readyAt is when the rate limit permits the next start.
	readyAt time.Time
	// loan is the id of the loan for a borrowed slot, empty for an own one.
	loan string
}

// lentLoan is a loan to another data centre.
type lentLoan struct {
	slots int
	until time.Time
}

// borrowedLoan is a loan from another data centre.
type borrowedLoan struct {
	lender   string
	until    time.Time
	lastUsed time.Time
}

// pool holds the slots of one kind.
type pool struct {
	kind Kind
	// interval is the minimum time between two starts in one slot.
	interval time.Duration
	// slots are the own slots that are not lent, and the borrowed ones.
	slots []slot
	// inFlight holds the ids of all running loads, including those without a slot (see loadsWithoutSlot).
	inFlight map[string]bool
	// lent and loans hold the loans to and from other data centres by loan id.
	lent  map[string]lentLoan
	loans map[string]borrowedLoan
	// reserved is the number of own slots that are never lent.
	reserved int
	// urgentWaiting is the number of urgent loads that got no slot in the last Start.
	urgentWaiting int

	// pending is the id of the request that waits for a response, empty for none.
	pending     string
	pendingAt   time.Time
	pendingPeer string
}

// predecessorLoan is the id of the loan that stands for all slots that a predecessor may have lent.
const predecessorLoan = "predecessor"

func newPool(now time.Time, kind Kind, share int, interval time.Duration) *pool {
	p := &pool{
		kind: kind, interval: interval, inFlight: make(map[string]bool), lent: make(map[string]lentLoan),
		// Half of the share is never lent, so that a new controller doesn't have to wait for the end of earlier loans.
		loans: make(map[string]borrowedLoan), reserved: (share + 1) / 2,
	}
	for range p.reserved {
		p.slots = append(p.slots, slot{readyAt: now.Add(interval)})
	}
	if share > p.reserved {
		p.lent[predecessorLoan] = lentLoan{slots: share - p.reserved, until: now.Add(LoanPeriod + DriftMargin)}
	}
	return p
}

// addRunning assigns a load of a predecessor to a free own slot. Without a free slot, the load still counts in
// loadsWithoutSlot and so blocks other loads until it is done.
func (p *pool) addRunning(id string) {
	if p.inFlight[id] {
		return
	}
	p.inFlight[id] = true
	for i := range p.slots {
		if p.slots[i].load == "" && p.slots[i].loan == "" {
			p.slots[i].load = id
			return
		}
	}
}

// loadsWithoutSlot is the number of running loads without a slot: adopted loads that found no free slot, and loads that
// outlasted their loan. As many free slots must stay unused.
func (p *pool) loadsWithoutSlot() int {
	n := len(p.inFlight)
	for i := range p.slots {
		n -= btoi(p.slots[i].load != "")
	}
	return n
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (p *pool) start(now time.Time, id string) bool {
	if p.inFlight[id] {
		return false
	}
	free := p.startableSlots(now)
	if len(free) <= p.loadsWithoutSlot() {
		return false
	}
	i := free[0]
	p.slots[i].load, p.slots[i].readyAt = id, now.Add(p.interval)
	p.inFlight[id] = true
	if loan, ok := p.loans[p.slots[i].loan]; ok {
		loan.lastUsed = now
		p.loans[p.slots[i].loan] = loan
	}
	return true
}

// startableSlots lists the indices of the slots that may start a load now, own ones first.
func (p *pool) startableSlots(now time.Time) []int {
	var own, borrowed []int
	for i := range p.slots {
		s := &p.slots[i]
		switch {
		case s.load != "" || now.Before(s.readyAt):
		case s.loan == "":
			own = append(own, i)
		case now.Add(MaxLoadTime).Before(p.loans[s.loan].until):
			borrowed = append(borrowed, i)
		}
	}
	return append(own, borrowed...)
}

func (p *pool) done(now time.Time, id string) {
	if !p.inFlight[id] {
		return
	}
	delete(p.inFlight, id)
	for i := range p.slots {
		if p.slots[i].load == id {
			p.slots[i].load = ""
		}
	}
	p.expire(now)
}

// expire drops borrowed slots whose loan has ended and takes back lent ones. A load that outlasts its loan stays in
// inFlight without a slot, so that an own slot stays unused instead.
func (p *pool) expire(now time.Time) {
	p.slots = slices.DeleteFunc(p.slots, func(s slot) bool {
		return s.loan != "" && !now.Before(p.loans[s.loan].until)
	})
	maps.DeleteFunc(p.loans, func(_ string, l borrowedLoan) bool { return !now.Before(l.until) })
	for id, l := range p.lent {
		if !now.Before(l.until) {
			p.endLoan(now, id)
		}
	}
}

// lend lends idle own slots, but leaves at least the reserved ones. It lends none while urgent loads of its own wait.
func (p *pool) lend(now time.Time, id string, slots int) int {
	p.expire(now)
	if l, ok := p.lent[id]; ok {
		return l.slots
	}
	own := 0
	for i := range p.slots {
		own += btoi(p.slots[i].loan == "")
	}
	granted := 0
	if p.urgentWaiting == 0 {
		granted = max(0, min(slots, own-p.reserved, p.idleOwnSlots(now)-p.loadsWithoutSlot()))
	}
	if granted == 0 {
		return 0
	}
	left := granted
	p.slots = slices.DeleteFunc(p.slots, func(s slot) bool {
		if left == 0 || s.loan != "" || s.load != "" || now.Before(s.readyAt) {
			return false
		}
		left--
		return true
	})
	p.lent[id] = lentLoan{slots: granted, until: now.Add(LoanPeriod + DriftMargin)}
	return granted
}

func (p *pool) idleOwnSlots(now time.Time) (n int) {
	for i := range p.slots {
		s := &p.slots[i]
		n += btoi(s.loan == "" && s.load == "" && !now.Before(s.readyAt))
	}
	return n
}

// endLoan makes lent slots usable again. The borrower may just have started a load, so the rate limit permits the next
// start only after one interval.
func (p *pool) endLoan(now time.Time, id string) {
	l, ok := p.lent[id]
	if !ok || id == predecessorLoan && now.Before(l.until) {
		return
	}
	delete(p.lent, id)
	for range l.slots {
		p.slots = append(p.slots, slot{readyAt: now.Add(p.interval)})
	}
}

// mayRequest reports whether no request is pending or the pending one has timed out.
func (p *pool) mayRequest(now time.Time) bool {
	return p.pending == "" || now.Sub(p.pendingAt) >= requestTimeout
}

func (p *pool) borrowed(now time.Time, r BorrowResponse) {
	if r.ID != p.pending || r.From != p.pendingPeer {
		return
	}
	p.pending = ""
	until := p.pendingAt.Add(LoanPeriod)
	if r.Slots <= 0 || !now.Before(until) {
		return
	}
	p.loans[r.ID] = borrowedLoan{lender: r.From, until: until, lastUsed: now}
	for range r.Slots {
		p.slots = append(p.slots, slot{loan: r.ID})
	}
}

// returnIdle ends loans that have not been used for idleReturn. The slots are dropped before the message is sent, so
// that borrower and lender never use them at the same time.
func (p *pool) returnIdle(now time.Time, self string) (returns []Return) {
	p.expire(now)
	for _, id := range slices.Sorted(maps.Keys(p.loans)) {
		loan := p.loans[id]
		busy := slices.ContainsFunc(p.slots, func(s slot) bool { return s.loan == id && s.load != "" })
		if busy || now.Sub(loan.lastUsed) < idleReturn || p.urgentWaiting > 0 && now.Add(MaxLoadTime).Before(loan.until) {
			continue
		}
		p.slots = slices.DeleteFunc(p.slots, func(s slot) bool { return s.loan == id })
		delete(p.loans, id)
		returns = append(returns, Return{ID: id, From: self, To: loan.lender, Kind: p.kind})
	}
	return returns
}
