//go:build wireinject

package fleet

import (
	"github.com/google/wire"

	"github.com/tarragonhoist/tarragonhoist/settings"
)

var commonProviders = wire.NewSet(provideIncarnation, provideRegistry, provideSink, provideRecorder, provideView, providePeers,
	provideWatcher, provideIntake, wire.Struct(new(process), "*"))

func buildGateway(node *settings.Node, adapter *PlatformAdapter) (*gatewayProcess, error) {
	panic(wire.Build(commonProviders, provideGateway, wire.Value(watchAll(false)), wire.Struct(new(gatewayProcess), "*")))
}

func buildControl(node *settings.Node, adapter *PlatformAdapter) (*controlProcess, error) {
	panic(wire.Build(commonProviders, provideInstance, wire.Value(watchAll(true)), wire.Struct(new(controlProcess), "*")))
}
