package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for a replica of a service, of models if it has memory for weights. It follows PROTOCOL.md.
type replica struct {
	d          *deployment
	service    string
	host       int
	zone       string
	slots      int
	weightsMB  float64            // its memory; 0 for a plain service
	sizes      map[string]float64 // of all models that ever were in a configuration
	loadTime   time.Duration
	work       time.Duration
	stream     bool
	onRequest  func(r *replica, id string, at time.Time)
	onOverload func(r *replica, order string)
	onParts    func(parts string)
	// crashesOn reports whether it crashes when it begins to write an answer on a prompt; nil if it never does.
	crashesOn func(parts string) bool
	// version is that of its software.
	version string
	// keepID has it start again under the id that it had, and firstHeartbeat is how late the first heartbeat after that arrives.
	keepID         bool
	firstHeartbeat time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	sequence uint64 // of heartbeats
	state    string
	leaving  bool // sends no more heartbeats
	leaves   bool // says so in its answers
	models   []string
	loading  string
	orders   int // accepted
	running  int
	waiting  int
	server   *http.Server
	done     chan struct{} // closed at the end of the incarnation
}

const (
	queueLength  = 24
	streamEvents = 8
)

var incarnations struct {
	mu sync.Mutex
	n  int
}

// start starts an incarnation of the replica that holds models.
func (r *replica) start(models ...string) error {
	listener, err := net.Listen("tcp", r.d.address(r.host, r.d.replicaPort))
	if err != nil {
		return err
	}
	incarnations.mu.Lock()
	incarnations.n++
	id := fmt.Sprintf("i-%08x", incarnations.n)
	incarnations.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keepID && r.id != "" {
		id = r.id
	}
	r.id, r.born, r.sequence, r.state, r.leaving, r.leaves, r.models, r.loading, r.orders = id, time.Now().UnixMilli(), 0, "ready", false, false, models, "", 0
	r.running, r.waiting = 0, 0
	r.done = make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
	go r.sendHeartbeats(r.done, r.firstHeartbeat)
	r.d.record.note("replica %s of %s, version %s, started at %s, holds %v", id, r.service, cmp.Or(r.version, "v1"), listener.Addr(), models)
	return nil
}

// end ends the incarnation at once.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
	default:
		close(r.done)
		go func(s *http.Server) { _ = s.Close() }(r.server)
	}
}

// heartbeat returns the id and the body of the next heartbeat.
func (r *replica) heartbeat() (string, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	body := map[string]any{"service": r.service, "address": r.d.address(r.host, r.d.replicaPort), "zone": r.zone, "version": cmp.Or(r.version, "v1"), "slots": r.slots,
		"state": r.state, "cold_left_ms": 0, "sequence": r.sequence, "born": r.born}
	if r.weightsMB > 0 {
		body["stage"], body["models"] = "unified", r.heldLocked()
	}
	return r.id, body
}

func (r *replica) heldLocked() []map[string]any {
	held := []map[string]any{}
	for _, m := range r.models {
		held = append(held, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return held
}

// sendHeartbeats sends heartbeats until the incarnation ends or deregisters. Each one goes to another control instance.
func (r *replica) sendHeartbeats(done chan struct{}, delay time.Duration) {
	time.Sleep(delay)
	for i := r.host; ; i++ {
		r.mu.Lock()
		leaving := r.leaving
		r.mu.Unlock()
		if leaving {
			return
		}
		for range r.d.controls {
			id, body := r.heartbeat()
			if status, _ := r.d.callControl(r.d.controls[i%len(r.d.controls)], "POST", "/api/Replicas.Heartbeat/"+id, body); status/100 == 2 {
				break
			}
			i++
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.currentID() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/api/report":
		r.report(w)
		return
	case "/api/order":
		r.order(w, q)
		return
	case "/health":
		w.Header().Set("X-Replica-Id", r.currentID())
		return
	}
	r.run(w, q)
}

func (r *replica) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "unified", "models": r.heldLocked(), "busy": r.loading != "", "sequence": r.orders,
		"waiting": r.waiting, "running": r.running, "kv_used": 0, "kv_total": 90000, "handles": 0})
}

// order carries out an order to load or unload a model.
func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, Model, Adapter, Holder string
		Expect                     *int
		Fence                      *uint64
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == nil || r.sizes[o.Model] == 0 || o.Adapter != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	held := slices.Contains(r.models, o.Model)
	status := http.StatusAccepted
	switch {
	case r.loading != "", o.Expect != nil && *o.Expect != r.orders:
		status = http.StatusConflict
	case held == (o.Op == "load"):
		status = http.StatusOK
	}
	r.d.record.note("replica %s holds %v: order %s %s of %s, fence %d: %d", r.id, r.models, o.Op, o.Model, o.Holder, *o.Fence, status)
	if status == http.StatusAccepted {
		r.orders++
		if o.Op == "unload" {
			r.models = slices.DeleteFunc(slices.Clone(r.models), func(m string) bool { return m == o.Model })
		} else if !r.loadLocked(o.Model) {
			panic(http.ErrAbortHandler)
		}
	}
	w.WriteHeader(status)
}

// loadLocked begins to load a model. It returns false if the weights don't fit: the replica crashes.
func (r *replica) loadLocked(model string) bool {
	used := r.sizes[model]
	for _, m := range r.models {
		used += r.sizes[m]
	}
	if used > r.weightsMB {
		what := fmt.Sprintf("replica %s holds %v and is ordered to load %s: %.0f MB of %.0f MB, it crashes with %d requests on it", r.id, r.models, model, used,
			r.weightsMB, r.running+r.waiting)
		r.d.record.note("%s", what)
		r.onOverload(r, what)
		go r.crash()
		return false
	}
	r.loading = model
	done := r.done
	time.AfterFunc(r.loadTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.done == done {
			r.models, r.loading = append(slices.Clone(r.models), model), ""
		}
	})
	return true
}

// crash ends the incarnation. Its successor is back after some seconds, empty.
func (r *replica) crash() {
	r.end()
	time.Sleep(3 * time.Second)
	if err := r.start(); err != nil {
		r.d.record.note("replica at host %d is not back: %v", r.host, err)
	}
}

// run runs a request of a client, or rejects it.
func (r *replica) run(w http.ResponseWriter, q *http.Request) {
	id, now := q.Header.Get("X-Attempt-Id"), time.Now()
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("X-Attempt-Id", id)
	model, _, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	r.mu.Lock()
	if r.leaving || r.leaves {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	status := 0
	switch {
	case id == "":
		status = http.StatusBadRequest
	case r.weightsMB > 0 && !slices.Contains(r.models, model):
		status = http.StatusMisdirectedRequest
	case r.running+r.waiting >= r.slots+queueLength:
		status = http.StatusServiceUnavailable
	}
	self, version := r.id, cmp.Or(r.version, "v1")
	if status == 0 {
		r.waiting++
	}
	r.mu.Unlock()
	if r.onRequest != nil {
		r.onRequest(r, id, now)
	}
	if r.onParts != nil && status == 0 {
		r.onParts(q.Header.Get("X-Prompt-Prefix"))
	}
	if status != 0 {
		r.d.record.note("replica %s: request %s rejected with %d", self, id, status)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	for !r.takeSlot() {
		select {
		case <-q.Context().Done():
			r.leave(false)
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
	defer r.leave(true)
	r.d.record.note("replica %s: request %s runs", self, id)
	if parts := q.Header.Get("X-Prompt-Prefix"); r.crashesOn != nil && r.crashesOn(parts) {
		r.d.record.note("replica %s crashes under request %s, %s", self, id, parts)
		r.end()
		go r.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "3e1b."+id)
	if !r.stream {
		select {
		case <-q.Context().Done():
		case <-time.After(r.work):
			_, _ = io.WriteString(w, "answer to "+id)
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	for i := first + 1; i <= streamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: of %s at %s\n\n", i, id, version)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.work / streamEvents):
		}
	}
}

func (r *replica) takeSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots {
		return false
	}
	r.running++
	r.waiting--
	return true
}

func (r *replica) leave(ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ran {
		r.running = max(r.running-1, 0)
	} else {
		r.waiting = max(r.waiting-1, 0)
	}
}
