package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
)

// request is one attempt of a caller.
type request struct {
	ctx         context.Context
	id          string
	method      string
	uri         string
	host        string
	header      http.Header // without connection headers and headers that only the system sets
	body        []byte
	route       *routes.Route
	service     *routes.Service
	table       *routes.Table // the configuration that contains the route
	prompt      dialect.Prompt
	credentials credentials
	// charge is what the quota of the account was charged for the request.
	charge charge
	// rank is that with which targets schedule the request; 0 is the most urgent.
	rank     int
	arrived  time.Time
	deadline time.Time
	// abandonedAt is when the caller makes no more attempts.
	abandonedAt time.Time
	// suspects are the request as a whole and the shared parts of its prompt, see suspectsOf.
	suspects []crashes.Suspect
	// waiting is how the request counts in the demand, and waitingAccount the account with which it was counted.
	waiting        waitState
	waitingAccount *routes.Account
	waited         time.Duration // time spent waiting for a target
	// waitsForAdapter is until when the request waits for an adapter, and adapterLate is set if the adapter is loaded later than that.
	waitsForAdapter time.Time
	adapterLate     bool
	sends           int
	lastTarget      string
	// stream identifies the stream that the request begins or takes up, and softwareVersion is the version at which alone it
	// may go on; nil as long as any may begin it.
	stream          streamorigin.ID
	softwareVersion *string
	// notLoaded is set when no target held the model at the end of the wait.
	notLoaded bool
	// handedOver is set if another gateway handed the request over, and sendsLeft is the number of targets to which it may be
	// sent then.
	handedOver bool
	sendsLeft  int
	// triedHelpers are the gateways to which the request was handed over, and helper is the one that answered.
	triedHelpers []string
	helper       string
	// returnAfter is when the gateway to which the request was handed over told its caller to return, 0 if it did not.
	returnAfter time.Duration
	// crashCheck is closed when it is known whether the target that broke the request off last has crashed; nil if none did.
	crashCheck <-chan struct{}
	// quarantinedFor is how long requests with the same suspects will be refused, 0 if the request is not quarantined.
	quarantinedFor time.Duration
}

// connectionHeaders concern one connection only and are not forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Expect": true,
}

func (g *Gateway) serveCaller(rw http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	w := newAnswer(rw, r)
	defer w.cutUnlessWhole()
	arrived := time.Now()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	table := g.awaitTable(r, arrived)
	if table == nil {
		g.refuseEarly(w, r, http.StatusServiceUnavailable, "no configuration received before the wait ended")
		return
	}
	q := g.readRequest(w, r, table, arrived)
	if q == nil {
		return
	}
	// Earlier refusals close no connection: a part of their body may not have been read, and closing would discard it.
	w.rotation, w.remote = g.rotation, r.RemoteAddr
	if g.takesUpStream(q) && !g.findOrigin(w, q) {
		return
	}
	if !g.chargeQuota(w, q) {
		return
	}
	q.suspects = suspectsOf(q)
	g.budget.Request(arrived, q.service.Name)
	g.serve(w, q)
}

// readRequest reads a request and selects its service. It refuses the request and returns nil if no route matches it, or if it
// can't end before a shutdown.
func (g *Gateway) readRequest(w *answer, r *http.Request, table *routes.Table, arrived time.Time) *request {
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(uri, "?")
	route := table.Match(r.Host, path)
	if route == nil {
		g.refuseEarly(w, r, http.StatusNotFound, "no route matches host and path")
		return nil
	}
	caller := g.readCredentials(r.Header)
	if !caller.authorize(table, route) {
		g.metrics.unauthorized.Inc(1)
		g.refuseEarly(w, r, http.StatusUnauthorized, reasonUnknownKey)
		return nil
	}
	limit := table.Document().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	// The whole body is read, so that it can be sent again and a connection that the caller closes is detected.
	body, err := intake.ReadBody(r, limit)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		w.Header().Set("Connection", "close")
		g.refuseEarly(w, r, http.StatusRequestEntityTooLarge, err.Error())
		return nil
	case errors.Is(err, intake.ErrFull):
		w.Header().Set("Connection", "close")
		g.refuseEarly(w, r, http.StatusServiceUnavailable, err.Error())
		return nil
	case err != nil:
		// The caller closed the connection or stopped sending, so nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	q := &request{
		ctx: r.Context(), id: r.Header.Get(g.opts.Headers.RequestID), method: r.Method, uri: uri, host: r.Host, body: body,
		route: route, table: table, arrived: arrived, deadline: arrived.Add(route.Timeout),
		header: g.forwardedHeader(r.Header), credentials: caller,
	}
	q.setRank()
	q.abandonedAt = arrived.Add(max(route.StreamLife(), streamorigin.MinLife))
	if left, ok := g.timeLeft(r); ok {
		q.deadline = arrived.Add(min(left, route.Timeout))
		q.abandonedAt = arrived.Add(left)
	}
	if !g.endsBeforeExit(q.deadline) {
		g.refuseEarly(w, r, http.StatusServiceUnavailable, reasonShuttingDown)
		return nil
	}
	q.service = table.Service(route.Pick(g.randomFloat()))
	if q.service.Engine != nil {
		if p, ok := g.opts.ReadPrompt(r.Header); ok {
			q.prompt = p
		}
	}
	q.stream = g.streamOf(q)
	return q
}

// maxRuns is the number of targets that may run the request.
func (q *request) maxRuns() int {
	if q.handedOver {
		return q.sendsLeft
	}
	return max(q.route.MaxAttempts, 1)
}

// timeLeft returns how long the caller waits for an answer, if it states that.
func (g *Gateway) timeLeft(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(g.opts.Headers.TimeLeftMs), 10, 64)
	if err != nil || ms < 0 || ms > maxTimeLeftMs {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

const (
	// maxTimeLeftMs is the longest wait that a caller may state: one day.
	maxTimeLeftMs = 24 * 60 * 60 * 1000
	// defaultTableWait is the wait for the first configuration when the caller does not state how long it waits.
	defaultTableWait = time.Second
)

// awaitTable returns the configuration in force. Right after the start it waits for the first one, which arrives within a
// second or two when the whole deployment restarts.
func (g *Gateway) awaitTable(r *http.Request, arrived time.Time) *routes.Table {
	if table := g.view.Table(); table != nil {
		return table
	}
	wait := defaultTableWait
	if left, ok := g.timeLeft(r); ok {
		wait = time.Duration(float64(left) * waitShare)
	}
	for time.Since(arrived) < wait && g.endsBeforeExit(arrived.Add(wait)) {
		select {
		case <-r.Context().Done():
			return nil
		case <-time.After(waitPollInterval):
		}
		if table := g.view.Table(); table != nil {
			return table
		}
	}
	return nil
}

// forwardedHeader returns the headers that are forwarded to a target.
func (g *Gateway) forwardedHeader(h http.Header) http.Header {
	forwarded := make(http.Header, len(h)+2)
	dropped := connectionOptions(h)
	for name, values := range h {
		if connectionHeaders[name] || g.systemHeaders[name] || dropped[name] || name == g.opts.Headers.TimeLeftMs {
			continue
		}
		forwarded[name] = values
	}
	delete(forwarded, g.opts.Headers.Key) // see credentials
	delete(forwarded, g.opts.Headers.Account)
	return forwarded
}

// connectionOptions returns the headers that the Connection header names.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for _, option := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return named
}

// refuseEarly refuses a request before a target is chosen for it.
func (g *Gateway) refuseEarly(w *answer, r *http.Request, status int, reason string) {
	g.metrics.refused.Inc(1)
	g.recorder.Record(events.RequestRefused, events.Fields{
		"request": r.Header.Get(g.opts.Headers.RequestID), "status": status, "reason": reason, "host": r.Host, "path": r.URL.Path,
	})
	if status == http.StatusServiceUnavailable {
		w.Header().Set(g.opts.Headers.RetryAfter, formatSeconds(earlyRetryAfter))
	}
	w.sendStatus(status)
}

// earlyRetryAfter is short, since another instance may be able to serve the request at once.
const earlyRetryAfter = 100 * time.Millisecond

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(d.Seconds(), 0), 'f', 2, 64)
}
