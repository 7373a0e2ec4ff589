package rotation

import (
	"context"
	"slices"
	"time"
)

const (
	// lagPeriod is the time over which the lag is measured.
	lagPeriod = time.Second
	// calmPeriod is the period of the timer while the delays are short, since each wake-up costs an idle process 0.11 to 0.14 ms on a
	// busy machine. It is no multiple of 100 ms, the period in which Linux bounds the share of a CPU, so that the samples fall on all
	// parts of that.
	calmPeriod = 190 * time.Millisecond
	// maxSamples is above the number of samples within lagPeriod.
	maxSamples = 64
)

// LagWindow holds the delays of the last second.
type LagWindow struct {
	samples [maxSamples]sample
	next    int
	lateAt  time.Time // of the latest delay that is not short
}

type sample struct {
	at    time.Time
	delay time.Duration
}

// MeasureLag calls sample with the delay of each timer until ctx ends. sample returns the period of the next one, see LagWindow.Period.
func MeasureLag(ctx context.Context, sample func(now time.Time, delay time.Duration) time.Duration) {
	period := TimerPeriod
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		due := time.Now().Add(period)
		timer.Reset(period)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		period = sample(now, now.Sub(due))
	}
}

// Add records that a timer fired at a time, with a delay.
func (w *LagWindow) Add(now time.Time, delay time.Duration) {
	w.samples[w.next] = sample{now, max(delay, 0)}
	w.next = (w.next + 1) % maxSamples
	if delay >= recoveredLag {
		w.lateAt = now
	}
}

// Period returns the period of the next timer: TimerPeriod, or a longer one while all delays of the last second were short.
func (w *LagWindow) Period(now time.Time) time.Duration {
	if !w.lateAt.IsZero() && now.Sub(w.lateAt) < lagPeriod {
		return TimerPeriod
	}
	return calmPeriod
}

// Lag returns the 0.9 quantile of the delays of the last second. ok is false before the first sample.
func (w *LagWindow) Lag(now time.Time) (lag time.Duration, ok bool) {
	var delays [maxSamples]time.Duration
	n := 0
	for i := range w.samples {
		if s := &w.samples[i]; !s.at.IsZero() && now.Sub(s.at) < lagPeriod {
			delays[n] = s.delay
			n++
		}
	}
	if n == 0 {
		// The timer is overdue for the whole period, unless it was never started.
		last := w.samples[(w.next+maxSamples-1)%maxSamples].at
		return max(now.Sub(last)-calmPeriod, 0), !last.IsZero()
	}
	slices.Sort(delays[:n])
	return delays[(9*n+9)/10-1], true // the smallest delay that 0.9 of them do not exceed
}
