package peer

import (
	"time"

	"golang.org/x/time/rate"
)

// maxUrgentDebt bounds how far urgent messages may overdraw the token bucket, given as the time until it is refilled.
// Without it, a burst of urgent messages could block bulk messages indefinitely. It is longer than the 37 s that one
// bulk frame of the largest size takes at the default limit, so that urgent messages are still counted while such a
// frame waits.
const maxUrgentDebt = time.Minute

// rateLimiter is the token bucket for sent bytes that all links of an instance share.
type rateLimiter struct {
	bucket      *rate.Limiter
	onOverLimit func()
}

func newRateLimiter(bytesPerSecond, burstBytes int, overLimit func()) *rateLimiter {
	return &rateLimiter{bucket: rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes), onOverLimit: overLimit}
}

// reserve takes the tokens of a bulk frame, which must wait for the delay of the reservation. The caller cancels the
// reservation when the frame is not sent, so that other links can use the tokens.
func (l *rateLimiter) reserve(n int) *rate.Reservation { return l.bucket.ReserveN(time.Now(), n) }

// charge takes the tokens of an urgent frame, which is sent without waiting.
func (l *rateLimiter) charge(n int) {
	now := time.Now()
	r := l.bucket.ReserveN(now, n)
	if r.DelayFrom(now) > 0 {
		l.onOverLimit()
	}
	if r.DelayFrom(now) > maxUrgentDebt {
		r.CancelAt(now)
	}
}
