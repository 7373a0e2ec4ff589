// Package intake bounds what untrusted clients hold of a process: connections, request heads, bodies as they arrive and responses that
// they don't read. All listeners of a process share one pool. docs/design/intake.md has the bounds.
package intake

import (
	"cmp"
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
)

const (
	// poolShare is the part of the memory of the process that clients may hold. Twice as much stays for held answers and the process
	// itself below the soft limit of the Go runtime.
	poolShare = 0.2
	// largeShare is the part of the pool for clients that hold more than smallClient each. Ordinary requests are smaller by far.
	// seniorShare is for one of them at a time, and leaves a quarter for ordinary callers.
	largeShare  = 0.5
	seniorShare = 0.75
	smallClient = 64 << 10
	// connBytes is what one connection holds: goroutine, read and write buffer.
	connBytes = 16 << 10
	// ownDescriptors are for listeners, files and connections to control instances.
	ownDescriptors = 64
)

// stallBytes of a body have to arrive within Times.Stall.
const stallBytes = 1 << 10

// Times after which clients without progress are closed or refused. Zero values mean the defaults.
type Times struct {
	// Head and Idle are the times for a head, and between requests, of servers that set none of their own.
	Head, Idle time.Duration
	// Stall is how long a body may take for stallBytes, and one write of a response.
	Stall time.Duration
	// Room is how long a client waits for room before it is refused.
	Room time.Duration
}

// Defaults of Times, which clients within the limits of docs/design/hard-load.md, Part 5, don't reach.
const (
	DefaultHead  = 10 * time.Second
	DefaultIdle  = 60 * time.Second
	DefaultStall = 20 * time.Second
	DefaultRoom  = 4 * time.Second
)

func (t Times) withDefaults() Times {
	return Times{Head: cmp.Or(t.Head, DefaultHead), Idle: cmp.Or(t.Idle, DefaultIdle), Stall: cmp.Or(t.Stall, DefaultStall), Room: cmp.Or(t.Room, DefaultRoom)}
}

// ErrFull is returned when a client gets no room.
var ErrFull = errors.New("clients hold all memory that is set aside for them")

// errClosed ends reads of a client that was closed in favour of others.
var errClosed = errors.New("connection closed in favour of other clients")

// Options of a pool. Zero values mean no bound.
type Options struct {
	MemoryMB int
	MaxFDs   int
	Times    Times
	Registry metrics.Registry
	// Acted is told, at most once a second for each limit, how many clients it has closed or refused.
	Acted func(limit string, clients int64)
}

// Pool counts what the clients of a process hold.
type Pool struct {
	opts     Options
	budget   int64
	maxConns int
	used     atomic.Int64
	wanted   atomic.Int64 // bytes for which clients wait
	senior   atomic.Pointer[Conn]
	full     chan struct{} // wakes Run
	limits   [limitCount]limitCounter
	peers    *Peers
	usedNow  metrics.Gauge
	connsNow metrics.Gauge

	mu      sync.Mutex
	clients map[*Conn]struct{}
	closing map[*Conn]struct{} // closed by the pool, and not yet by their servers
	// closingRunning are those of them whose request may still hold the connection to a target.
	closingRunning int
	claims         []Claim // scratch space, with the connection of each claim
	owners         []*Conn
}

// New returns a pool. Run must be called.
func New(opts Options) *Pool {
	opts.Times = opts.Times.withDefaults()
	p := &Pool{opts: opts, budget: math.MaxInt64, maxConns: math.MaxInt, full: make(chan struct{}, 1), clients: make(map[*Conn]struct{}), closing: make(map[*Conn]struct{})}
	if opts.MemoryMB > 0 {
		p.budget = int64(poolShare * float64(opts.MemoryMB) * (1 << 20))
	}
	if opts.MaxFDs > 0 {
		p.maxConns = max((opts.MaxFDs-ownDescriptors)*3/8, 1)
	}
	if p.opts.Registry == nil {
		p.opts.Registry = metrics.NewRegistry()
	}
	p.usedNow = metrics.GetOrRegisterGauge("intake.held_bytes", p.opts.Registry)
	p.connsNow = metrics.GetOrRegisterGauge("intake.connections", p.opts.Registry)
	p.peers = newPeers(p)
	for l := range p.limits {
		p.limits[l].total = metrics.GetOrRegisterCounter("intake."+limitNames[l], p.opts.Registry)
	}
	return p
}

// Times returns the times that are in effect.
func (p *Pool) Times() Times { return p.opts.Times }

// IdleLimit returns the number of idle connections to targets for which descriptors are left, 0 if they are not bounded: with
// the connections of clients, and as many to the targets that serve them, they use all descriptors.
func (p *Pool) IdleLimit() int {
	if p.opts.MaxFDs == 0 {
		return 0
	}
	return max((p.opts.MaxFDs-ownDescriptors)/4, 1)
}

// bound is what the pool may hold in all for a client to get more bytes.
func (p *Pool) bound(c *Conn, held int64) int64 {
	if held <= smallClient || p.budget == math.MaxInt64 {
		return p.budget
	}
	switch senior := p.senior.Load(); {
	case senior == c:
		return int64(seniorShare * float64(p.budget))
	case senior != nil && senior.waitingSince.Load() != 0:
		return 0 // others would take what becomes free before the senior has enough
	}
	return int64(largeShare * float64(p.budget))
}

// take counts n more bytes for a client, and reports whether there was room.
func (p *Pool) take(c *Conn, n int64) bool {
	if p.used.Add(n) > p.bound(c, c.held.Load()+n) {
		p.used.Add(-n)
		return false
	}
	c.held.Add(n)
	return true
}

// pollInterval is the interval at which clients that wait ask for room, and at which the pool makes room.
const pollInterval = 20 * time.Millisecond

// reserve counts n more bytes for a client. It waits until there is room, unless there never will be.
func (p *Pool) reserve(c *Conn, n int64) error {
	if p.take(c, n) {
		return nil
	}
	if p.budget != math.MaxInt64 && c.held.Load()+n > int64(seniorShare*float64(p.budget)) {
		p.limits[limitRefused].act()
		return ErrTooLarge
	}
	p.wanted.Add(n)
	c.wanted.Store(n)
	c.waitingSince.Store(time.Now().UnixNano())
	if p.wanted.Load() == n { // others have woken Run already
		select {
		case p.full <- struct{}{}:
		default:
		}
	}
	defer func() {
		c.resumed.Store(time.Now().UnixNano())
		c.waitingSince.Store(0)
		p.wanted.Add(-n)
	}()
	for deadline := time.Now().Add(p.opts.Times.Room); time.Now().Before(deadline); {
		select {
		case <-c.closed:
			return errClosed
		case <-time.After(pollInterval):
		}
		if p.take(c, n) {
			return nil
		}
	}
	p.limits[limitRefused].act()
	return ErrFull
}

// release gives bytes of a client back.
func (p *Pool) release(c *Conn, n int64) {
	c.held.Add(-n)
	p.used.Add(-n)
}

// admit adds a connection, and closes others if there are too many. It returns nil if there is no room yet.
func (p *Pool) admit(raw *net.TCPConn, peer bool) *Conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.clients)+p.closingRunning >= p.maxConns {
		victim := p.victimLocked(now, Descriptors, false)
		if victim == nil || p.closingRunning > 0 && victim.isRunning() {
			return nil
		}
		p.closeLocked(victim, limitConnections)
	}
	c := &Conn{TCPConn: raw, pool: p, peer: peer, closed: make(chan struct{})}
	c.since.Store(now.UnixNano())
	c.held.Store(connBytes)
	p.used.Add(connBytes)
	p.clients[c] = struct{}{}
	return c
}

// victimLocked returns the client to close, nil if there is none.
func (p *Pool) victimLocked(now time.Time, scarce Resource, force bool) *Conn {
	p.claimLocked(now)
	return p.owner(Victim(now, p.claims, scarce, force))
}

// owner returns the connection of a claim, nil for -1.
func (p *Pool) owner(i int) *Conn {
	if i < 0 {
		return nil
	}
	return p.owners[i]
}

func (p *Pool) claimLocked(now time.Time) {
	p.claims, p.owners = p.claims[:0], p.owners[:0]
	senior := p.senior.Load()
	exempt := p.peersExemptLocked()
	for c := range p.clients {
		claim := c.claim(now)
		claim.Senior = c == senior
		claim.Exempt = c.peer && exempt
		p.claims, p.owners = append(p.claims, claim), append(p.owners, c)
	}
}

// peersExemptLocked reports whether the connections of ServePeers are within their part, so that they are not closed for others.
func (p *Pool) peersExemptLocked() bool {
	held, conns := int64(0), 0
	for c := range p.clients {
		if c.peer {
			held += c.held.Load()
			conns++
		}
	}
	return float64(held) <= exemptShare*float64(p.budget) && float64(conns) <= exemptShare*float64(p.maxConns)
}

func (p *Pool) closeLocked(c *Conn, l limit) {
	p.limits[l].act()
	delete(p.clients, c)
	p.closing[c] = struct{}{}
	if c.isRunning() {
		c.closedRunning = true
		p.closingRunning++
	}
	c.shut()
}

// forget removes a connection that is closed.
func (p *Pool) forget(c *Conn) {
	p.mu.Lock()
	delete(p.clients, c)
	delete(p.closing, c)
	if c.closedRunning {
		c.closedRunning = false
		p.closingRunning--
	}
	p.mu.Unlock()
}

// Run makes room and closes clients that make no progress, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	var swept, fullSince time.Time
	for {
		interval := window / 2
		if !fullSince.IsZero() {
			interval = pollInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-p.full: // a client waits for room
		case <-time.After(interval):
		}
		now := time.Now()
		if p.wanted.Load() == 0 && p.used.Load() <= p.budget {
			fullSince = time.Time{}
		} else if fullSince.IsZero() || p.makeRoom(now) {
			fullSince = now
		} else if now.Sub(fullSince) > seniorAfter {
			p.serveSenior(now)
		}
		if now.Sub(swept) >= window/2 {
			swept = now
			p.sweep(now)
		}
	}
}

// sweep measures the progress of all clients, and closes those that make none for long.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	for c := range p.clients {
		c.observe()
		if c.stuck(now, p.opts.Times.Stall) {
			p.closeLocked(c, limitStalled)
		}
	}
	conns := len(p.clients)
	p.mu.Unlock()
	p.usedNow.Update(p.used.Load())
	p.connsNow.Update(int64(conns))
	for l := range p.limits {
		if n := p.limits[l].take(now); n > 0 && p.opts.Acted != nil {
			p.opts.Acted(limitNames[l], n)
		}
	}
}
