// Package faultproxy is a TCP proxy for fault injection. The demo and the tests put it between processes to break,
// stall and delay their connections. The serving system does not use it.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	chunkBytes = 32 << 10
	// maxChunks bounds the bytes that are buffered per connection and direction. Beyond it the relay stops reading, and
	// the buffers of the sender fill up.
	maxChunks   = 64
	dialTimeout = 5 * time.Second
)

type state struct {
	disconnected, stalled bool
	delay                 time.Duration
}

// Relay forwards connections to one target address. It is safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	running  sync.WaitGroup
	closed   chan struct{}

	mu      sync.Mutex
	state   state
	changed chan struct{} // closed and replaced whenever state changes
	conns   map[net.Conn]struct{}
}

// New starts a relay to the address target. It listens on a loopback port that the kernel chooses.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on a loopback port for the relay")
	}
	r := &Relay{
		target: target, listener: listener, closed: make(chan struct{}), changed: make(chan struct{}),
		conns: make(map[net.Conn]struct{}),
	}
	r.running.Go(r.accept)
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Disconnect closes all connections, and every new one at once, until Heal.
func (r *Relay) Disconnect() {
	r.updateState(func(s *state) { s.disconnected = true })
	r.closeConnections()
}

// Stall keeps connections open but forwards no bytes until Heal, as in a partition that drops packets silently.
func (r *Relay) Stall() { r.updateState(func(s *state) { s.stalled = true }) }

// Delay adds a latency of d in each direction until Heal.
func (r *Relay) Delay(d time.Duration) { r.updateState(func(s *state) { s.delay = d }) }

// Heal ends Disconnect, Stall and Delay. Bytes that Stall or Delay held back are forwarded.
func (r *Relay) Heal() { r.updateState(func(s *state) { *s = state{} }) }

// Close stops listening, closes all connections and waits for their goroutines.
func (r *Relay) Close() error {
	r.mu.Lock()
	select {
	case <-r.closed:
		r.mu.Unlock()
		return nil
	default:
		close(r.closed)
	}
	r.mu.Unlock()
	err := r.listener.Close()
	r.closeConnections()
	r.running.Wait()
	return errors.Wrap(err, "close the relay's listener")
}

func (r *Relay) updateState(f func(*state)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.state)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *Relay) currentState() (state, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.changed
}

// track registers a connection so that Disconnect and Close can close it. It returns false when the relay is
// disconnected or closed.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		return false
	default:
	}
	if r.state.disconnected {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) closeAndUntrack(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			select {
			case <-r.closed:
				return
			case <-time.After(10 * time.Millisecond): // temporary error, for example no free file descriptor
				continue
			}
		}
		if !r.track(conn) {
			_ = conn.Close()
			continue
		}
		r.running.Go(func() { r.serve(conn) })
	}
}

func (r *Relay) serve(conn net.Conn) {
	defer r.closeAndUntrack(conn)
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	defer r.closeAndUntrack(target)
	if !r.track(target) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(target, conn) })
	directions.Go(func() { r.forward(conn, target) })
	directions.Wait()
}

type chunk struct {
	data    []byte
	arrived time.Time
}

// forward copies one direction. End of file is forwarded as a half-close after the bytes before it; any other error
// closes the connection on the other side too.
func (r *Relay) forward(dst, src net.Conn) {
	chunks := make(chan chunk, maxChunks)
	stopped := make(chan struct{})
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		for {
			data := make([]byte, chunkBytes)
			n, err := src.Read(data)
			if n > 0 {
				select {
				case chunks <- chunk{data[:n], time.Now()}:
				case <-stopped:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					_ = dst.Close()
				}
				return
			}
		}
	})
	defer reading.Wait()
	defer close(stopped)
	for c := range chunks {
		if !r.waitForwardable(c.arrived) {
			return
		}
		if _, err := dst.Write(c.data); err != nil {
			_ = src.Close()
			return
		}
	}
	if !r.waitForwardable(time.Now()) {
		return
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// waitForwardable waits until bytes that arrived at the given time may be forwarded. It returns false when the relay is
// closed or disconnected.
func (r *Relay) waitForwardable(arrived time.Time) bool {
	for {
		s, changed := r.currentState()
		if s.disconnected {
			return false
		}
		wait := time.Until(arrived.Add(s.delay))
		if !s.stalled && wait <= 0 {
			return true
		}
		var timer <-chan time.Time
		if !s.stalled {
			timer = time.After(wait)
		}
		select {
		case <-changed:
		case <-timer:
		case <-r.closed:
			return false
		}
	}
}
