package intake

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lineBytes is what the field of one line of a head holds besides its text: entries of maps and slices, and of their copies.
	lineBytes = 128
	// elementBytes is what an element of a list in a field holds besides its text, such as a part of a prompt: its entry, and what is kept
	// of it until the request ends.
	elementBytes = 64
	// smallWrite is the size up to which a write is not counted: the buffer of the connection.
	smallWrite = 4 << 10
)

// phase is what a client does, as seen by the reading side.
const (
	phaseIdle int32 = iota
	phaseHead
	phaseBody
	phaseRunning
)

// Conn is a connection of a client. What it reads and writes is counted.
type Conn struct {
	*net.TCPConn
	pool         *Pool
	peer         bool // accepted by ServePeers
	held         atomic.Int64
	phase        atomic.Int32
	since        atomic.Int64 // start of the phase, Unix ns
	received     atomic.Int64
	wanted       atomic.Int64 // bytes for which the client waits
	waitingSince atomic.Int64 // start of this wait, Unix ns; 0 if it does not wait
	resumed      atomic.Int64 // end of the last wait for room, Unix ns
	writing      atomic.Int64 // start of the write in progress, Unix ns; 0 without one
	closed       chan struct{}
	once         sync.Once
	gone         atomic.Bool

	request atomic.Int64 // part of held that is given back at the end of the request: head, body and what is held for it
	ended   atomic.Int64 // number of requests that have ended; it changes under endMu
	endMu   sync.Mutex

	// The fields below belong to the pool. closedRunning is set if the pool closed the connection while a request ran. marks are the bytes received when the last two measurements began.
	closedRunning bool
	marks         [2]int64
	stallMark     int64
	stallMarkAt   time.Time
	stalledPhase  int64 // since of the phase that is watched for a stall
}

// Read counts what a client sends before any parser sees it.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.received.Add(int64(n))
	switch c.phase.Load() {
	case phaseIdle:
		c.enter(phaseHead)
	case phaseHead:
	default:
		return n, err
	}
	size := int64(n) + lineBytes*int64(bytes.Count(b[:n], []byte{'\n'})) + elementBytes*int64(bytes.Count(b[:n], []byte{','}))
	if fullErr := c.reserve(size); fullErr != nil {
		// net/http answers other errors with 400, which would blame the client.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: fullErr}
	}
	return n, err
}

// reserve counts n more bytes for the request, and waits until there is room.
func (c *Conn) reserve(n int64) error {
	if err := c.pool.reserve(c, n); err != nil {
		return err
	}
	c.request.Add(n)
	return nil
}

// reserveFor is reserve for a request that may have ended meanwhile; nothing is counted for it then.
func (c *Conn) reserveFor(request, n int64) error {
	if c.ended.Load() != request {
		return errClosed
	}
	if err := c.pool.reserve(c, n); err != nil {
		return err
	}
	c.endMu.Lock()
	defer c.endMu.Unlock()
	if c.ended.Load() != request {
		c.pool.release(c, n)
		return errClosed
	}
	c.request.Add(n)
	return nil
}

// release gives n bytes of the request back.
func (c *Conn) release(n int64) {
	c.request.Add(-n)
	c.pool.release(c, n)
}

// Write counts a response while it is not taken.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	size := int64(len(b))
	if size > smallWrite { // the memory exists already, so it is counted in any case
		c.held.Add(size)
		c.pool.used.Add(size)
		defer c.pool.release(c, size)
	}
	n, err := c.TCPConn.Write(b)
	c.writing.Store(0)
	return n, err
}

// Close closes the connection and gives back what it held.
func (c *Conn) Close() error {
	c.shut()
	if !c.gone.Swap(true) {
		c.pool.forget(c)
		c.pool.release(c, connBytes+c.request.Swap(0))
	}
	return nil
}

// shut closes the connection. What was counted for it is given back when its server has noticed.
func (c *Conn) shut() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.TCPConn.Close()
	})
}

func (c *Conn) isRunning() bool { return c.phase.Load() == phaseRunning }

func (c *Conn) enter(phase int32) {
	c.since.Store(time.Now().UnixNano())
	c.phase.Store(phase)
}

// begin is called when the head of a request was read. fields is its number of fields; those of a pipelined request may have
// been read together with the request before. A request with a body is not running before ReadBody has read it: net/http waits for
// the body of a request whose handler answers without reading it.
func (c *Conn) begin(fields int, body bool) error {
	if more := int64(fields)*lineBytes - c.request.Load(); more > 0 {
		if err := c.reserve(more); err != nil {
			return err
		}
	}
	if body {
		c.enter(phaseBody)
	} else {
		c.enter(phaseRunning)
	}
	return nil
}

// end is called when a request was answered.
func (c *Conn) end() {
	c.endMu.Lock()
	c.ended.Add(1)
	c.pool.release(c, c.request.Swap(0))
	c.endMu.Unlock()
	c.enter(phaseIdle)
}

// claim describes the client for the choice of a victim.
func (c *Conn) claim(now time.Time) Claim {
	claim := Claim{State: Running, Held: c.held.Load(), Since: time.Unix(0, c.since.Load()), Resumed: time.Unix(0, c.resumed.Load()),
		Waiting: c.waitingSince.Load() != 0}
	switch c.phase.Load() {
	case phaseIdle:
		claim.State = Idle
	case phaseHead, phaseBody:
		claim.State = Receiving
	}
	if started := c.writing.Load(); started != 0 && now.Sub(time.Unix(0, started)) >= window {
		claim.State, claim.Since = Unread, time.Unix(0, started)
	}
	claim.Recent = c.received.Load() - c.marks[0]
	return claim
}

// observe starts a measurement of the progress every half window, so that the older of two covers between a half and a whole one.
func (c *Conn) observe() { c.marks[0], c.marks[1] = c.marks[1], c.received.Load() }

// stuck reports whether a body or a write has made no progress for the given time.
func (c *Conn) stuck(now time.Time, limit time.Duration) bool {
	if started := c.writing.Load(); started != 0 {
		return now.Sub(time.Unix(0, started)) > limit
	}
	since := c.since.Load()
	if c.phase.Load() != phaseBody || c.waitingSince.Load() != 0 {
		c.stalledPhase = 0
		return false
	}
	received := c.received.Load()
	if c.stalledPhase != since || received-c.stallMark >= stallBytes {
		c.stalledPhase, c.stallMark, c.stallMarkAt = since, received, now
	}
	return now.Sub(c.stallMarkAt) > limit
}
