package target

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
)

// PathExecutions is the path of the number of executions per idempotency key.
const PathExecutions = "/executions"

// maxKeys bounds the counted idempotency keys. Calls with further keys are rejected, since an evicted count would hide a
// call that ran twice.
const maxKeys = 1 << 20

// maxDelay bounds the query parameter delay of a call.
const maxDelay = 10 * time.Minute

// ServiceAnswer is the response body of a plain service.
type ServiceAnswer struct {
	Target     string `json:"target"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Key        string `json:"key,omitempty"`
	Executions int    `json:"executions"`
	BodyBytes  int    `json:"body_bytes"`
}

type executionCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newExecutionCounts() *executionCounts { return &executionCounts{counts: make(map[string]int)} }

// execute counts one execution; ok is false when the limit of keys is reached.
func (c *executionCounts) execute(key string) (count int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.counts[key]; !known && len(c.counts) >= maxKeys {
		return 0, false
	}
	c.counts[key]++
	return c.counts[key], true
}

// Executions returns the number of executions per idempotency key. Calls without a key are counted under the empty key.
func (t *Target) Executions() map[string]int {
	t.executions.mu.Lock()
	defer t.executions.mu.Unlock()
	return maps.Clone(t.executions.counts)
}

func (t *Target) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.Executions())
}

// handleService executes a call before its delay, so that a call whose answer is late or lost has been executed.
func (t *Target) handleService(w http.ResponseWriter, r *http.Request) {
	delay := time.Duration(0)
	if text := r.URL.Query().Get("delay"); text != "" {
		var err error
		if delay, err = time.ParseDuration(text); err != nil || delay < 0 || delay > maxDelay {
			http.Error(w, "query parameter delay is not a duration from 0s to 10m, such as 250ms", http.StatusBadRequest)
			return
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "cannot read the request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if string(bytes.TrimSpace(body)) == CrashContent {
		t.crash()
	}
	ctx, forget := t.register(r)
	defer forget()
	full, err := t.slots.acquire(ctx, "")
	if full || err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "all slots are in use and the queue is full, or the call was cancelled while queued", http.StatusTooManyRequests)
		return
	}
	defer t.slots.release()
	key := r.Header.Get(api.HeaderIdempotencyKey)
	count, ok := t.executions.execute(key)
	if !ok {
		http.Error(w, "limit of counted idempotency keys reached", http.StatusInsufficientStorage)
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return
	}
	writeJSON(w, http.StatusOK, ServiceAnswer{t.cfg.Name, r.Method, r.URL.Path, key, count, len(body)})
}
