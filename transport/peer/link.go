package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

type pendingNotification struct {
	method   string
	params   json.RawMessage
	queuedAt time.Time
}

// link sends to one peer. It has at most one connection.
type link struct {
	t    *Transport
	peer string

	mu           sync.Mutex
	conn         *outbound
	waitingCalls int           // number of calls that wait for the connection being opened
	dialing      chan struct{} // closed at the end of the running connection attempt; nil without one
	retry        *time.Timer   // set while notifications wait for the next attempt
	retryAt      time.Time
	backoff      time.Duration
	lastErr      error
	// unreachable is true after Unreachable was reported, until the next successful connection.
	unreachable  bool
	pending      []pendingNotification
	pendingBytes int
}

// connect returns the connection and opens one if necessary. During the backoff after a failure it returns that failure
// at once, so that callers can try another peer. The caller must call release on the connection.
func (l *link) connect(ctx context.Context) (*outbound, error) {
	l.mu.Lock()
	if l.conn != nil {
		defer l.mu.Unlock()
		return l.conn.acquire(), nil
	}
	if l.dialing == nil {
		if wait := time.Until(l.retryAt); wait > 0 && l.lastErr != nil {
			defer l.mu.Unlock()
			return nil, errors.WithMessagef(l.lastErr, "peer is unreachable, next connection attempt in %s",
				wait.Round(time.Millisecond))
		}
		l.dialLocked()
	}
	dialing := l.dialing
	l.waitingCalls++
	l.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitingCalls--
	switch {
	case l.conn != nil:
		return l.conn.acquire(), nil
	case ctx.Err() != nil:
		return nil, errors.Wrap(ctx.Err(), "no connection before the deadline")
	case l.lastErr == nil:
		return nil, errors.New("connection was closed before the call could use it")
	}
	return nil, l.lastErr
}

// notify sends a notification, or queues it until a connection is open.
func (l *link) notify(method string, params json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.notify(method, params)
		return
	}
	l.pending = append(l.pending, pendingNotification{method, params, time.Now()})
	l.pendingBytes += len(params)
	for len(l.pending) > l.t.opts.QueueLength || l.pendingBytes > l.t.opts.QueueBytes ||
		time.Since(l.pending[0].queuedAt) > maxPendingAge {
		l.dropPendingLocked()
	}
	l.ensureConnectingLocked()
}

func (l *link) dropPendingLocked() {
	l.pendingBytes -= len(l.pending[0].params)
	l.pending[0].params = nil
	l.pending = l.pending[1:]
	l.t.metrics.dropped.Inc(1)
}

// ensureConnectingLocked starts or schedules a connection attempt unless there is one already.
func (l *link) ensureConnectingLocked() {
	if l.dialing != nil || l.retry != nil {
		return
	}
	wait := time.Until(l.retryAt)
	if wait <= 0 {
		l.dialLocked()
		return
	}
	l.retry = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.retry = nil
		if l.conn == nil && l.dialing == nil && len(l.pending) > 0 {
			l.dialLocked()
		}
	})
}

func (l *link) dialLocked() {
	done := make(chan struct{})
	l.dialing = done
	if !l.t.startGoroutine(func() { l.dial(done) }) {
		l.lastErr, l.dialing = errors.WithStack(ErrClosed), nil
		close(done)
	}
}

// dial makes one connection attempt and, if it succeeds, monitors the connection until it ends.
func (l *link) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(l.t.ctx, l.t.opts.DialTimeout)
	out, err := l.open(ctx)
	cancel()
	l.mu.Lock()
	l.dialing = nil
	if err != nil {
		l.recordFailureLocked(err)
		if len(l.pending) > 0 {
			l.ensureConnectingLocked()
		}
		report := !l.unreachable
		l.unreachable = true
		l.mu.Unlock()
		close(done)
		if report {
			l.t.opts.OnEvent(Event{Kind: Unreachable, Peer: l.peer, Err: err})
		}
		return
	}
	l.conn, l.lastErr = out, nil
	report := l.unreachable
	l.unreachable = false
	for len(l.pending) > 0 && time.Since(l.pending[0].queuedAt) > maxPendingAge {
		l.dropPendingLocked()
	}
	for _, p := range l.pending {
		out.notify(p.method, p.params)
	}
	l.pending, l.pendingBytes = nil, 0
	l.mu.Unlock()
	close(done)
	if report {
		l.t.opts.OnEvent(Event{Kind: Reachable, Peer: l.peer})
	}
	l.monitor(out)
}

// recordFailureLocked stores the error and doubles the backoff, with jitter so that the peers of a restarted instance
// do not all reconnect at the same time.
func (l *link) recordFailureLocked(err error) {
	l.lastErr = err
	l.backoff = min(max(2*l.backoff, l.t.opts.MinBackoff), l.t.opts.MaxBackoff)
	l.retryAt = time.Now().Add(l.backoff/2 + rand.N(l.backoff/2+1))
}

// open connects to the peer and performs the TLS and protocol handshakes.
func (l *link) open(ctx context.Context) (*outbound, error) {
	address, ok := l.t.opts.Resolve(l.peer)
	if !ok {
		return nil, errors.Errorf("address of peer %q is not known", l.peer)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot connect to %s", l.peer)
	}
	if l.t.opts.TLS != nil {
		if conn, err = l.t.opts.TLS.client(ctx, conn, l.peer); err != nil {
			return nil, errors.Wrapf(err, "TLS with %s", l.peer)
		}
	}
	out := &outbound{t: l.t, peer: l.peer, openedAt: time.Now(), stream: newStream(l.t, conn, nil)}
	out.usedAt.Store(time.Now().UnixNano())
	out.rpc = jsonrpc2.NewConn(context.Background(), out.stream, out, jsonrpc2.OnSend(out.stream.onSend),
		jsonrpc2.SetLogger(debugLogger{l.t.opts.Log}))
	hello := peerapi.Hello{
		Cluster: l.t.opts.Cluster, Sender: l.t.opts.Self, Incarnation: l.t.opts.Incarnation, Receiver: l.peer,
		Version: peerapi.Version,
	}
	var response peerapi.HelloResponse
	err = out.rpc.Call(ctx, peerapi.MethodHello, hello, &response, l.t.envelope())
	var remote *jsonrpc2.Error
	switch {
	case errors.As(err, &remote):
		err = errors.WithStack(&RemoteError{Code: remote.Code, Message: remote.Message})
	case err != nil:
		err = out.withCloseReason(err)
	case response.Receiver != l.peer:
		err = errors.Errorf("%s identified itself as %q", address, response.Receiver)
	}
	if err != nil {
		_ = out.rpc.Close()
		return nil, errors.WithMessagef(err, "handshake with %s", l.peer)
	}
	return out, nil
}

// monitor runs until the connection ends. It pings the peer, and closes the connection when it is idle or the peer does
// not respond.
func (l *link) monitor(out *outbound) {
	ticker := time.NewTicker(l.t.opts.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-out.rpc.DisconnectNotify():
			l.connectionLost(out)
			return
		case <-l.t.ctx.Done():
			_ = out.rpc.Close()
			return
		case <-ticker.C:
		}
		if l.closeIdle(out) {
			return
		}
		if !out.silentFor(l.t.opts.PingInterval) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), l.t.opts.PingTimeout)
		err := out.rpc.Call(ctx, peerapi.MethodPing, nil, nil, l.t.envelope())
		cancel()
		if err != nil {
			out.setCloseReason("no response to a ping within " + l.t.opts.PingTimeout.String())
			_ = out.rpc.Close()
		}
	}
}

// closeIdle closes a connection that has been unused for IdleTimeout and reports whether it did. It holds the lock
// under which calls obtain the connection, so that no call gets a closed one.
func (l *link) closeIdle(out *outbound) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A call that waited for this connection may not have continued yet; until then the connection is not idle.
	if l.waitingCalls > 0 || out.idleFor() <= l.t.opts.IdleTimeout {
		return false
	}
	if l.conn == out {
		l.conn = nil
	}
	_ = out.rpc.Close()
	return true
}

// connectionLost removes a connection that has ended. A connection that ends soon after it was opened does not reset
// the backoff, so that a peer which accepts and closes connections is not dialled in a tight loop.
func (l *link) connectionLost(out *outbound) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == out {
		l.conn = nil
	}
	if time.Since(out.openedAt) > l.t.opts.MaxBackoff {
		l.backoff = 0
	}
	l.recordFailureLocked(out.withCloseReason(jsonrpc2.ErrClosed))
	if len(l.pending) > 0 {
		l.ensureConnectingLocked()
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retry != nil {
		l.retry.Stop()
	}
	if l.conn != nil {
		_ = l.conn.rpc.Close()
	}
}

// outbound is one connection that this instance opened.
type outbound struct {
	t        *Transport
	peer     string
	openedAt time.Time
	stream   *stream
	rpc      *jsonrpc2.Conn

	usedAt   atomic.Int64 // UnixNano
	inFlight atomic.Int64
	timeouts atomic.Int64

	mu          sync.Mutex
	closeReason string
}

// Handle implements jsonrpc2.Handler. The accepting side may only send the reason why it closes the connection.
func (o *outbound) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == peerapi.MethodClosing && req.Params != nil {
		var c peerapi.Closing
		if json.Unmarshal(*req.Params, &c) == nil {
			o.setCloseReason("peer closed the connection: " + c.Reason)
		}
	} else {
		o.setCloseReason("peer sent request " + req.Method +
			", but only the side that opened the connection may send requests")
	}
	_ = rpc.Close()
}

func (o *outbound) acquire() *outbound {
	o.inFlight.Add(1)
	o.usedAt.Store(time.Now().UnixNano())
	return o
}

func (o *outbound) release() {
	o.usedAt.Store(time.Now().UnixNano())
	o.inFlight.Add(-1)
}

func (o *outbound) idleFor() time.Duration {
	if o.inFlight.Load() > 0 {
		return 0
	}
	return time.Since(time.Unix(0, o.usedAt.Load()))
}

func (o *outbound) silentFor(d time.Duration) bool {
	o.stream.mu.Lock()
	defer o.stream.mu.Unlock()
	return time.Since(o.stream.receivedAt) >= d
}

func (o *outbound) notify(method string, params json.RawMessage) {
	o.usedAt.Store(time.Now().UnixNano())
	// An error means that the connection has ended or the queue is full of calls; the notification is lost either way.
	_ = o.rpc.Notify(context.Background(), method, params, o.t.envelope())
}

// countTimeout counts a call without a response and closes the connection after maxTimedOutCalls of them.
func (o *outbound) countTimeout() {
	if o.timeouts.Add(1) == maxTimedOutCalls {
		o.setCloseReason("too many calls timed out without a response")
		_ = o.rpc.Close()
	}
}

func (o *outbound) setCloseReason(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closeReason == "" {
		o.closeReason = reason
	}
}

// withCloseReason replaces the library's error for a closed connection by the reason why the connection ended.
func (o *outbound) withCloseReason(err error) error {
	if !errors.Is(err, jsonrpc2.ErrClosed) {
		return err
	}
	o.mu.Lock()
	reason := o.closeReason
	o.mu.Unlock()
	if reason != "" {
		return errors.Errorf("connection to %s ended: %s", o.peer, reason)
	}
	o.stream.mu.Lock()
	readErr := o.stream.readErr
	o.stream.mu.Unlock()
	if readErr != nil {
		return errors.Wrapf(readErr, "connection to %s ended", o.peer)
	}
	return errors.Errorf("connection to %s ended", o.peer)
}
