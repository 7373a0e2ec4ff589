package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

const (
	// maxHandovers bounds the gateways to which one request is handed over.
	maxHandovers = 3
	// helperPause is the time for which a gateway that could not serve a request gets no further one.
	helperPause = time.Second
	// helperConnectTimeout bounds opening a connection to another gateway.
	helperConnectTimeout = 300 * time.Millisecond
)

// helpers are the gateways that serve requests for which this one reaches no target.
type helpers struct {
	client *upstream.Client

	mu       sync.Mutex
	names    []string // peer addresses
	change   uint64   // see fleetapi.LoadSummary
	pausedAt map[string]time.Time
	// unservedAt is, by service and model, when a helper could not serve it either.
	unservedAt map[modelKey]time.Time
}

// set replaces the helpers, unless the summary of the leader leaves them out.
func (h *helpers) set(names []string, change uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if change != h.change {
		h.names, h.change = names, change
	}
}

func (h *helpers) knownChange() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.change
}

func (h *helpers) any() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.names) > 0
}

// pause leaves a helper out for a while.
func (h *helpers) pause(now time.Time, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pausedAt[name] = now
}

// pick selects a helper that is not excluded, or returns an empty name. draw is uniform in [0, 1).
func (h *helpers) pick(now time.Time, exclude []string, draw float64) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var free []string
	for _, name := range h.names {
		if !slices.Contains(exclude, name) && now.Sub(h.pausedAt[name]) > helperPause {
			free = append(free, name)
		}
	}
	if len(free) == 0 {
		return ""
	}
	return free[int(draw*float64(len(free)))]
}

// setUnserved records that a helper reaches no target for a model of a service either.
func (h *helpers) setUnserved(now time.Time, key modelKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, at := range h.unservedAt {
		if now.Sub(at) > helperPause {
			delete(h.unservedAt, k)
		}
	}
	h.unservedAt[key] = now
}

// isUnserved reports whether a helper lately reached no target for a model of a service either.
func (h *helpers) isUnserved(now time.Time, key modelKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.unservedAt[key]
	return ok && now.Sub(at) <= helperPause
}

// hasHelper reports whether a request may be handed over to another gateway.
func (g *Gateway) hasHelper(q *request) bool {
	now := time.Now()
	return !q.handedOver && len(q.triedHelpers) < maxHandovers && !g.helpers.isUnserved(now, q.modelKey()) &&
		g.helpers.pick(now, q.triedHelpers, 0) != ""
}

func (q *request) modelKey() modelKey { return modelKey{q.service.Name, q.prompt.Model} }

// handOver has another gateway serve a request for which this one reaches no target. ran is the number of sends that may have
// run it.
func (g *Gateway) handOver(r *relay, q *request, ran int) outcome {
	helper := g.helpers.pick(time.Now(), q.triedHelpers, g.randomFloat())
	if helper == "" {
		return unsent
	}
	q.triedHelpers = append(q.triedHelpers, helper)
	g.metrics.handedOver.Inc(1)
	g.recorder.Record(events.RequestHandedOver, events.Fields{"request": q.id, "helper": helper, "sends": q.sends,
		"after_event": r.lastEventID, "after_ms": time.Since(q.arrived).Milliseconds()})
	answer, err := g.helpers.client.Do(q.ctx, helper, g.handoverRequest(q, r.lastEventID, q.maxRuns()-ran))
	if err != nil {
		return g.classifyHandoverError(q, helper, err)
	}
	defer answer.Close()
	sealed := answer.Header.Get(g.opts.Headers.Seal) != ""
	switch {
	case answer.StatusCode == dialect.StatusMisdirected && !sealed:
		// The helper is stopping or has an older configuration, or reaches no target for the request either.
		if answer.Header.Get(fleetapi.HeaderHandoverService) == "" {
			g.helpers.pause(time.Now(), helper)
		} else {
			g.helpers.setUnserved(time.Now(), q.modelKey())
		}
		answer.Discard(maxRejectionBytes, rejectionTimeout)
		return unsent
	case !sealed:
		return g.relayRefusal(r, q, answer, ran)
	}
	target := takeTarget(answer.Header)
	r.target, r.inFlight, r.attempt, r.final, r.sound = target, nil, nil, true, false
	q.lastTarget, q.helper = target.ID, helper
	g.observeLimit(q.arrived, target, answer.Response)
	g.observeBrittle(q.arrived, target, answer.Response)
	g.observeLeaving(target, answer.Response)
	result, _ := r.relayAnswer(answer)
	if result == mayHaveRun || result == expired {
		g.recorder.Record(events.AttemptBroken, events.Fields{"request": q.id, "helper": helper, "target": target.ID,
			"software": target.SoftwareVersion, "status": answer.StatusCode, "bytes": r.bytes, "events": r.events})
	}
	return result
}

// handoverRequest builds the request to another gateway. lastEventID is the id of the event after which a stream resumes, and
// sends the number of targets to which it may be sent.
func (g *Gateway) handoverRequest(q *request, lastEventID string, sends int) *upstream.Request {
	header := make(http.Header, len(q.header)+6)
	for name, values := range q.header {
		header[name] = values
	}
	header[g.opts.Headers.TimeLeftMs] = []string{strconv.FormatInt(max(time.Until(q.deadline).Milliseconds(), 1), 10)}
	header[fleetapi.HeaderHandoverSends] = []string{strconv.Itoa(sends)}
	header[fleetapi.HeaderHandoverVersion] = []string{strconv.FormatUint(q.table.Version(), 10)}
	header[fleetapi.HeaderHandoverService] = []string{q.service.Name}
	for name, values := range q.credentials.headers {
		header[name] = values // the other gateway looks the account up in its own configuration
	}
	if q.softwareVersion != nil {
		header[fleetapi.HeaderHandoverSoftware] = []string{*q.softwareVersion}
	}
	if lastEventID != "" {
		header[g.opts.Headers.LastEvent] = []string{lastEventID}
	}
	return &upstream.Request{Method: q.method, URI: q.uri, Host: q.host, Header: header, Body: q.body, ID: q.id,
		EchoHeader: g.opts.Headers.RequestID, Deadline: q.deadline}
}

// classifyHandoverError classifies a request that got no answer from another gateway.
func (g *Gateway) classifyHandoverError(q *request, helper string, err error) outcome {
	g.helpers.pause(time.Now(), helper)
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return mayHaveRun
	}
	if failure.Failure == upstream.Cancelled {
		return abandoned
	}
	g.recorder.Record(events.AttemptBroken, events.Fields{"request": q.id, "helper": helper, "failure": string(failure.Failure),
		"sent": failure.Sent, "error": failure.Cause.Error()})
	switch failure.Failure {
	case upstream.ConnectFailed:
		return unsent
	case upstream.TimedOut:
		return expired
	}
	return mayHaveRun
}

// relayRefusal relays an answer of another gateway itself, which has no seal of a target.
func (g *Gateway) relayRefusal(r *relay, q *request, a *upstream.Answer, ran int) outcome {
	answer, _ := a.Header[g.opts.Headers.RetryAfter]
	a.Discard(maxRejectionBytes, rejectionTimeout)
	reason := "the gateway to which it was handed over answered " + strconv.Itoa(a.StatusCode)
	switch a.StatusCode {
	case http.StatusServiceUnavailable:
	case http.StatusUnauthorized:
		reason = reasonUnknownKey
	default:
		ran++
	}
	if len(answer) > 0 {
		if seconds, err := strconv.ParseFloat(answer[0], 64); err == nil {
			q.returnAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	g.giveUp(r, q, ran, reason)
	return delivered
}

// takeTarget returns the target that answered another gateway, and removes the headers that name it.
func takeTarget(h http.Header) *roster.Entry {
	start, _ := strconv.ParseInt(h.Get(fleetapi.HeaderHandoverStart), 10, 64) // 0, which no target has, if it is malformed
	t := &roster.Entry{Target: roster.Target{Key: roster.Key{ID: h.Get(fleetapi.HeaderHandoverTarget), StartedAtMs: start},
		Service: h.Get(fleetapi.HeaderHandoverService), SoftwareVersion: h.Get(fleetapi.HeaderHandoverSoftware)}}
	for _, name := range []string{fleetapi.HeaderHandoverStart, fleetapi.HeaderHandoverTarget, fleetapi.HeaderHandoverService, fleetapi.HeaderHandoverSoftware} {
		h.Del(name)
	}
	return t
}

// serveHandover serves a request of another gateway that reaches no target. It answers StatusMisdirected if this one can't serve
// it either.
func (g *Gateway) serveHandover(rw http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	w := newAnswer(rw, r)
	defer w.cutUnlessWhole()
	arrived := time.Now()
	w.Header().Set(g.opts.Headers.RequestID, r.Header.Get(g.opts.Headers.RequestID))
	table := g.view.Table()
	sends, err := strconv.Atoi(r.Header.Get(fleetapi.HeaderHandoverSends))
	version, versionErr := strconv.ParseUint(r.Header.Get(fleetapi.HeaderHandoverVersion), 10, 64)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close") // no request is sent while the process exits
	}
	if err != nil || versionErr != nil || g.stopping.Load() || table == nil || table.Version() < version {
		w.sendStatus(dialect.StatusMisdirected)
		return
	}
	q := g.readRequest(w, r, table, arrived)
	if q == nil {
		return
	}
	q.handedOver, q.sendsLeft = true, sends
	service := r.Header.Get(fleetapi.HeaderHandoverService)
	if service != q.service.Name && g.changeService(q, service) != nil {
		w.sendStatus(dialect.StatusMisdirected)
		return
	}
	if software := r.Header[fleetapi.HeaderHandoverSoftware]; len(software) == 1 {
		q.softwareVersion = &software[0]
	}
	g.metrics.servedForOthers.Inc(1)
	q.suspects = suspectsOf(q)
	g.serve(w, q)
}

// handoverTarget names the target that answers in the headers for the gateway that handed a request over.
func handoverTarget(h http.Header, t *roster.Entry) {
	h.Set(fleetapi.HeaderHandoverTarget, t.ID)
	h.Set(fleetapi.HeaderHandoverStart, strconv.FormatInt(t.StartedAtMs, 10))
	h.Set(fleetapi.HeaderHandoverService, t.Service)
	h.Set(fleetapi.HeaderHandoverSoftware, t.SoftwareVersion)
}

// mayHandOver reports whether a request for which no target was found may be served by another gateway.
func (g *Gateway) mayHandOver(q *request, reason dispatch.Reason) bool {
	return reason == dispatch.NoneReachable && g.hasHelper(q)
}
