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

// byteLimit is the token bucket for sent bytes that all links of an instance share.
type byteLimit struct {
	limiter   *rate.Limiter
	overLimit func()
}

func newByteLimit(bytesPerSecond, burstBytes int, overLimit func()) *byteLimit {
	return &byteLimit{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes), overLimit: overLimit}
}

// reserve takes the tokens of a bulk frame, which must wait for the delay of the reservation. The caller cancels the
// reservation when the frame is not sent, so that other links can use the tokens.
func (l *byteLimit) reserve(n int) *rate.Reservation { return l.limiter.ReserveN(time.Now(), n) }

// charge takes the tokens of an urgent frame, which is sent without waiting.
func (l *byteLimit) charge(n int) {
	now := time.Now()
	r := l.limiter.ReserveN(now, n)
	if r.DelayFrom(now) > 0 {
		l.overLimit()
	}
	if r.DelayFrom(now) > maxUrgentDebt {
		r.CancelAt(now)
	}
}
