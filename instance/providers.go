package instance

import (
	"math/rand/v2"
	"os"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/loadlimit"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/coordination/retry"
	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
	"github.com/tarragonhoist/tarragonhoist/coordination/straggler"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/activeconfig"
	"github.com/tarragonhoist/tarragonhoist/instance/admissionqueue"
	"github.com/tarragonhoist/tarragonhoist/instance/callpolicy"
	"github.com/tarragonhoist/tarragonhoist/instance/controller"
	"github.com/tarragonhoist/tarragonhoist/instance/crashsuspects"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/feasibility"
	"github.com/tarragonhoist/tarragonhoist/instance/incarnation"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/instance/releasenotes"
	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/instance/servicecalls"
	"github.com/tarragonhoist/tarragonhoist/instance/shareusage"
	"github.com/tarragonhoist/tarragonhoist/instance/targets"
	"github.com/tarragonhoist/tarragonhoist/instance/timeline"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// timeSource returns the current time. Wire needs a named type to inject it.
type timeSource func() time.Time

// startNumber is the incarnation of this process. Wire needs a named type to inject it.
type startNumber uint64

func provideClock() timeSource { return time.Now }

func provideStartNumber(s *settings.Settings, now timeSource) (startNumber, error) {
	number, err := incarnation.Next(s.DataFolder, now())
	return startNumber(number), err
}

func provideLog(s *settings.Settings) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	if s.Log.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	}
	return log, nil
}

func provideRecorder(log *logrus.Logger, s *settings.Settings, now timeSource, registry metrics.Registry) *events.Recorder {
	recorder := events.NewRecorder(log, s.Instance, s.DataCentre, now)
	recorder.OnEvent(func(d events.Definition) { metrics.GetOrRegisterCounter("events."+d.Name, registry).Inc(1) })
	return recorder
}

func provideGate() *drain.Gate { return drain.NewGate() }

func provideView(recorder *events.Recorder) *activeconfig.View { return activeconfig.New(recorder) }

func provideLedgerMachine() *callledger.Machine { return callledger.New() }

func provideElectors() *controller.Electors { return controller.NewElectors() }

func provideLease(s *settings.Settings, start startNumber, electors *controller.Electors, peers *peer.Transport,
	config *replica.Group, recorder *events.Recorder, now timeSource) (*controller.Lease, error) {
	identity := controller.Identity{
		Instance: s.Instance, Incarnation: uint64(start), DataCentre: s.DataCentre, Electorate: s.InstancesOf(s.DataCentre),
		DataFolder: s.DataFolder,
	}
	return controller.OpenLease(identity, electors, peers, machineLog{config, machineElectors}, recorder, now)
}

func provideDirector(s *settings.Settings, lease *controller.Lease, targetRegistry *targets.Registry, view *activeconfig.View, demand *admission.Controller,
	client *targetclient.Client, checker *feasibility.Checker, recorder *events.Recorder, now timeSource) *controller.Director {
	options := controller.Options{
		DataCentres: s.DataCentres(), Local: s.InstancesOf,
		Limits: loadlimit.Limits{
			WeightLoadsPerSecond: s.Store.LoadsPerSecond, WeightLoads: s.Store.LoadsAtOnce, AdapterLoads: s.Store.AdapterLoadsAtOnce,
		},
	}
	director := controller.NewDirector(options, lease, targetRegistry.Table(), view, demand, client, checker, recorder, now)
	targetRegistry.Subscribe(director)
	return director
}

func provideUsage(s *settings.Settings, admission *admission.Controller, peers *peer.Transport, now timeSource) *shareusage.Exchange {
	return shareusage.New(admission, peers, otherInstances(s, func(p settings.Peer) bool { return p.DataCentre == s.DataCentre }), now)
}

// otherInstances returns the names of the other instances for which matches returns true.
func otherInstances(s *settings.Settings, matches func(settings.Peer) bool) []string {
	var names []string
	for _, p := range s.Peers {
		if p.Name != s.Instance && matches(p) {
			names = append(names, p.Name)
		}
	}
	return names
}

// logs holds the two replicated logs.
type logs struct{ config, calls *replica.Group }

func provideLogs(s *settings.Settings, peers *peer.Transport, view *activeconfig.View, electors *controller.Electors,
	ledger *callledger.Machine, recorder *events.Recorder) (logs, error) {
	config, err := openConfig(s, peers, view, electors, recorder)
	if err != nil {
		return logs{}, err
	}
	calls, err := openCalls(s, peers, ledger, recorder)
	return logs{config: config, calls: calls}, err
}

func provideConfig(l logs) *replica.Group { return l.config }

func provideGroups(l logs) replicalink.Groups {
	return replicalink.Groups{groupConfig: l.config, groupCalls: l.calls}
}

func providePeers(s *settings.Settings, start startNumber, clients *intake.Pool, registry metrics.Registry, recorder *events.Recorder) (*peer.Transport, error) {
	options := peer.Options{
		Cluster: s.Cluster, Self: s.Instance, Incarnation: uint64(start), BytesPerSecond: s.PeerBytesPerSecond,
		Registry: registry, OnEvent: func(e peer.Event) { recordPeerEvent(recorder, e) },
		Memory: clients.Peers(), MaxConnections: clients.PeerConnections(peer.DefaultMaxConnections, false),
		Resolve: func(name string) (string, bool) {
			p, ok := s.Peer(name)
			return p.Address, ok
		},
	}
	if s.TLS.Enabled() {
		var err error
		if options.TLS, err = peer.LoadTLS(s.TLS.Certificate, s.TLS.Key, s.TLS.Authority); err != nil {
			return nil, err
		}
	}
	return peer.New(options)
}

func recordPeerEvent(recorder *events.Recorder, e peer.Event) {
	fields := events.Fields{"peer": e.Peer}
	if e.Err != nil {
		fields["error"] = e.Err.Error()
	}
	switch e.Kind {
	case peer.Unreachable:
		recorder.Record(events.PeerUnreachable, fields)
	case peer.Reachable:
		recorder.Record(events.PeerReachable, fields)
	case peer.Rejected:
		recorder.Record(events.PeerRejected, fields)
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// configLog adapts the group of the config log to targets.ConfigLog.
type configLog struct{ *replica.Group }

// Applied implements targets.ConfigLog.
func (p configLog) Applied() uint64 { return p.Status().Applied }

func provideTargets(s *settings.Settings, peers *peer.Transport, config *replica.Group, recorder *events.Recorder, now timeSource) *targets.Registry {
	options := targets.Options{
		DataCentre: s.DataCentre, Lease: s.TargetLease.Duration,
		Local:  otherInstances(s, func(p settings.Peer) bool { return p.DataCentre == s.DataCentre }),
		Remote: otherInstances(s, func(p settings.Peer) bool { return p.DataCentre != s.DataCentre }),
	}
	return targets.New(options, peers, configLog{config}, recorder, now, newRand())
}

func provideAdmission(s *settings.Settings, now timeSource, start startNumber) *admission.Controller {
	return admission.New(now(), admission.Options{Instance: s.Instance, Incarnation: uint64(start)})
}

func provideWaiter(s *settings.Settings, controller *admission.Controller, targetRegistry *targets.Registry, now timeSource) *admissionqueue.Waiter {
	waiter := admissionqueue.New(controller, targetRegistry.Table(), len(s.InstancesOf(s.DataCentre)), now)
	targetRegistry.Subscribe(waiter)
	return waiter
}

func provideDetector() *straggler.Detector { return straggler.New(straggler.Options{}) }

func provideRouter(s *settings.Settings, detector *straggler.Detector) *routing.Router {
	return routing.New(routing.Options{Instances: len(s.InstancesOf(s.DataCentre)), Health: detector})
}

func provideSuspects(s *settings.Settings, peers *peer.Transport, recorder *events.Recorder, now timeSource) *crashsuspects.Table {
	local := otherInstances(s, func(p settings.Peer) bool { return p.DataCentre == s.DataCentre })
	return crashsuspects.New(peers, local, otherInstances(s, func(settings.Peer) bool { return true }), recorder, now)
}

func provideBudget() *retry.Budget { return retry.New(retry.Options{}) }

func providePolicy(s *settings.Settings, targetRegistry *targets.Registry, waiter *admissionqueue.Waiter, router *routing.Router, detector *straggler.Detector,
	budget *retry.Budget, table *crashsuspects.Table, now timeSource) *callpolicy.Policy {
	p := callpolicy.New(targetRegistry.Table(), waiter, router, detector, budget, table, remoteInstances{s}, now)
	targetRegistry.Subscribe(p)
	return p
}

func provideFeasibility(s *settings.Settings, targetRegistry *targets.Registry, peers *peer.Transport, now timeSource) *feasibility.Checker {
	return feasibility.New(s, targetRegistry.Table(), peers, now)
}

// remoteInstances looks up instances of other data centres that accept forwarded requests.
type remoteInstances struct{ settings *settings.Settings }

// Address implements callpolicy.Remote.
func (r remoteInstances) Address(dataCentre string, rng *rand.Rand) (string, bool) {
	var addresses []string
	for _, p := range r.settings.Peers {
		if p.DataCentre == dataCentre && p.HTTPAddress != "" {
			addresses = append(addresses, p.HTTPAddress)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rng.IntN(len(addresses))], true
}

// Neighbours implements callpolicy.Remote.
func (r remoteInstances) Neighbours() []callpolicy.Neighbour {
	var list []callpolicy.Neighbour
	for _, p := range r.settings.Peers {
		if p.DataCentre == r.settings.DataCentre && p.Name != r.settings.Instance && p.HTTPAddress != "" {
			list = append(list, callpolicy.Neighbour{Name: p.Name, Address: p.HTTPAddress})
		}
	}
	return list
}

func provideReleaseNotes(config *replica.Group, checker *feasibility.Checker, view *activeconfig.View, recorder *events.Recorder, now timeSource) *releasenotes.Service {
	return releasenotes.New(machineLog{config, machineNotes}, view, checker, recorder, now)
}

func provideModelCalls(s *settings.Settings, view *activeconfig.View, gate *drain.Gate, p *callpolicy.Policy, client *targetclient.Client,
	table *crashsuspects.Table, recorder *events.Recorder, registry metrics.Registry, now timeSource) *modelcalls.Server {
	return &modelcalls.Server{
		Config: view, Gate: gate, Admission: p, Picker: p, Retries: p, Suspects: table, Client: client, Recorder: recorder,
		RequestTimeout: s.RequestTimeout.Duration, Now: now, Instance: s.Instance, Metrics: registry,
	}
}

// callsLog adapts the group of the calls log, which records non-idempotent calls, to servicecalls.Log.
type callsLog struct {
	*replica.Group
	instance string
}

// Leads implements servicecalls.Log.
func (l callsLog) Leads() bool { return l.Status().Leader == l.instance }

func provideLedger(s *settings.Settings, l logs, start startNumber, recorder *events.Recorder, now timeSource) (*servicecalls.Ledger, error) {
	return servicecalls.NewLedger(callsLog{l.calls, s.Instance}, s.Instance, uint64(start), recorder, now)
}

func provideServiceCalls(s *settings.Settings, view *activeconfig.View, gate *drain.Gate, p *callpolicy.Policy, client *targetclient.Client,
	ledger *servicecalls.Ledger, recorder *events.Recorder, now timeSource) *servicecalls.Server {
	return &servicecalls.Server{
		Config: view, Gate: gate, Policy: p, Client: client, Ledger: ledger, Recorder: recorder,
		RequestTimeout: s.RequestTimeout.Duration, Now: now,
	}
}

func provideTimeline(s *settings.Settings, recorder *events.Recorder, peers *peer.Transport) *timeline.Reader {
	return timeline.New(recorder, peers, otherInstances(s, func(settings.Peer) bool { return true }))
}

func provideIntake(s *settings.Settings, recorder *events.Recorder, registry metrics.Registry) *intake.Pool {
	times := intake.Times{Head: s.Clients.HeadTimeout.Duration, Idle: s.Clients.IdleTimeout.Duration, Stall: s.Clients.StallTimeout.Duration,
		Room: s.Clients.RoomTimeout.Duration}
	return intake.New(intake.Options{Times: times, MemoryMB: s.MemoryMB, MaxFDs: s.MaxFDs, Registry: registry, Acted: func(limit string, clients int64) {
		recorder.Record(events.ClientsBounded, events.Fields{"limit": limit, "clients": clients})
	}})
}

func provideServer(s *settings.Settings, b *backend, clients *intake.Pool) *httpapi.Server {
	return httpapi.New(s, b, clients)
}
