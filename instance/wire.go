//go:build wireinject

package instance

import (
	"github.com/google/wire"

	"github.com/tarragonhoist/tarragonhoist/settings"
)

func build(s *settings.Settings) (*Instance, error) {
	wire.Build(providers)
	return nil, nil
}
