// Package gateway serves callers: it matches their requests with the routes in force, sends them to targets and relays
// the answers.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/gatewaycount"
	"github.com/tarragonhoist/tarragonhoist/coordination/headroom"
	"github.com/tarragonhoist/tarragonhoist/coordination/pace"
	"github.com/tarragonhoist/tarragonhoist/coordination/quota"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/targetlimit"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

const (
	// maxHeaderBytes bounds the headers of a request, with room above the limit that operators set.
	maxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds a body when the configuration states no limit.
	defaultBodyBytes = 4 << 20
	// probeInterval is the polling interval for unreachable targets that are due for a probe.
	probeInterval = 100 * time.Millisecond
	// housekeepingInterval is the interval at which idle connections to targets are closed and the state of targets that
	// are no longer known is dropped.
	housekeepingInterval = time.Second
)

// Options of a gateway.
type Options struct {
	Name             string
	DataCentre       string
	CallerAddress    string
	ReadinessAddress string
	// PeerAddress is where other gateways hand requests over.
	PeerAddress string
	ReadyPath   string
	Headers     dialect.Headers
	ReadPrompt  dialect.PromptDecoder
	CountTokens dialect.TokenCounter
	Budget      dispatch.BudgetLimits
	// SlowStart bounds the requests to targets that have just started or returned, see package pace.
	SlowStart bool
	// DialTarget opens connections to targets.
	DialTarget upstream.Dial
	// Intake counts what callers hold; nil stands for a pool without bounds.
	Intake *intake.Pool
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// Quota is how quotas of accounts are counted.
	Quota quota.Options
}

// Gateway is one process that serves callers.
type Gateway struct {
	opts          Options
	view          *fleetview.View
	watcher       *fleetview.Watcher
	peers         fleetview.PeerClient
	client        *upstream.Client
	loadTracker   *dispatch.LoadTracker
	budget        *dispatch.Budget
	demand        *demand
	recorder      *events.Recorder
	metrics       *counters
	systemHeaders map[string]bool // canonical names of headers that only the system sets

	rngMu sync.Mutex
	rng   *rand.Rand

	ready    atomic.Bool
	stopping atomic.Bool
	// lastDeadline is set when a shutdown starts to refuse requests: those with a later deadline are refused, new ones and those
	// that no target works on.
	lastDeadline   atomic.Pointer[time.Time]
	activeRequests atomic.Int64
	held           heldBytes
	standstill     *standstill
	refusals       sync.Map // time of the latest refused connection, by address
	// exiting ends shortly before the process exits, and with it the requests that have no answer yet.
	exiting      context.Context
	startExit    context.CancelFunc
	gatewayCount gatewaycount.Counter // gateways that share the targets
	loading      atomic.Pointer[[]loadingModel]
	// queues are the requests that wait at other gateways.
	queues atomic.Pointer[map[modelKey]headroom.Queue]
	// overShare are the client accounts above their fair share.
	overShare    atomic.Pointer[[]string]
	suspects     *crashSuspects
	limits       *targetlimit.Table
	adapters     *adapterBackoff
	serviceTimes *headroom.ServiceTimes
	pace         *pace.Table
	helpers      *helpers
	attempts     *attempts
	// isolated is set while this gateway reaches no target.
	isolated atomic.Bool
	// targetsLostAt is the time at which the last target became unreachable, zero while one is reachable. It belongs to the
	// goroutine that probes.
	targetsLostAt time.Time
	// permitFailure is the latest failed call for a permit.
	permitFailure atomic.Pointer[permitFailure]
	quotas        *quotas
	speeds        speeds
	rotation      *inRotation
}

// New assembles a gateway.
func New(opts Options, view *fleetview.View, watcher *fleetview.Watcher, peers fleetview.PeerClient, recorder *events.Recorder,
	registry metrics.Registry, rng *rand.Rand) *Gateway {
	g := &Gateway{
		opts: opts, view: view, watcher: watcher, peers: peers, recorder: recorder, rng: rng,
		loadTracker: dispatch.NewLoadTracker(opts.Name),
		budget:      dispatch.NewBudget(opts.Budget), demand: newDemand(), metrics: newCounters(registry),
		systemHeaders: make(map[string]bool), suspects: newCrashSuspects(),
		limits: targetlimit.NewTable(), pace: pace.NewTable(opts.Name), adapters: newAdapterBackoff(), serviceTimes: headroom.NewServiceTimes(), attempts: newAttempts(), standstill: newStandstill(sinceBoot),
		helpers: &helpers{client: upstream.New(upstream.Dialer(helperConnectTimeout), metrics.NewRegistry()), pausedAt: make(map[string]time.Time), unservedAt: make(map[modelKey]time.Time)},
	}
	g.quotas = newQuotas(opts, registry)
	g.rotation = newInRotation(recorder, g.metrics)
	if g.opts.Intake == nil {
		g.opts.Intake = intake.New(intake.Options{})
	}
	g.client = upstream.New(g.recordRefusals(opts.DialTarget), registry)
	g.client.LimitIdle(g.opts.Intake.IdleLimit())
	g.loading.Store(&[]loadingModel{})
	g.queues.Store(queuesOf(nil))
	g.overShare.Store(&[]string{})
	g.exiting, g.startExit = context.WithCancel(context.Background())
	for _, name := range opts.Headers.Reserved {
		g.systemHeaders[http.CanonicalHeaderKey(name)] = true
	}
	return g
}

// randomFloat returns a uniform number in [0, 1).
func (g *Gateway) randomFloat() float64 {
	g.rngMu.Lock()
	defer g.rngMu.Unlock()
	return g.rng.Float64()
}

// Run serves until ctx ends and the requests in progress are answered.
func (g *Gateway) Run(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", g.opts.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readinessListener, err := net.Listen("tcp", g.opts.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	peerListener, err := net.Listen("tcp", g.opts.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for other gateways")
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	callerServer := &http.Server{
		Handler: http.HandlerFunc(g.serveCaller), MaxHeaderBytes: maxHeaderBytes, ConnState: g.rotation.observe,
	}
	readinessServer := intake.NewServer(http.HandlerFunc(g.serveReady))
	peerServer := &http.Server{
		Handler: http.HandlerFunc(g.serveHandover), MaxHeaderBytes: maxHeaderBytes,
	}
	failed := make(chan error, 3)
	go func() { failed <- g.opts.Intake.ServePeers(peerServer, peerListener) }()
	go func() { failed <- g.opts.Intake.Serve(callerServer, callerListener) }()
	go func() { failed <- g.opts.Intake.Serve(readinessServer, readinessListener) }()
	go g.watcher.Run(background)
	go g.exchangeLoad(background)
	go g.cleanUpPeriodically(background)
	go g.probeUnreachable(background)
	go g.rotation.measure(background)
	g.recorder.Record(events.Listening, events.Fields{"callers": g.opts.CallerAddress, "ready": g.opts.ReadinessAddress})
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve callers and readiness checks")
	case <-ctx.Done():
	}
	g.shutdown(callerServer, peerServer)
	_ = readinessServer.Close()
	g.recorder.Record(events.Stopped, nil)
	return nil
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.opts.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if g.takesCallers() && !g.rotation.failsCheck() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// takesCallers reports whether callers may connect to this gateway. It may be out of rotation nevertheless.
func (g *Gateway) takesCallers() bool { return g.isReady() && !g.leavesToOthers() }

// isReady becomes true once the configuration and a target are known. It stays true while the control instances are
// unreachable, since the known configuration and targets can still serve callers.
func (g *Gateway) isReady() bool {
	if g.stopping.Load() {
		return false
	}
	if !g.ready.Load() && g.view.Table() != nil && len(g.view.Targets()) > 0 {
		g.ready.Store(true)
		g.recorder.Record(events.GatewayReady, events.Fields{"version": g.view.Table().Version(), "targets": len(g.view.Targets())})
	}
	return g.ready.Load()
}

// probeUnreachable connects to unreachable targets to find out when they accept connections again, and to targets that owe an
// answer and are silent, to find out whether they are unreachable.
func (g *Gateway) probeUnreachable(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.standstill.newsSince(now)
		g.recordReachability(now)
		g.confirmCrashes(now)
		for _, id := range g.loadTracker.Down() {
			g.attempts.cancelSilent(now, id)
		}
		due, silent := g.loadTracker.TakeDueProbes(now), g.loadTracker.TakeSilent(now)
		if len(due) == 0 && len(silent) == 0 {
			continue
		}
		targets := g.view.Targets()
		for i := range targets {
			t := &targets[i]
			switch {
			case slices.Contains(due, t.ID):
				go func() {
					err := g.client.Connect(ctx, t.Address)
					g.loadTracker.RecordProbe(time.Now(), t.ID, err == nil)
				}()
			case slices.Contains(silent, t.ID):
				go g.probeSilent(ctx, t)
			}
		}
	}
}

// countUnreachable returns the number of targets that take new work, and how many of these are unreachable. As long as none is, which is
// the case nearly always, it counts neither.
func (g *Gateway) countUnreachable() (ready, unreachable int) {
	down := g.loadTracker.Down()
	if len(down) == 0 {
		return 0, 0
	}
	isDown := make(map[string]bool, len(down))
	for _, id := range down {
		isDown[id] = true
	}
	targets := g.view.Targets()
	for i := range targets {
		if t := &targets[i]; t.State == roster.Ready {
			ready++
			if isDown[t.ID] {
				unreachable++
			}
		}
	}
	return ready, unreachable
}

// reachesNone reports whether every target that takes new work is unreachable.
func (g *Gateway) reachesNone() bool {
	ready, unreachable := g.countUnreachable()
	return ready > 0 && unreachable == ready
}

// recordReachability records when this gateway loses the last target that takes new work, and when it reaches one again.
func (g *Gateway) recordReachability(now time.Time) {
	ready, unreachable := g.countUnreachable()
	g.metrics.unreachableTargets.Update(int64(unreachable))
	lost := ready > 0 && unreachable == ready
	g.isolated.Store(lost)
	switch {
	case lost && g.targetsLostAt.IsZero():
		g.targetsLostAt = now
		g.recorder.Record(events.TargetsLost, events.Fields{"targets": ready})
	case !lost && !g.targetsLostAt.IsZero():
		g.recorder.Record(events.TargetsReached, events.Fields{"lost_ms": now.Sub(g.targetsLostAt).Milliseconds()})
		g.targetsLostAt = time.Time{}
	}
}

// leavesToOthers reports whether callers are served better by other gateways: this one reaches no target, and others do.
func (g *Gateway) leavesToOthers() bool { return g.isolated.Load() && g.helpers.any() }

// helps reports whether this gateway serves requests that others hand over.
func (g *Gateway) helps() bool { return g.isReady() && !g.isolated.Load() }

func (g *Gateway) cleanUpPeriodically(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ids, addresses := make(map[string]bool), make(map[string]bool)
		for _, t := range g.view.Targets() {
			ids[t.ID] = true
			addresses[t.Address] = true
		}
		now := time.Now()
		g.client.CloseIdle(now, func(address string) bool { return addresses[address] })
		g.helpers.client.CloseIdle(now, func(string) bool { return true })
		g.loadTracker.Forget(ids)
		g.limits.Forget(ids)
		g.adapters.expire(now)
		g.refusals.Range(func(address, _ any) bool {
			if !addresses[address.(string)] {
				g.refusals.Delete(address)
			}
			return true
		})
		g.view.LogQuarantines(now, g.recorder)
	}
}
