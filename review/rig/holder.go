package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// holder is the memory of a replica for weights. It carries out orders as PROTOCOL.md tells.
type holder struct {
	r          *replica
	capacityMB float64
	// newest returns the newest weights of a model, which a load fetches.
	newest   func(model string) weights
	loadTime time.Duration

	mu       sync.Mutex
	held     map[string]weights // by model
	runs     map[string]int     // by model, the requests that run
	sequence uint64
	busy     bool
	// fell is set when the replica was ordered to load more than it holds, with what it would have held.
	fell   bool
	wanted float64
}

// weights are the weights of a model as they were loaded.
type weights struct {
	mb      float64
	version int
}

// models returns what a heartbeat or a report lists.
func (h *holder) models() []heldModel {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := []heldModel{}
	for name, w := range h.held {
		list = append(list, heldModel{Name: name, Version: w.version, Adapters: []string{}})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (h *holder) state() (sequence uint64, busy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sequence, h.busy
}

// begin reports whether a request for a model may run.
func (h *holder) begin(model string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.held[model]; !ok {
		return false
	}
	h.runs[model]++
	return true
}

func (h *holder) end(model string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[model]--
}

type order struct {
	Op     string  `json:"op"`
	Model  string  `json:"model"`
	Expect *uint64 `json:"expect"`
	Holder string  `json:"holder"`
	Fence  *uint64 `json:"fence"`
}

func (h *holder) order(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == nil || o.Model == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := h.accept(&o)
	h.r.d.record.add("order", "replica", h.r.id, "op", o.Op, "model", o.Model, "holder", o.Holder, "fence", *o.Fence, "status", status)
	if status == 0 { // the replica crashes
		h.r.end()
		return
	}
	w.WriteHeader(status)
}

// accept returns the status of the answer, 0 if the replica crashes.
func (h *holder) accept(o *order) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, holds := h.held[o.Model]
	switch {
	case h.busy, o.Expect != nil && *o.Expect != h.sequence:
		return http.StatusConflict
	case o.Op == "load" && holds, o.Op == "unload" && !holds:
		return http.StatusOK
	case o.Op == "unload":
		h.sequence++
		h.busy = true
		go h.unload(o.Model)
		return http.StatusAccepted
	case o.Op != "load":
		return http.StatusBadRequest
	}
	total := h.newest(o.Model).mb
	var list []string
	for name, w := range h.held {
		total += w.mb
		list = append(list, name)
	}
	if total > h.capacityMB {
		h.fell, h.wanted = true, total
		sort.Strings(list)
		h.r.d.record.say("a replica is ordered to load more than it holds", "replica", h.r.id, "model", o.Model, "beside", strings.Join(list, ","),
			"mb", total, "of_mb", h.capacityMB, "holder", o.Holder, "fence", *o.Fence)
		return 0
	}
	h.sequence++
	h.busy = true
	go h.load(o.Model, h.newest(o.Model))
	return http.StatusAccepted
}

func (h *holder) load(model string, w weights) {
	time.Sleep(h.loadTime)
	h.mu.Lock()
	h.held[model], h.busy = w, false
	h.mu.Unlock()
	h.r.sendHeartbeat()
}

// unload waits for the runs of a model to end.
func (h *holder) unload(model string) {
	for {
		h.mu.Lock()
		if h.runs[model] == 0 {
			delete(h.held, model)
			h.busy = false
			h.mu.Unlock()
			h.r.sendHeartbeat()
			return
		}
		h.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}
