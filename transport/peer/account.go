package peer

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// connectionBytes is what an inbound connection holds: seven goroutines and the read buffer.
	connectionBytes = 24 << 10
	// firstFrameBytes is the first capacity of the buffer of a frame, which at most doubles as bytes arrive.
	firstFrameBytes = 16 << 10
	// roomTimeout is how long a frame waits for room before its connection is closed. Messages of others are handled meanwhile.
	roomTimeout = time.Second
	roomPoll    = 10 * time.Millisecond
)

// ErrNoRoom means that other instances hold all memory that is set aside for them.
var ErrNoRoom = errors.New("other instances hold all memory that is set aside for them")

// account counts what the sender of one inbound connection holds. A nil account counts nothing.
type account struct {
	memory Memory

	mu     sync.Mutex
	held   int64 // frames and queues: given back when the connection ends
	calls  int64 // parameters of running calls, which may go on after that
	proven bool
	closed bool
}

// connect counts the connection until close.
func (a *account) connect() bool {
	if a == nil || a.memory.Connect(connectionBytes) {
		return true
	}
	a.memory.Refused()
	return false
}

// take counts n bytes until they are released or the connection ends.
func (a *account) take(n int) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	if !a.memory.Take(int64(n), a.held+a.calls, a.proven) {
		a.memory.Refused()
		return false
	}
	a.held += int64(n)
	return true
}

// await is take that waits for room for a while.
func (a *account) await(n int, ended <-chan struct{}) error {
	if a == nil || a.tryTake(n) {
		return nil
	}
	deadline := time.Now().Add(roomTimeout)
	for {
		select {
		case <-ended:
			return ErrNoRoom
		case <-time.After(roomPoll):
		}
		if a.tryTake(n) {
			return nil
		}
		if time.Now().After(deadline) {
			a.memory.Refused()
			return ErrNoRoom
		}
	}
}

func (a *account) tryTake(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.memory.Take(int64(n), a.held+a.calls, a.proven) {
		return false
	}
	a.held += int64(n)
	return true
}

func (a *account) release(n int) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.held -= int64(n)
		a.memory.Release(int64(n), a.proven)
	}
}

// takeCall counts the parameters of a call until releaseCall, also beyond the end of the connection. Only proven senders make calls.
func (a *account) takeCall(n int) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.memory.Take(int64(n), a.held+a.calls, true) {
		a.memory.Refused()
		return false
	}
	a.calls += int64(n)
	return true
}

func (a *account) releaseCall(n int) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls -= int64(n)
	a.memory.Release(int64(n), true)
}

// prove is called when the handshake is complete.
func (a *account) prove() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed && !a.proven {
		a.proven = true
		a.memory.Prove(a.held)
	}
}

// close gives back all but what running calls hold.
func (a *account) close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.memory.Release(a.held, a.proven)
		a.memory.Disconnect(connectionBytes)
		a.held = 0
	}
}
