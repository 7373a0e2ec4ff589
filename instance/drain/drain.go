// Package drain admits work until a shutdown and waits for the work in progress.
package drain

import (
	"context"
	"sync"
)

// Gate counts work in progress. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	ready  bool
	closed bool
	active int
	idle   chan struct{}
}

// NewGate makes a gate that admits work but is not ready yet.
func NewGate() *Gate { return &Gate{idle: make(chan struct{})} }

// SetReady says whether the platform should send new work. A gate that has been closed never becomes ready again.
func (g *Gate) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready && !g.closed
}

// Ready says whether the platform should send new work.
func (g *Gate) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready
}

// Enter admits one piece of work; leave ends it. After Close nothing is admitted.
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

// Close stops admitting work.
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

// Wait returns after Close once the last piece of work has ended, or when ctx ends.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Active is the number of pieces of work in progress.
func (g *Gate) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}
