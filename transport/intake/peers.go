package intake

import (
	"math"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// peersShare is the part of the memory of the process that other processes may hold through the peer transport. It is set aside, so
	// that neither they nor callers lose room to each other.
	peersShare = 0.1
	// peerConnsShare is the part of it for connections, so that some is left for messages.
	peerConnsShare = 0.875
	// unprovenShare is the part of it for messages on connections whose handshake is not complete.
	unprovenShare = 0.25
	// largePeersShare is the part of what connections leave that processes which hold more than largePeer each share, so that small
	// messages of others, such as those of the replicated log, pass.
	largePeersShare = 0.75
	largePeer       = 256 << 10
)

// exemptShare is the part of the pool, and of its connections, up to which connections of Pool.ServePeers are not closed for others.
// Their listener has no authentication, so that beyond it they are treated like those of callers.
const exemptShare = 0.125

// Peers counts what other processes hold through the peer transport.
type Peers struct {
	bound    int64
	used     atomic.Int64
	conns    atomic.Int64 // part of used that connections hold
	unproven atomic.Int64
	pool     *Pool
}

func newPeers(p *Pool) *Peers {
	q := &Peers{bound: math.MaxInt64 / 2, pool: p}
	if p.opts.MemoryMB > 0 {
		q.bound = int64(peersShare * float64(p.opts.MemoryMB) * (1 << 20))
	}
	metrics.NewRegisteredFunctionalGauge("intake.peers_held_bytes", p.opts.Registry, q.used.Load)
	return q
}

// Peers returns the count of what other processes hold.
func (p *Pool) Peers() *Peers { return p.peers }

// Connect counts the n bytes of a connection and reports whether there was room.
func (q *Peers) Connect(n int64) bool {
	if q.conns.Add(n) > int64(peerConnsShare*float64(q.bound)) {
		q.conns.Add(-n)
		return false
	}
	if q.used.Add(n) > q.bound {
		q.Disconnect(n)
		return false
	}
	return true
}

// Disconnect gives the bytes of a connection back.
func (q *Peers) Disconnect(n int64) {
	q.conns.Add(-n)
	q.used.Add(-n)
}

// Take counts n more bytes for a process whose messages hold some already, and reports whether there was room. proven is set if its handshake is
// complete.
func (q *Peers) Take(n, held int64, proven bool) bool {
	bound := q.bound
	if held+n > largePeer {
		conns := q.conns.Load()
		bound = conns + int64(largePeersShare*float64(bound-conns))
	}
	if q.used.Add(n) > bound {
		q.used.Add(-n)
		return false
	}
	if !proven && q.unproven.Add(n) > int64(unprovenShare*float64(q.bound)) {
		q.Release(n, false)
		return false
	}
	return true
}

// Prove is called when the handshake of a process that holds n bytes is complete.
func (q *Peers) Prove(n int64) { q.unproven.Add(-n) }

// Release gives bytes back.
func (q *Peers) Release(n int64, proven bool) {
	q.used.Add(-n)
	if !proven {
		q.unproven.Add(-n)
	}
}

// Refused counts a message or a connection for which there was no room.
func (q *Peers) Refused() { q.pool.limits[limitPeers].act() }

// PeerConnections returns how many connections from other processes there are descriptors for, at most limit: for processes that
// open few connections to targets, as many as for clients, otherwise as many as for idle connections to targets.
func (p *Pool) PeerConnections(limit int, fewTargets bool) int {
	if p.opts.MaxFDs == 0 {
		return limit
	}
	if fewTargets {
		return min(limit, p.maxConns)
	}
	return min(limit, p.IdleLimit())
}
