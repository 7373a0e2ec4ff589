// Package peer implements the transport between instances: JSON-RPC 2.0 over TCP with bounded frames, one connection
// per pair and direction, a handshake that rejects unknown instances, a rate limit on the sent bytes that all links
// share, and optional mutual TLS.
//
// Only the side that opened a connection sends requests on it.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/time/rate"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// Defaults of Options.
const (
	DefaultBytesPerSecond  = 28_000
	DefaultBurstBytes      = 4 << 20
	DefaultQueueLength     = 256
	DefaultQueueBytes      = 2 << 20
	DefaultMaxInboundCalls = 64
	DefaultMaxConnections  = 1024
	DefaultCallTimeout     = 5 * time.Second
	DefaultDialTimeout     = 3 * time.Second
	DefaultWriteTimeout    = 10 * time.Second
	DefaultIdleTimeout     = time.Minute
	DefaultPingInterval    = 5 * time.Second
	DefaultPingTimeout     = 5 * time.Second
	DefaultMinBackoff      = 50 * time.Millisecond
	DefaultMaxBackoff      = time.Second
	// DefaultIncarnationRetention is finite, because an instance without a disk takes its incarnation from the clock
	// and could otherwise never reconnect after the clock was set back.
	DefaultIncarnationRetention = 10 * time.Minute
)

const (
	// maxHandshaking bounds inbound connections whose handshake is not complete, so that unauthenticated clients cannot
	// use up the limit for all connections.
	maxHandshaking = 64
	// maxKnownIncarnations bounds the number of senders whose last incarnation is remembered.
	maxKnownIncarnations = 4096
	// maxPendingAge is the age after which a notification that waits for a connection is dropped. Older consensus and
	// gossip messages only delay newer ones.
	maxPendingAge = 5 * time.Second
	// maxTimedOutCalls is the number of timed-out calls after which a connection is closed. A peer may answer pings but
	// no calls, and jsonrpc2 keeps an entry for every call without a response.
	maxTimedOutCalls = 1024
	// Rejections are reported at most at this rate, so that an unauthenticated client cannot flood the event log.
	rejectionsPerSecond = 1
	rejectionsBurst     = 16
)

// Sender is the instance that sent a message. A higher incarnation means that it was restarted.
type Sender struct {
	Name        string
	Incarnation uint64
}

// Handler handles one call or notification; the result of a notification is ignored. The context ends when the
// connection does. Notifications of one sender and class are handled in order, calls concurrently.
type Handler func(ctx context.Context, from Sender, params json.RawMessage) (result any, err error)

// EventKind is the kind of a change of a link.
type EventKind int

// Kinds of event.
const (
	// Unreachable is reported once when a peer can no longer be reached; Err says why.
	Unreachable EventKind = iota
	// Reachable is reported once when it can be reached again.
	Reachable
	// Rejected is reported when an inbound connection was refused, or closed for a protocol violation; Err says why.
	// Reports are rate-limited to about one per second; the counter peer.rejected_connections counts all rejections.
	Rejected
)

// Event is a change of a link, for the log.
type Event struct {
	Kind EventKind
	// Peer is the name of the peer, or the remote address while the name is not known.
	Peer string
	Err  error
}

// Options configure a Transport. Zero values mean the defaults.
type Options struct {
	Cluster     string
	Self        string
	Incarnation uint64
	// Resolve gives the address of a peer.
	Resolve func(peer string) (address string, ok bool)
	// Permit reports whether an instance of this name may connect; nil permits every name that Resolve knows.
	Permit func(sender string) bool
	// TLS enables mutual TLS, see LoadTLS.
	TLS *TLS
	// BytesPerSecond and BurstBytes are the rate and size of the token bucket for all bytes that this instance sends.
	BytesPerSecond int
	BurstBytes     int
	// QueueLength and QueueBytes bound the send queue of one link, for each class.
	QueueLength int
	QueueBytes  int
	// MaxInboundCalls bounds the calls of one peer that run at the same time.
	MaxInboundCalls int
	// MaxConnections bounds inbound connections.
	MaxConnections int
	// CallTimeout bounds a call whose context has no earlier deadline, on both sides.
	CallTimeout time.Duration
	// DialTimeout bounds connecting, TLS and handshake together, on both sides.
	DialTimeout  time.Duration
	WriteTimeout time.Duration
	// IdleTimeout closes a connection without calls and notifications.
	IdleTimeout time.Duration
	// PingInterval and PingTimeout find half-open connections and frozen peers.
	PingInterval time.Duration
	PingTimeout  time.Duration
	MinBackoff   time.Duration
	MaxBackoff   time.Duration
	// IncarnationRetention is how long older incarnations of a sender are rejected after a newer one last connected.
	IncarnationRetention time.Duration
	// Memory counts what other instances hold of this process; nil counts nothing.
	Memory Memory
	// Registry receives the counters; nil means a private registry.
	Registry metrics.Registry
	// OnEvent is called for changes of links; it must not block.
	OnEvent func(Event)
	// Log receives debug messages of the JSON-RPC library; nil drops them.
	Log *logrus.Logger
}

// Memory bounds what the senders of inbound connections hold together. It is safe for concurrent use.
type Memory interface {
	// Connect counts the n bytes of a connection and reports whether there was room.
	Connect(n int64) bool
	Disconnect(n int64)
	// Take counts n more bytes for a sender whose messages hold some already and reports whether there was room. proven is set when its
	// handshake is complete.
	Take(n, held int64, proven bool) bool
	Prove(n int64)
	Release(n int64, proven bool)
	// Refused is called for each message or connection for which there was no room.
	Refused()
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

func (o *Options) setDefaults() error {
	if o.Cluster == "" || o.Self == "" || o.Incarnation == 0 || o.Resolve == nil {
		return errors.New("options Cluster, Self, Incarnation and Resolve are required")
	}
	if o.Permit == nil {
		o.Permit = func(sender string) bool { _, ok := o.Resolve(sender); return ok }
	}
	setDefault(&o.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&o.BurstBytes, DefaultBurstBytes)
	setDefault(&o.QueueLength, DefaultQueueLength)
	setDefault(&o.QueueBytes, DefaultQueueBytes)
	setDefault(&o.MaxInboundCalls, DefaultMaxInboundCalls)
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.PingInterval, DefaultPingInterval)
	setDefault(&o.PingTimeout, DefaultPingTimeout)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.IncarnationRetention, DefaultIncarnationRetention)
	if largest := peerapi.MaxFrameBytes + headerBytes; o.BurstBytes < largest || o.QueueBytes < largest {
		return errors.Errorf("options BurstBytes and QueueBytes must be at least one frame of %d bytes", largest)
	}
	for _, v := range []int64{
		int64(o.BytesPerSecond), int64(o.QueueLength), int64(o.MaxInboundCalls), int64(o.MaxConnections),
		int64(o.CallTimeout), int64(o.DialTimeout), int64(o.WriteTimeout), int64(o.IdleTimeout), int64(o.PingInterval),
		int64(o.PingTimeout), int64(o.MinBackoff), int64(o.MaxBackoff),
	} {
		if v < 0 {
			return errors.Errorf("limits and durations must not be negative, got %d", v)
		}
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.OnEvent == nil {
		o.OnEvent = func(Event) {}
	}
	return nil
}

// readTimeout is the time without input after which a connection counts as half-open.
func (o *Options) readTimeout() time.Duration { return 2*o.PingInterval + o.PingTimeout }

type counters struct {
	sentBytes, receivedBytes, sentMessages, receivedMessages, dropped, oversize, rejected, urgentOverLimit metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peer."+name, r) }
	return counters{
		sentBytes: counter("sent_bytes"), receivedBytes: counter("received_bytes"),
		sentMessages: counter("sent_messages"), receivedMessages: counter("received_messages"),
		dropped: counter("dropped_messages"), oversize: counter("oversize_frames"),
		rejected: counter("rejected_connections"), urgentOverLimit: counter("urgent_over_limit"),
	}
}

// Transport holds the links of one instance. It is safe for concurrent use.
type Transport struct {
	opts    Options
	limiter *rateLimiter
	metrics counters
	meta    json.RawMessage // the envelope of every message

	mu       sync.Mutex
	handlers map[string]Handler
	links    map[string]*link
	// inbound maps each sender to its connection whose handshake is complete.
	inbound           map[string]*inbound
	connections       map[*inbound]struct{}
	handshaking       int // connections whose handshake is not complete
	knownIncarnations *lru.Cache[string, knownIncarnation]
	closed            bool
	goroutines        sync.WaitGroup
	rejectionLimiter  *rate.Limiter
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a transport without connections.
func New(opts Options) (*Transport, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, errors.Wrap(err, "invalid options of the peer transport")
	}
	known, err := lru.New[string, knownIncarnation](maxKnownIncarnations)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	t := &Transport{
		opts: opts, metrics: newCounters(opts.Registry), handlers: make(map[string]Handler),
		links: make(map[string]*link), inbound: make(map[string]*inbound), connections: make(map[*inbound]struct{}),
		knownIncarnations: known, rejectionLimiter: rate.NewLimiter(rejectionsPerSecond, rejectionsBurst),
	}
	if t.meta, err = json.Marshal(peerapi.Envelope{
		Cluster: opts.Cluster, Sender: opts.Self, Incarnation: opts.Incarnation, Version: peerapi.Version,
	}); err != nil {
		return nil, errors.Wrap(err, "encode the message envelope")
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.limiter = newRateLimiter(opts.BytesPerSecond, opts.BurstBytes, func() { t.metrics.urgentOverLimit.Inc(1) })
	return t, nil
}

// Handle registers the handler of a method. Register all handlers before Serve.
func (t *Transport) Handle(method string, h Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[method] = h
}

func (t *Transport) handler(method string) Handler {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handlers[method]
}

// CallError is the error of a call that returned no result.
type CallError struct {
	Peer   string
	Method string
	// MayHaveRun is false when the call certainly did not run.
	MayHaveRun bool
	Cause      error
}

// Error includes whether the call may have run.
func (e *CallError) Error() string {
	ran := "did not run"
	if e.MayHaveRun {
		ran = "may have run"
	}
	return fmt.Sprintf("call %s to peer %s (%s): %v", e.Method, e.Peer, ran, e.Cause)
}

func (e *CallError) Unwrap() error { return e.Cause }

// RemoteError is an error response of a peer; codes are those of peerapi and JSON-RPC.
type RemoteError struct {
	Code    int64
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("error response from peer: %s (code %d)", e.Message, e.Code)
}

// ErrClosed is the cause of errors of calls and notifications after Close.
var ErrClosed = errors.New("peer transport is closed")

// NotRun reports whether err guarantees that the call did not run.
func NotRun(err error) bool {
	var e *CallError
	return errors.As(err, &e) && !e.MayHaveRun
}

// Call calls a method of a peer and decodes the response into result. Errors are *CallError.
func (t *Transport) Call(ctx context.Context, peer, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, t.opts.CallTimeout)
	defer cancel()
	mayHaveRun, err := t.call(ctx, peer, method, params, result)
	if err == nil {
		return nil
	}
	return &CallError{Peer: peer, Method: method, MayHaveRun: mayHaveRun, Cause: err}
}

func (t *Transport) call(ctx context.Context, peer, method string, params, result any) (mayHaveRun bool, err error) {
	l, err := t.link(peer)
	if err != nil {
		return false, err
	}
	out, err := l.connect(ctx)
	if err != nil {
		return false, err
	}
	defer out.release()
	waiter, err := out.rpc.DispatchCall(ctx, method, params, t.envelope())
	if err != nil {
		return false, out.withCloseReason(err)
	}
	err = waiter.Wait(ctx, result)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return false, nil
	case errors.As(err, &remote):
		mayHaveRun = remote.Code == peerapi.CodeFailed || remote.Code == peerapi.CodeTooLarge ||
			remote.Code == jsonrpc2.CodeInternalError
		return mayHaveRun, &RemoteError{Code: remote.Code, Message: remote.Message}
	case ctx.Err() != nil:
		out.countTimeout()
		return true, errors.Wrap(err, "no response before the deadline")
	default:
		return true, out.withCloseReason(err)
	}
}

// Notify queues a one-way message and returns at once. Delivery is best effort: a full queue drops its oldest
// notifications first. An error means that the message cannot be sent at all.
func (t *Transport) Notify(peer, method string, params any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return errors.Wrapf(err, "encode notification %s to %s", method, peer)
	}
	if len(data) > peerapi.MaxFrameBytes-maxFrameOverhead {
		return errors.Wrapf(ErrFrameTooLarge, "notification %s of %d bytes to %s", method, len(data), peer)
	}
	l, err := t.link(peer)
	if err != nil {
		return errors.Wrapf(err, "send notification %s", method)
	}
	l.notify(method, data)
	return nil
}

// maxFrameOverhead bounds the bytes that method, envelope and JSON syntax add to the parameters of a notification.
const maxFrameOverhead = 1024

func (t *Transport) envelope() jsonrpc2.CallOption { return jsonrpc2.Meta(t.meta) }

func (t *Transport) link(peer string) (*link, error) {
	if peer == t.opts.Self {
		return nil, errors.Errorf("peer %q is this instance", peer)
	}
	if _, ok := t.opts.Resolve(peer); !ok {
		return nil, errors.Errorf("address of peer %q is not known", peer)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errors.WithStack(ErrClosed)
	}
	l := t.links[peer]
	if l == nil {
		l = &link{t: t, peer: peer}
		t.links[peer] = l
	}
	return l, nil
}

// Serve accepts connections until ctx ends, then closes all links and waits for their goroutines.
func (t *Transport) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer t.Close()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "listener of the peer transport was closed")
		case err != nil:
			// Errors such as running out of file descriptors are temporary; the pause avoids a busy loop meanwhile.
			select {
			case <-time.After(t.opts.MinBackoff):
			case <-ctx.Done():
			}
		default:
			t.accept(conn)
		}
	}
}

// Close closes all links and waits for their goroutines. The contexts of running handlers are cancelled.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.cancel()
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	inbounds := make([]*inbound, 0, len(t.connections))
	for in := range t.connections {
		inbounds = append(inbounds, in)
	}
	t.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	for _, in := range inbounds {
		in.close()
	}
	t.goroutines.Wait()
}

// startGoroutine runs f in a goroutine that Close waits for. It returns false when the transport is closed already.
func (t *Transport) startGoroutine(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.goroutines.Go(f)
	return true
}

// debugLogger logs the messages of the JSON-RPC library at debug level.
type debugLogger struct{ log *logrus.Logger }

// Printf implements jsonrpc2.Logger.
func (l debugLogger) Printf(format string, v ...any) {
	if l.log != nil {
		l.log.Debugf(format, v...)
	}
}
