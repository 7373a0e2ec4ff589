package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

// errTargetSilent ends an attempt at a target that is silent and accepts no connection. Another attempt follows.
var errTargetSilent = errors.New("the target is silent and accepts no connection")

// silentStreamTimeout is the silence in the middle of an answer after which an attempt at an unreachable target ends. A sound
// target may fall silent for a second.
const silentStreamTimeout = 1500 * time.Millisecond

// attempt is a request in flight at a target.
type attempt struct {
	target string
	// repeatable is set if the request may be sent to another target after this one.
	repeatable bool
	cancel     context.CancelCauseFunc
	// heardAt is when the target last sent something, in Unix ns, 0 before the first byte.
	heardAt atomic.Int64
}

func (a *attempt) recordHeard(now time.Time) { a.heardAt.Store(now.UnixNano()) }

// attempts are the requests in flight, by target.
type attempts struct {
	mu       sync.Mutex
	byTarget map[string]map[*attempt]struct{}
}

func newAttempts() *attempts {
	return &attempts{byTarget: make(map[string]map[*attempt]struct{})}
}

func (l *attempts) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTarget[a.target] == nil {
		l.byTarget[a.target] = make(map[*attempt]struct{})
	}
	l.byTarget[a.target][a] = struct{}{}
}

func (l *attempts) remove(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byTarget[a.target], a)
	if len(l.byTarget[a.target]) == 0 {
		delete(l.byTarget, a.target)
	}
}

// cancelSilent ends the attempts at an unreachable target that may follow elsewhere: those without an answer, and those whose answer
// has been silent for silentStreamTimeout.
func (l *attempts) cancelSilent(now time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := range l.byTarget[target] {
		if heardAt := a.heardAt.Load(); a.repeatable && (heardAt == 0 || now.Sub(time.Unix(0, heardAt)) > silentStreamTimeout) {
			a.cancel(errTargetSilent)
		}
	}
}

// heardReader reads an answer and records when its target sent something. The attempt is nil for an answer through another gateway.
type heardReader struct {
	answer  *upstream.Answer
	attempt *attempt
}

// Read implements io.Reader.
func (h heardReader) Read(p []byte) (int, error) {
	n, err := h.answer.Read(p)
	if n > 0 && h.attempt != nil {
		h.attempt.recordHeard(time.Now())
	}
	return n, err
}
