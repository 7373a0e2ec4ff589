// Package lossynet delivers messages in virtual time with losses, repeats and delays, for tests and measurements of the
// decision packages.
package lossynet

import (
	"math/rand/v2"
	"time"
)

// Network holds the messages under way. The shares are probabilities for each message.
type Network struct {
	Random *rand.Rand
	// LossShare of the copies never arrives; RepeatShare of the messages are sent twice.
	LossShare, RepeatShare float64
	// MaxDelay bounds the usual delay. LateShare of the copies takes up to MaxLate longer.
	MaxDelay, MaxLate time.Duration
	LateShare         float64

	queue []message
}

type message struct {
	at      time.Duration
	deliver func()
}

// Post sends a message at a moment of virtual time. Its delivery runs once for each copy that arrives.
func (n *Network) Post(now time.Duration, deliver func()) {
	copies := 1
	if n.chance(n.RepeatShare) {
		copies = 2
	}
	for range copies {
		if n.chance(n.LossShare) {
			continue
		}
		at := now + n.upTo(n.MaxDelay)
		if n.chance(n.LateShare) {
			at += n.upTo(n.MaxLate)
		}
		n.queue = append(n.queue, message{at, deliver})
	}
}

// Deliver runs what is due, in the order of sending. Messages that it posts wait for the next call.
func (n *Network) Deliver(now time.Duration) {
	waiting := n.queue
	n.queue = nil
	for _, m := range waiting {
		if m.at > now {
			n.queue = append(n.queue, m)
			continue
		}
		m.deliver()
	}
}

func (n *Network) chance(share float64) bool { return share > 0 && n.Random.Float64() < share }

func (n *Network) upTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.Random.Int64N(int64(limit)))
}
