package instance

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
)

// Guards against settings of times for clients that do not reach the pool, and against defaults that differ from its own.
func TestClientTimesReachThePool(t *testing.T) {
	if times := provideIntake(&settings.Settings{Clients: settings.DefaultInterfaceTimes()}, nil, metrics.NewRegistry()).Times(); times.Stall != intake.DefaultStall || times.Room != intake.DefaultRoom {
		t.Errorf("times by default %+v", times)
	}
	seconds := func(n time.Duration) settings.Duration { return settings.Duration{Duration: n * time.Second} }
	s := &settings.Settings{Clients: settings.InterfaceTimes{HeadTimeout: seconds(11), IdleTimeout: seconds(12), StallTimeout: seconds(13), RoomTimeout: seconds(14)}}
	want := intake.Times{Head: 11 * time.Second, Idle: 12 * time.Second, Stall: 13 * time.Second, Room: 14 * time.Second}
	if times := provideIntake(s, nil, metrics.NewRegistry()).Times(); times != want {
		t.Errorf("times %+v, want %+v", times, want)
	}
}
