package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// drainTime is drain_ms of the site, and heartbeatInterval its heartbeat_ms.
const (
	drainTime         = 2500 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
)

// replica is a sound replica of a service. It runs in this process, with an address of its own.
type replica struct {
	id, service, address string
	slots, kvTokens      int
	isEngine             bool
	events               int           // of a stream
	gap                  time.Duration // between two events
	work                 time.Duration // of a plain request
	d                    *deployment
	born                 int64

	server *http.Server

	mu       sync.Mutex
	sequence uint64
	state    string // ready or draining
	leftAt   time.Time
	running  int
	waiting  int
	kvUsed   int
	freed    chan struct{}  // closed and replaced when a slot or memory becomes free
	runs     map[string]int // by request id
	// afterDrain is the number of requests that began to run later than drainTime after draining was acknowledged.
	afterDrain int

	stop context.CancelFunc
	// holder is nil for a replica that holds one model and is never ordered another.
	holder *holder
}

// newReplica starts a replica at an address. kvTokens is the memory of an engine, 0 for a plain service.
func newReplica(d *deployment, id, service, address string, slots, kvTokens int) (*replica, error) {
	return startReplica(d, id, service, address, slots, kvTokens, nil)
}

// newHoldingReplica starts an engine that carries out orders.
func newHoldingReplica(d *deployment, id, address string, slots, kvTokens int, h *holder) (*replica, error) {
	return startReplica(d, id, assistant, address, slots, kvTokens, h)
}

func startReplica(d *deployment, id, service, address string, slots, kvTokens int, h *holder) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, address: address, slots: slots, kvTokens: kvTokens, isEngine: kvTokens > 0, events: 35, gap: 150 * time.Millisecond,
		work: 60 * time.Millisecond, d: d, born: time.Now().UnixMilli(), state: "ready", freed: make(chan struct{}), runs: make(map[string]int)}
	if h != nil {
		h.r, r.holder = r, h
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go r.beat(ctx)
	return r, nil
}

// end ends the replica at once.
func (r *replica) end() {
	r.stop()
	_ = r.server.Close()
}

// leave has the replica drain: it reports draining, goes on serving for drainTime after the acknowledgement and a little longer, deregisters
// and exits. It returns when the acknowledgement has come, and calls left when the replica has exited.
func (r *replica) leave(left func()) (acknowledged bool) {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	for range 10 {
		if acknowledged = r.sendHeartbeat(); acknowledged {
			break
		}
	}
	r.mu.Lock()
	r.leftAt = time.Now()
	r.mu.Unlock()
	r.d.record.add("draining", "replica", r.id, "acknowledged", acknowledged)
	go func() {
		time.Sleep(drainTime + 2*time.Second)
		r.post("/api/Replicas.Deregister/"+r.id, r.description())
		r.end()
		r.d.record.add("exited", "replica", r.id)
		left()
	}()
	return acknowledged
}

func (r *replica) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		r.sendHeartbeat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (r *replica) models() []heldModel {
	switch {
	case !r.isEngine:
		return nil
	case r.holder != nil:
		return r.holder.models()
	}
	return []heldModel{{Name: modelName, Version: 1, Adapters: []string{}}}
}

func (r *replica) description() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	h := map[string]any{"service": r.service, "address": r.address, "zone": "coulee-a", "version": "v1", "slots": r.slots, "state": r.state,
		"cold_left_ms": 0, "sequence": r.sequence, "born": r.born}
	if r.isEngine {
		h["stage"], h["models"] = "unified", r.models()
	}
	return h
}

func (r *replica) sendHeartbeat() bool {
	return r.post("/api/Replicas.Heartbeat/"+r.id, r.description())
}

var heartbeats = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// post sends a message to one control machine after the other until one acknowledges it.
func (r *replica) post(path string, message any) bool {
	body, err := json.Marshal(message)
	if err != nil {
		return false
	}
	h := fnv.New32()
	_, _ = h.Write([]byte(r.id))
	first := int(h.Sum32()) % len(r.d.controls)
	for i := range r.d.controls {
		ip := r.d.controls[(first+i)%len(r.d.controls)]
		response, err := heartbeats.Post(fmt.Sprintf("http://%s:%d%s", ip, r.d.ports.control, path), "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// ServeHTTP answers requests as PROTOCOL.md tells.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.Header().Set("X-Replica-Id", r.id)
		r.reject(w, q, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == healthPath:
		w.Header().Set("X-Replica-Id", r.id)
	case q.URL.Path == "/api/report":
		r.report(w)
	case q.URL.Path == "/api/order":
		r.order(w, q)
	case q.Header.Get("X-Attempt-Id") == "":
		r.reject(w, q, http.StatusBadRequest)
	default:
		r.serve(w, q)
	}
}

func (r *replica) reject(w http.ResponseWriter, q *http.Request, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
	w.WriteHeader(status)
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sequence, busy := uint64(0), false
	if r.holder != nil {
		sequence, busy = r.holder.state()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "unified", "models": r.models(), "busy": busy, "sequence": sequence, "waiting": r.waiting,
		"running": r.running, "kv_used": r.kvUsed, "kv_total": r.kvTokens, "handles": 0})
}

// order accepts no change without a holder: what is ordered holds already.
func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	if r.holder != nil {
		r.holder.order(w, q)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve runs a request once a slot is free.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	name := strings.SplitN(q.Header.Get("X-Model"), "/", 2)[0]
	switch {
	case r.holder != nil:
		if !r.holder.begin(name) {
			r.reject(w, q, http.StatusMisdirectedRequest)
			return
		}
		defer r.holder.end(name)
	case r.isEngine && name != modelName:
		r.reject(w, q, http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.waiting >= r.slots {
		r.mu.Unlock()
		r.reject(w, q, http.StatusServiceUnavailable)
		return
	}
	r.waiting++
	r.mu.Unlock()
	tokens := tokensOf(q.Header.Get("X-Token-Count"))
	acquired := r.acquire(q.Context(), tokens)
	r.mu.Lock()
	r.waiting--
	if acquired {
		r.runs[id]++
	}
	late := !r.leftAt.IsZero() && time.Since(r.leftAt) > drainTime
	if acquired && late {
		r.afterDrain++
	}
	r.mu.Unlock()
	if !acquired {
		return
	}
	r.d.record.add("runs", "replica", r.id, "request", id, "path", q.URL.Path, "bytes", len(body), "after_drain", late)
	defer r.release(tokens)
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Response-Seal", "seal-"+r.id+"-"+id)
	if !r.isEngine {
		if pause(q.Context(), r.work) {
			_, _ = io.WriteString(w, strings.Repeat("r", 800))
		}
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= r.events; i++ {
		if !pause(q.Context(), r.gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 40)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// tokensOf returns the tokens of a prompt and its longest output together.
func tokensOf(count string) int {
	in, out, _ := strings.Cut(count, ",")
	prompt, _ := strconv.Atoi(in)
	output, _ := strconv.Atoi(out)
	return prompt + output
}

// acquire waits for a slot and memory, and reports whether the caller is still there.
func (r *replica) acquire(ctx context.Context, tokens int) bool {
	for {
		r.mu.Lock()
		if r.running < r.slots && (!r.isEngine || r.kvUsed+tokens <= r.kvTokens) {
			r.running++
			r.kvUsed += tokens
			r.mu.Unlock()
			return true
		}
		freed := r.freed
		r.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *replica) release(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.kvUsed -= tokens
	close(r.freed)
	r.freed = make(chan struct{})
}

// pause reports whether the caller is still there after a time.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
