package peer

import (
	"time"

	"golang.org/x/time/rate"
)

// maxUrgentDebt bounds how long bulk messages wait for urgent ones that exceeded the limit. Without it, a burst of
// urgent messages could hold back bulk messages for any length of time. It is longer than the 37 s which one bulk frame
// of the largest size takes at the default limit, so that such a frame does not hide urgent ones from the account.
const maxUrgentDebt = time.Minute

// byteLimit is the byte limit shared by all links of an instance.
type byteLimit struct {
	limiter   *rate.Limiter
	overLimit func()
}

func newByteLimit(bytesPerSecond, burstBytes int, overLimit func()) *byteLimit {
	return &byteLimit{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes), overLimit: overLimit}
}

// reserve books a bulk frame. Cancel the reservation when the frame is not sent, so that other links get its bytes.
func (l *byteLimit) reserve(n int) *rate.Reservation { return l.limiter.ReserveN(time.Now(), n) }

// charge books an urgent frame, which does not wait.
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
