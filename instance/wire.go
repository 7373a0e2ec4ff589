//go:build wireinject

package instance

import (
	"github.com/google/wire"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

var providers = wire.NewSet(
	provideClock, provideStartNumber, provideLog, metrics.NewRegistry, provideRecorder, provideGate, providePeers,
	provideView, provideLedgerMachine, provideElectors, provideLease, provideDirector, provideUsage, provideLogs, provideGroups, provideConfig, provideTargets, provideAdmission, provideWaiter, provideDetector,
	provideRouter, provideBudget, provideSuspects, providePolicy, provideFeasibility, provideReleaseNotes, provideModelCalls, provideLedger, provideServiceCalls, provideTimeline, targetclient.New,
	wire.Struct(new(statusReader), "*"), wire.Struct(new(backend), "*"), provideIntake, provideServer, wire.Struct(new(Instance), "*"),
)

func build(s *settings.Settings) (*Instance, error) {
	wire.Build(providers)
	return nil, nil
}
