// Package lossynet simulates a network in virtual time that loses, repeats and delays messages, for tests and
// measurements of packages that do no I/O of their own.
package lossynet

import (
	"math/rand/v2"
	"time"
)

// Network holds the messages in flight. The shares are probabilities between 0 and 1.
type Network struct {
	Random *rand.Rand
	// LossShare is the share of copies that are lost; RepeatShare is the share of messages that are sent twice.
	LossShare, RepeatShare float64
	// MaxDelay bounds the usual delay. LateShare is the share of copies with an additional delay of up to MaxLate.
	MaxDelay, MaxLate time.Duration
	LateShare         float64

	inFlight []message
}

type message struct {
	at      time.Duration
	deliver func()
}

// Post sends a message at a virtual time. The function deliver is called once for each copy that arrives.
func (n *Network) Post(now time.Duration, deliver func()) {
	copies := 1
	if n.chance(n.RepeatShare) {
		copies = 2
	}
	for range copies {
		if n.chance(n.LossShare) {
			continue
		}
		at := now + n.randomDuration(n.MaxDelay)
		if n.chance(n.LateShare) {
			at += n.randomDuration(n.MaxLate)
		}
		n.inFlight = append(n.inFlight, message{at, deliver})
	}
}

// Deliver calls the deliver functions of all messages that are due, in the order of sending. Messages that these
// functions post wait for the next call.
func (n *Network) Deliver(now time.Duration) {
	waiting := n.inFlight
	n.inFlight = nil
	for _, m := range waiting {
		if m.at > now {
			n.inFlight = append(n.inFlight, m)
			continue
		}
		m.deliver()
	}
}

func (n *Network) chance(share float64) bool { return share > 0 && n.Random.Float64() < share }

func (n *Network) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.Random.Int64N(int64(limit)))
}
