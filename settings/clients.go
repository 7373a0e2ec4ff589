package settings

import (
	"cmp"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
)

// ClientTimes are the times after which clients without progress are closed or refused, in the table [clients].
type ClientTimes struct {
	// HeadTimeout is the time for the head of a request.
	HeadTimeout Duration `toml:"head_timeout"`
	// IdleTimeout is the time between requests of a connection.
	IdleTimeout Duration `toml:"idle_timeout"`
	// StallTimeout is the time in which 1 KiB of a body has to arrive, and one write of a response has to be taken.
	StallTimeout Duration `toml:"stall_timeout"`
	// RoomTimeout is the time for which a client waits for memory before it is refused.
	RoomTimeout Duration `toml:"room_timeout"`
}

// InterfaceTimes are the times of the product's own interface.
type InterfaceTimes struct {
	HeadTimeout  Duration `toml:"head_timeout"`
	IdleTimeout  Duration `toml:"idle_timeout"`
	StallTimeout Duration `toml:"stall_timeout"`
	RoomTimeout  Duration `toml:"room_timeout"`
	// BodyTimeout is the time for the whole body of a request.
	BodyTimeout Duration `toml:"body_timeout"`
	// EventTimeout is the time in which an event of a stream has to be taken.
	EventTimeout Duration `toml:"event_timeout"`
}

// common returns the times that gateways and control instances have too.
func (t *InterfaceTimes) common() ClientTimes {
	return ClientTimes{t.HeadTimeout, t.IdleTimeout, t.StallTimeout, t.RoomTimeout}
}

// DefaultClientTimes returns the defaults of gateways and control instances. Each is well above its smallest value.
func DefaultClientTimes() ClientTimes {
	return ClientTimes{Duration{10 * time.Second}, Duration{time.Minute}, Duration{20 * time.Second}, Duration{4 * time.Second}}
}

// DefaultInterfaceTimes returns the defaults of the product's own interface.
func DefaultInterfaceTimes() InterfaceTimes {
	return InterfaceTimes{Duration{5 * time.Second}, Duration{2 * time.Minute}, Duration{20 * time.Second}, Duration{4 * time.Second},
		Duration{20 * time.Second}, Duration{10 * time.Second}}
}

// WithDefaults returns the times with the defaults in place of zero values.
func (t InterfaceTimes) WithDefaults() InterfaceTimes {
	d := DefaultInterfaceTimes()
	return InterfaceTimes{cmp.Or(t.HeadTimeout, d.HeadTimeout), cmp.Or(t.IdleTimeout, d.IdleTimeout), cmp.Or(t.StallTimeout, d.StallTimeout),
		cmp.Or(t.RoomTimeout, d.RoomTimeout), cmp.Or(t.BodyTimeout, d.BodyTimeout), cmp.Or(t.EventTimeout, d.EventTimeout)}
}

// Smallest values. Callers may take 3 s for a head and 15 s between requests, and their links carry 2 Mbit/s: 1 s for a write of 256 KiB,
// 17 s for a body of 4 MiB. An event is much smaller.
const (
	minHeadTimeout  = 3 * time.Second
	minIdleTimeout  = 15 * time.Second
	minStallTimeout = 2 * time.Second
	minRoomTimeout  = time.Second
	minBodyTimeout  = 17 * time.Second
	minEventTimeout = 2 * time.Second
)

func (t *ClientTimes) check(f *tomlfile.File) {
	checkAtLeast(f, "clients.head_timeout", t.HeadTimeout, minHeadTimeout)
	checkAtLeast(f, "clients.idle_timeout", t.IdleTimeout, minIdleTimeout)
	checkAtLeast(f, "clients.stall_timeout", t.StallTimeout, minStallTimeout)
	checkAtLeast(f, "clients.room_timeout", t.RoomTimeout, minRoomTimeout)
}

func (t *InterfaceTimes) check(f *tomlfile.File) {
	common := t.common()
	common.check(f)
	checkAtLeast(f, "clients.body_timeout", t.BodyTimeout, minBodyTimeout)
	checkAtLeast(f, "clients.event_timeout", t.EventTimeout, minEventTimeout)
}

func checkAtLeast(f *tomlfile.File, key string, d Duration, smallest time.Duration) {
	if d.Duration < smallest {
		f.Report(key, "must be at least %s, which clients within the limits may take", smallest)
	}
}
