package intake

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against settings of times that have no effect.
func TestTimesAreThoseOfTheOptions(t *testing.T) {
	short := Times{Head: 300 * time.Millisecond, Idle: 300 * time.Millisecond, Stall: 300 * time.Millisecond, Room: 100 * time.Millisecond}
	p, address := serve(t, Options{Times: short})
	for name, text := range map[string]string{"head": "POST / HTTP/1.1\r\nHost:", "body": stopped, "idle": "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(began.Add(DefaultStall / 2))
		var timeout net.Error
		if _, err := io.Copy(io.Discard, c); errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("%s: the connection is still open after %s", name, time.Since(began))
		}
		_ = c.Close()
	}
	if n := p.limits[limitStalled].total.Count(); n != 1 {
		t.Errorf("%d clients were closed without progress, want the one that stopped in its body", n)
	}
	full := New(Options{MemoryMB: 1, Times: short})
	c := admitted(t, full)
	full.used.Store(full.budget)
	began := time.Now()
	if err := c.reserve(1 << 10); !errors.Is(err, ErrFull) || time.Since(began) > DefaultRoom/2 {
		t.Errorf("error %v after %s, want a refusal after %s", err, time.Since(began), short.Room)
	}
}

// Guards against defaults that callers within the limits reach: 3 s for a head, 15 s between requests, 2 Mbit/s.
func TestDefaultTimesAreAboveTheLimitsOfCallers(t *testing.T) {
	const bytesPerSecond = 250_000
	times := Times{}.withDefaults()
	if times.Head <= 3*time.Second || times.Idle <= 15*time.Second {
		t.Errorf("times %+v", times)
	}
	c := &Conn{}
	c.enter(phaseBody)
	if start := time.Now(); c.stuck(start, times.Stall) {
		t.Error("a body that has just begun is closed")
	}
	c.received.Add(bytesPerSecond)
	for s := time.Second; s < 17*time.Second; s += time.Second { // 4 MiB
		if c.stuck(time.Now().Add(s), times.Stall) {
			t.Fatalf("a body of a slow link is closed after %s", s)
		}
		c.received.Add(bytesPerSecond)
	}
	c.enter(phaseRunning)
	c.writing.Store(time.Now().UnixNano())
	if c.stuck(time.Now().Add(time.Second*(256<<10)/bytesPerSecond), times.Stall) {
		t.Error("a write of 256 KiB to a slow link is closed")
	}
}
