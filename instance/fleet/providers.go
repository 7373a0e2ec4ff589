package fleet

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/quota"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/controlinstance"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/instance/gateway"
	"github.com/tarragonhoist/tarragonhoist/instance/logsink"
	"github.com/tarragonhoist/tarragonhoist/instance/processlimit"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

// incarnation identifies this start of the process. Watches use it as their epoch.
type incarnation uint64

// watchAll makes a process watch all control instances instead of a few.
type watchAll bool

type gatewayProcess struct {
	process *process
	gateway *gateway.Gateway
}

type controlProcess struct {
	process  *process
	instance *controlinstance.Instance
}

func provideIncarnation() incarnation { return incarnation(time.Now().UnixNano()) }

func provideRegistry() metrics.Registry { return metrics.NewRegistry() }

func provideSink() *logsink.Sink { return logsink.New(os.Stdout, logsink.DefaultLinesPerSecond) }

func provideRecorder(node *settings.Node, sink *logsink.Sink, registry metrics.Registry) (*events.Recorder, error) {
	log := logrus.New()
	log.SetOutput(sink)
	level, err := logrus.ParseLevel(node.Log.Level)
	if err != nil {
		return nil, errors.Wrap(err, "parse setting log.level")
	}
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	recorder := events.NewBoundedRecorder(log, node.Name, node.DataCentre, time.Now, maxKeptEvents)
	recorder.OnEvent(func(d events.Definition) { metrics.GetOrRegisterCounter("events."+d.Name, registry).Inc(1) })
	return recorder, nil
}

const (
	// lateDeparture is the delay from which a departure is logged as late: half of the shortest time within which the users' sites want
	// targets that leave to get nothing more.
	lateDeparture = time.Second
	// departureSamples and departureSampleAlpha keep the histogram of delays small and weighted to the last minutes.
	departureSamples     = 128
	departureSampleAlpha = 0.015
)

func provideView(node *settings.Node, adapter *PlatformAdapter, recorder *events.Recorder, registry metrics.Registry) *fleetview.View {
	view := fleetview.New(adapter.DecodeConfig, node.DataCentre, node.SeedNames())
	delays := metrics.GetOrRegisterHistogram("view.departure_delay_ms", registry, metrics.NewExpDecaySample(departureSamples, departureSampleAlpha))
	view.OnDeparture(func(target roster.Key, delay time.Duration) {
		delays.Update(delay.Milliseconds())
		if delay >= lateDeparture {
			recorder.Record(events.DepartureLate, events.Fields{"target": target.ID, "born": target.StartedAtMs, "delay_ms": delay.Milliseconds()})
		}
	})
	return view
}

func providePeers(node *settings.Node, processIncarnation incarnation, clients *intake.Pool, registry metrics.Registry, recorder *events.Recorder) (*peer.Transport, error) {
	return peer.New(peer.Options{
		Memory: clients.Peers(), MaxConnections: clients.PeerConnections(peer.DefaultMaxConnections, true),
		Cluster: clusterName, Self: node.PeerName(), Incarnation: uint64(processIncarnation),
		Resolve:        func(name string) (string, bool) { return name, isAddress(name) },
		BytesPerSecond: peerBytesPerSecond, DialTimeout: peerDialTimeout, PingInterval: peerPingInterval, PingTimeout: peerPingTimeout,
		MaxBackoff: peerMaxBackoff, IncarnationRetention: incarnationRetention, Registry: registry,
		OnEvent: func(e peer.Event) { recordPeerEvent(recorder, e) },
	})
}

func provideWatcher(view *fleetview.View, peers *peer.Transport, node *settings.Node, all watchAll, recorder *events.Recorder) *fleetview.Watcher {
	return fleetview.NewWatcher(view, peers, node.PeerName(), bool(all), func(problem string, err error) {
		recorder.Record(events.InternalError, events.Fields{"problem": problem, "error": err.Error()})
	})
}

func provideIntake(node *settings.Node, recorder *events.Recorder, registry metrics.Registry) *intake.Pool {
	times := intake.Times{Head: node.Clients.HeadTimeout.Duration, Idle: node.Clients.IdleTimeout.Duration, Stall: node.Clients.StallTimeout.Duration,
		Room: node.Clients.RoomTimeout.Duration}
	return intake.New(intake.Options{Times: times, MemoryMB: node.MemoryMB, MaxFDs: processlimit.OpenFiles(node.MaxFDs), Registry: registry, Acted: func(limit string, clients int64) {
		recorder.Record(events.ClientsBounded, events.Fields{"limit": limit, "clients": clients})
	}})
}

func provideGateway(clients *intake.Pool, node *settings.Node, adapter *PlatformAdapter, view *fleetview.View, watcher *fleetview.Watcher, peers *peer.Transport,
	recorder *events.Recorder, registry metrics.Registry) *gateway.Gateway {
	dial := adapter.DialTarget
	if dial == nil {
		dial = upstream.Dialer(upstream.DefaultConnectTimeout)
	}
	options := gateway.Options{
		Name: node.PeerName(), PeerAddress: node.PeerName(), DataCentre: node.DataCentre, CallerAddress: node.ListenCallers, ReadinessAddress: node.ListenReady,
		ReadyPath: adapter.ReadyPath, Headers: adapter.Headers, ReadPrompt: adapter.ReadPrompt, CountTokens: adapter.CountTokens, GracePeriod: node.Grace(),
		Intake:     clients,
		DialTarget: dial, SlowStart: node.SlowStart,
		Budget: dispatch.BudgetLimits{Ratio: node.RepeatRatio, Slack: node.RepeatSlack, Share: repeatBudgetShare,
			Window: time.Duration(node.RepeatWindowS * float64(time.Second))},
		Quota: quotaOptions(node),
	}
	return gateway.New(options, view, watcher, peers, recorder, registry, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

func provideInstance(clients *intake.Pool, node *settings.Node, adapter *PlatformAdapter, processIncarnation incarnation, view *fleetview.View, watcher *fleetview.Watcher,
	peers *peer.Transport, recorder *events.Recorder, registry metrics.Registry) (*controlinstance.Instance, error) {
	options := controlinstance.Options{
		Name: node.PeerName(), DataCentre: node.DataCentre, ControlListen: node.ListenControl, DataDir: node.DataFolder,
		SlowStart: node.SlowStart, Seeds: node.SeedNames(), FirstStart: node.FirstStart, ExclusionPeriod: time.Duration(node.LeaseMs) * time.Millisecond,
		Quota:  quotaOptions(node),
		Intake: clients,
	}
	orders := adapter.NewOrderClient(upstream.New(upstream.Dialer(orderConnectTimeout), registry))
	return controlinstance.New(options, uint64(processIncarnation), view, watcher, peers, adapter.DecodeConfig, orders, recorder, registry)
}

func quotaOptions(node *settings.Node) quota.Options {
	return quota.Options{Window: time.Duration(node.QuotaWindowS * float64(time.Second)), Excess: node.QuotaExcess, Slack: node.QuotaSlack,
		Interval: fleetapi.ReportInterval}
}
