package instance

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/google/wire"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/coordination/retry"
	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
	"github.com/tarragonhoist/tarragonhoist/coordination/straggler"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/admit"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/inforce"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/instance/notes"
	"github.com/tarragonhoist/tarragonhoist/instance/policy"
	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/instance/targets"
	"github.com/tarragonhoist/tarragonhoist/instance/timeline"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// timeSource gives the time. It is a type of its own for the wiring.
type timeSource func() time.Time

// incarnation identifies this start of the process.
type incarnation uint64

var providers = wire.NewSet(
	provideClock, provideIncarnation, provideLog, metrics.NewRegistry, provideRecorder, provideGate, providePeers,
	provideView, provideConfig, provideGroups, provideTargets, provideAdmission, provideWaiter, provideDetector,
	provideRouter, provideBudget, providePolicy, provideDesk, provideModelCalls, provideTimeline, targetclient.New,
	wire.Struct(new(statusReader), "*"), wire.Struct(new(backend), "*"), provideServer, wire.Struct(new(Instance), "*"),
)

func provideClock() timeSource { return time.Now }

// provideIncarnation uses the start time, which is larger at each start of one machine.
func provideIncarnation(now timeSource) incarnation { return incarnation(now().UnixNano()) }

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

func provideView(recorder *events.Recorder) *inforce.View { return inforce.New(recorder) }

func provideConfig(s *settings.Settings, peers *peer.Transport, view *inforce.View, recorder *events.Recorder) (*replica.Group, error) {
	return openConfig(s, peers, view, recorder)
}

func provideGroups(config *replica.Group) replicalink.Groups {
	return replicalink.Groups{groupConfig: config}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func provideTargets(s *settings.Settings, peers *peer.Transport, recorder *events.Recorder, now timeSource) *targets.Keeper {
	options := targets.Options{DataCentre: s.DataCentre, Lease: s.TargetLease.Duration}
	for _, p := range s.Peers {
		switch {
		case p.Name == s.Instance:
		case p.DataCentre == s.DataCentre:
			options.Local = append(options.Local, p.Name)
		default:
			options.Remote = append(options.Remote, p.Name)
		}
	}
	return targets.New(options, peers, recorder, now, newRand())
}

func provideAdmission(s *settings.Settings, now timeSource, start incarnation) *admission.Controller {
	return admission.New(now(), admission.Options{Instance: s.Instance, Incarnation: uint64(start)})
}

func provideWaiter(s *settings.Settings, controller *admission.Controller, keeper *targets.Keeper, now timeSource) *admit.Waiter {
	return admit.New(controller, keeper.Table(), len(s.Local(s.DataCentre)), now)
}

func provideDetector() *straggler.Detector { return straggler.New(straggler.Options{}) }

func provideRouter(s *settings.Settings, detector *straggler.Detector) *routing.Router {
	return routing.New(routing.Options{Instances: len(s.Local(s.DataCentre)), Health: detector})
}

func provideBudget() *retry.Budget { return retry.New(retry.Options{}) }

func providePolicy(keeper *targets.Keeper, waiter *admit.Waiter, router *routing.Router, detector *straggler.Detector,
	budget *retry.Budget, now timeSource) *policy.Policy {
	p := policy.New(keeper.Table(), waiter, router, detector, budget, now)
	keeper.Subscribe(p)
	return p
}

// noteLog puts release notes into the config log.
type noteLog struct{ group *replica.Group }

func provideDesk(config *replica.Group, view *inforce.View, recorder *events.Recorder, now timeSource) *notes.Desk {
	return notes.New(noteLog{config}, view, nil, recorder, now)
}

func provideModelCalls(s *settings.Settings, view *inforce.View, gate *drain.Gate, p *policy.Policy, client *targetclient.Client,
	recorder *events.Recorder, now timeSource) *modelcalls.Server {
	return &modelcalls.Server{
		InForce: view, Gate: gate, Admission: p, Picker: p, Retries: p, Client: client, Recorder: recorder,
		RequestTimeout: s.RequestTimeout.Duration, Now: now,
	}
}

func provideTimeline(s *settings.Settings, recorder *events.Recorder, peers *peer.Transport) *timeline.Reader {
	var others []string
	for _, p := range s.Peers {
		if p.Name != s.Instance {
			others = append(others, p.Name)
		}
	}
	return timeline.New(recorder, peers, others)
}

func provideServer(s *settings.Settings, b *backend) *httpapi.Server { return httpapi.New(s, b) }
