package rotation

import (
	"testing"
	"time"
)

var begin = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a lag that single delays or old ones decide, and against a timer that never fires and seems to be on time.
func TestLagIsTheQuantileOfTheLastSecond(t *testing.T) {
	var w LagWindow
	if _, ok := w.Lag(at(0)); ok {
		t.Fatal("a lag without samples")
	}
	add := func(ms int, delay time.Duration) {
		t.Helper()
		w.Add(at(ms), delay)
	}
	want := func(ms int, lag time.Duration) {
		t.Helper()
		if got, ok := w.Lag(at(ms)); !ok || got != lag {
			t.Errorf("lag %v, %v after %d ms, want %v", got, ok, ms, lag)
		}
	}
	for i := range 50 {
		delay := time.Millisecond
		if i%10 == 0 {
			delay = 300 * time.Millisecond // one in ten
		}
		add(20*i, delay)
	}
	want(990, time.Millisecond)
	add(1000, 300*time.Millisecond)
	for i := range 4 {
		add(1020+20*i, 250*time.Millisecond)
	}
	want(1090, 250*time.Millisecond)
	want(5090, 5090*time.Millisecond-1080*time.Millisecond-calmPeriod)
	// A freeze of 4 s gives one late sample.
	add(5100, 4*time.Second)
	want(5100, 4*time.Second)
	for i := 1; i <= 9; i++ {
		add(5100+20*i, time.Millisecond)
	}
	want(5290, time.Millisecond)
}

// Guards against a timer that wakes a calm process 50 times a second, and against one that measures rarely while delays are long.
func TestTimerIsRareWhileDelaysAreShort(t *testing.T) {
	var w LagWindow
	for _, c := range []struct {
		ms    int
		delay time.Duration
		want  time.Duration
	}{
		{0, 0, calmPeriod}, {100, 19 * time.Millisecond, calmPeriod}, {200, 20 * time.Millisecond, TimerPeriod}, {220, 0, TimerPeriod},
		{1190, 0, TimerPeriod}, {1210, 0, calmPeriod},
	} {
		if w.Add(at(c.ms), c.delay); w.Period(at(c.ms)) != c.want {
			t.Errorf("period %v after a delay of %v at %d ms, want %v", w.Period(at(c.ms)), c.delay, c.ms, c.want)
		}
	}
}

// Guards against a gateway that stays out of rotation for longer than 5 s or for more than 2 s without its leader, that leaves it
// by an answer to an old report, or again within 20 s of its return, and against one that does not return when it has recovered.
func TestMemberReturnsByItself(t *testing.T) {
	order := Answer{Decided: true, Out: true}
	for name, c := range map[string]struct {
		contactUntil int // ms
		lag          func(ms int) time.Duration
		callBackAt   int
		want         Return
	}{
		"after 5 s":        {10_000, func(int) time.Duration { return time.Second }, 0, Return{TimeIsUp, MaxOut}},
		"lag near the end": {10_000, func(int) time.Duration { return 20 * time.Millisecond }, 0, Return{TimeIsUp, MaxOut}},
		"recovered":        {10_000, func(ms int) time.Duration { return time.Duration(1000-ms) * time.Millisecond }, 0, Return{Recovered, 4 * time.Second}},
		"recovered late": {10_000, func(ms int) time.Duration {
			if ms == 3000 {
				return 50 * time.Millisecond
			}
			return 0
		}, 0, Return{TimeIsUp, MaxOut}},
		"leader lost": {1000, func(int) time.Duration { return time.Second }, 0, Return{LeaderLost, 3 * time.Second}},
		"called back": {10_000, func(int) time.Duration { return time.Second }, 1500, Return{CalledBack, 1500 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Member{}
			if left, _ := m.Apply(at(0), at(0), order); !left {
				t.Fatal("an order is not applied")
			}
			returned, returnedAt := (*Return)(nil), 0
			for ms := 20; ms <= 6000; ms += 20 {
				now := at(ms)
				back := m.Step(now, c.lag(ms))
				if back == nil && ms%100 == 0 {
					a := order
					a.Out = ms != c.callBackAt
					if ms <= c.contactUntil {
						_, back = m.Apply(now, now, a)
					}
				}
				if back != nil {
					if returned != nil {
						t.Fatalf("left again %d ms after its return", ms-returnedAt)
					}
					returned, returnedAt = back, ms
				}
				if m.Out(now) != (returned == nil) {
					t.Fatalf("out %v after %d ms, returned %v", m.Out(now), ms, returned)
				}
			}
			if returned == nil || returned.Cause != c.want.Cause || returned.Out < c.want.Out || returned.Out > c.want.Out+40*time.Millisecond {
				t.Fatalf("returned %+v, want %+v", returned, c.want)
			}
			rested := returnedAt + int(RestTime.Milliseconds())
			if left, _ := m.Apply(at(rested-50), at(rested-50), order); left || m.State(at(rested-50)) != Resting {
				t.Error("left rotation again within 20 s of its return")
			}
			if left, _ := m.Apply(at(rested+20), at(rested+20), order); !left || m.State(at(rested+20)) != Out {
				t.Error("an order 20 s after the return is not applied")
			}
		})
	}
	t.Run("old answers", func(t *testing.T) {
		m := &Member{}
		if left, _ := m.Apply(at(2000), at(0), order); left {
			t.Error("left rotation by the answer to a report of 2 s ago")
		}
		if _, _ = m.Apply(at(2000), at(1000), order); !m.Out(at(2990)) || m.Out(at(3000)) {
			t.Error("time without the leader does not count from the report that was answered")
		}
		if _, _ = m.Apply(at(2900), at(2500), order); !m.Out(at(4490)) || m.Out(at(4500)) {
			t.Error("time without the leader does not count from the latest report that was answered")
		}
	})
	t.Run("frozen", func(t *testing.T) {
		m := &Member{}
		_, _ = m.Apply(at(0), at(0), order)
		// Nothing runs for 30 s; the readiness check may be the first to ask.
		if m.Out(at(30_000)) || m.State(at(30_000)) == Out {
			t.Error("out of rotation after a freeze of 30 s")
		}
		if left, _ := m.Apply(at(30_000), at(0), order); left {
			t.Error("the answer that waited during the freeze takes it out")
		}
		if back := m.Step(at(30_000), time.Second); back == nil || back.Out != LeaderTimeout {
			t.Errorf("returned %+v, want after 2 s", back)
		}
		if m.State(at(30_000)) != In {
			t.Error("rests although it returned 28 s ago")
		}
	})
	t.Run("answer without a decision", func(t *testing.T) {
		m := &Member{}
		_, _ = m.Apply(at(0), at(0), order)
		_, _ = m.Apply(at(1900), at(1900), Answer{})
		if m.Out(at(2000)) {
			t.Error("an answer of a build without decisions counts as contact")
		}
	})
}
