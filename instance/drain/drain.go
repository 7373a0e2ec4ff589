// Package drain tracks readiness and the requests in progress, so that a shutdown can refuse new requests and wait for
// the running ones.
package drain

import (
	"context"
	"sync"
)

// Gate admits requests until it is closed, and counts those in progress. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	ready  bool
	closed bool
	active int
	idle   chan struct{}
}

// NewGate returns a gate that admits requests but is not ready yet.
func NewGate() *Gate { return &Gate{idle: make(chan struct{})} }

// SetReady sets whether the platform should send new requests. A closed gate never becomes ready again.
func (g *Gate) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready && !g.closed
}

// Ready reports whether the platform should send new requests.
func (g *Gate) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready
}

// Enter admits a request and returns a function that must be called at its end. After Close, it returns false.
func (g *Gate) Enter() (leave func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.active++
	var once sync.Once
	return func() { once.Do(g.leave) }, true
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.closed && g.active == 0 {
		close(g.idle)
	}
}

// Close makes the gate refuse new requests. Requests in progress continue.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed, g.ready = true, false
	if g.active == 0 {
		close(g.idle)
	}
}

// Wait waits until the gate is closed and the last request has ended. It returns an error if ctx is done before.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Active returns the number of requests in progress.
func (g *Gate) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}
