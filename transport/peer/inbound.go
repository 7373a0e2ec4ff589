package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	// inboundQueueLength and inboundQueueBytes bound the notifications of one sender and class that wait for their
	// handler. A bound on their number alone would let one sender occupy 256 MiB.
	inboundQueueLength = 256
	inboundQueueBytes  = 2 << 20
	// maxRunningBytes bounds the total parameter size of the concurrent calls of one sender.
	maxRunningBytes = 4 << 20
)

// requestQueue is a bounded queue of notifications for one worker.
type requestQueue struct {
	mu       sync.Mutex
	requests []*jsonrpc2.Request
	bytes    int
	wake     chan struct{}
	account  *account
}

// put appends a notification and drops the oldest ones while the queue exceeds its bounds. Without room it drops the new one.
func (q *requestQueue) put(req *jsonrpc2.Request) (dropped int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.account.take(len(requestParams(req))) {
		return 1
	}
	q.requests = append(q.requests, req)
	q.bytes += len(requestParams(req))
	for len(q.requests) > inboundQueueLength || q.bytes > inboundQueueBytes {
		q.account.release(len(requestParams(q.removeLocked())))
		dropped++
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped
}

func (q *requestQueue) take() (*jsonrpc2.Request, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.requests) == 0 {
		return nil, false
	}
	return q.removeLocked(), true
}

func (q *requestQueue) removeLocked() *jsonrpc2.Request {
	req := q.requests[0]
	q.requests[0] = nil
	q.requests = q.requests[1:]
	q.bytes -= len(requestParams(req))
	return req
}

// inbound is one connection that this instance accepted.
type inbound struct {
	t      *Transport
	conn   net.Conn
	stream *stream
	queues [2]requestQueue // by peerapi.Class
	// account counts what the sender holds.
	account *account

	// checkedMeta is the last envelope that matched the handshake; only the read loop uses it.
	checkedMeta []byte

	mu           sync.Mutex
	hello        *peerapi.Hello
	closeReason  error
	runningCalls int
	runningBytes int
}

// accept serves a connection, or closes it when there are too many.
func (t *Transport) accept(conn net.Conn) {
	in := &inbound{t: t, conn: conn}
	if t.opts.Memory != nil {
		in.account = &account{memory: t.opts.Memory}
	}
	for class := range in.queues {
		in.queues[class].wake = make(chan struct{}, 1)
		in.queues[class].account = in.account
	}
	if !in.account.connect() {
		_ = conn.Close()
		t.reject(conn.RemoteAddr().String(), ErrNoRoom)
		return
	}
	t.mu.Lock()
	full := t.closed || len(t.connections) >= t.opts.MaxConnections || t.handshaking >= maxHandshaking
	if !full {
		t.connections[in] = struct{}{}
		t.handshaking++
		t.goroutines.Go(in.serve)
	}
	t.mu.Unlock()
	if full {
		in.account.close()
		_ = conn.Close()
		t.reject(conn.RemoteAddr().String(), errors.New("too many inbound connections"))
	}
}

// reject counts and reports a refused connection.
func (t *Transport) reject(peer string, err error) {
	t.metrics.rejected.Inc(1)
	if !t.rejectionLimiter.Allow() {
		return
	}
	t.opts.OnEvent(Event{Kind: Rejected, Peer: peer, Err: err})
}

// serve runs one connection until it ends.
func (in *inbound) serve() {
	defer in.unregister()
	ctx, cancel := context.WithTimeout(in.t.ctx, in.t.opts.DialTimeout)
	defer cancel()
	if in.t.opts.TLS != nil {
		conn, err := in.t.opts.TLS.server(ctx, in.conn)
		if err != nil {
			in.t.reject(in.conn.RemoteAddr().String(), errors.Wrap(err, "TLS"))
			return
		}
		in.conn = conn
	}
	s := newStream(in.t, in.conn, in.account)
	s.unproven = true
	in.mu.Lock()
	in.stream = s
	in.mu.Unlock()
	// The library may call Handle before NewConn returns, so Handle uses the connection that it gets as an argument.
	rpc := jsonrpc2.NewConn(context.Background(), s, in, jsonrpc2.OnSend(s.onSend),
		jsonrpc2.SetLogger(debugLogger{in.t.opts.Log}))
	defer func() { _ = rpc.Close() }()
	var workers sync.WaitGroup
	for class := range in.queues {
		workers.Go(func() { in.handleNotifications(rpc, &in.queues[class]) })
	}
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		if in.peerHello() == nil && in.t.ctx.Err() == nil {
			in.setCloseReason(errors.Errorf("no handshake within %s", in.t.opts.DialTimeout))
			break
		}
		select {
		case <-rpc.DisconnectNotify():
		case <-in.t.ctx.Done():
		}
	}
	_ = rpc.Close()
	workers.Wait()
	in.reportViolation(s)
}

// reportViolation reports a connection that was closed for a protocol violation.
func (in *inbound) reportViolation(s *stream) {
	name := in.conn.RemoteAddr().String()
	if hello := in.peerHello(); hello != nil {
		name = hello.Sender
	}
	in.mu.Lock()
	reason := in.closeReason
	in.mu.Unlock()
	if reason != nil {
		in.t.reject(name, reason)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation != nil {
		in.t.reject(name, s.violation)
	}
}

func (in *inbound) unregister() {
	_ = in.conn.Close()
	in.account.close()
	hello := in.peerHello()
	in.t.mu.Lock()
	defer in.t.mu.Unlock()
	delete(in.t.connections, in)
	if hello == nil {
		in.t.handshaking--
		return
	}
	if in.t.inbound[hello.Sender] == in {
		delete(in.t.inbound, hello.Sender)
	}
}

func (in *inbound) close() {
	in.mu.Lock()
	s := in.stream
	in.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// peerHello returns nil until the handshake is complete.
func (in *inbound) peerHello() *peerapi.Hello {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.hello
}

func (in *inbound) setCloseReason(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closeReason == nil {
		in.closeReason = err
	}
}

// refuse responds with the reason and closes the connection once the response is sent.
func (in *inbound) refuse(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, err error) {
	if !req.Notif {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: peerapi.CodeRefused, Message: err.Error()})
	}
	in.stream.sendClosing(err)
}

// Handle implements jsonrpc2.Handler. It runs in the read loop and never blocks on the handler of a method.
func (in *inbound) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	hello := in.peerHello()
	switch {
	case hello == nil:
		in.handshake(ctx, rpc, req)
		return
	case req.Method == peerapi.MethodHello:
		in.refuse(ctx, rpc, req, errors.New("hello was sent twice: the handshake is complete already"))
		return
	}
	if err := in.checkEnvelope(hello, req); err != nil {
		in.refuse(ctx, rpc, req, err)
		return
	}
	if req.Method == peerapi.MethodPing {
		if !req.Notif {
			_ = rpc.Reply(ctx, req.ID, struct{}{})
		}
		return
	}
	h := in.t.handler(req.Method)
	switch {
	case req.Notif && h == nil:
	case req.Notif:
		in.t.metrics.dropped.Inc(in.queues[peerapi.ClassOf(req.Method)].put(req))
	case h == nil:
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
			Code: jsonrpc2.CodeMethodNotFound, Message: "method " + req.Method + " is not known",
		})
	default:
		in.call(ctx, rpc, req, h)
	}
}

// handshake handles the first request of a connection, which must be a valid hello.
func (in *inbound) handshake(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	hello, err := in.checkHello(req)
	if err == nil {
		var old *inbound
		if old, err = in.t.admit(in, hello); old != nil {
			old.close()
		}
	}
	if err != nil {
		in.refuse(ctx, rpc, req, err)
		return
	}
	_ = rpc.Reply(ctx, req.ID, peerapi.HelloResponse{Receiver: in.t.opts.Self, Incarnation: in.t.opts.Incarnation})
}

func (in *inbound) checkHello(req *jsonrpc2.Request) (*peerapi.Hello, error) {
	if req.Method != peerapi.MethodHello || req.Notif || req.Params == nil {
		return nil, errors.Errorf("the first request is %q, want %q", req.Method, peerapi.MethodHello)
	}
	var hello peerapi.Hello
	if err := json.Unmarshal(*req.Params, &hello); err != nil {
		return nil, errors.Wrap(err, "decode the handshake")
	}
	opts := &in.t.opts
	switch {
	case hello.Version != peerapi.Version:
		return nil, errors.Errorf("protocol version %d is not supported, want %d", hello.Version, peerapi.Version)
	case hello.Cluster != opts.Cluster:
		return nil, errors.Errorf("cluster is %q, want %q", hello.Cluster, opts.Cluster)
	case hello.Receiver != opts.Self:
		return nil, errors.Errorf("receiver is %q, but this is %q", hello.Receiver, opts.Self)
	case hello.Sender == opts.Self:
		return nil, errors.Errorf("sender has the name of this instance, %q", hello.Sender)
	case hello.Incarnation == 0:
		return nil, errors.New("incarnation in the handshake is missing or 0")
	case !opts.Permit(hello.Sender):
		return nil, errors.Errorf("instance %q is not permitted to connect", hello.Sender)
	}
	if conn, ok := in.conn.(*tls.Conn); ok {
		if err := checkName(conn.ConnectionState(), hello.Sender); err != nil {
			return nil, err
		}
	}
	return &hello, in.checkEnvelope(&hello, req)
}

// knownIncarnation is the incarnation with which a sender last connected.
type knownIncarnation struct {
	incarnation uint64
	connectedAt time.Time
}

// admit registers a connection as the only one of its sender and returns the one that it replaces.
func (t *Transport) admit(in *inbound, hello *peerapi.Hello) (old *inbound, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old = t.inbound[hello.Sender]
	newest := uint64(0)
	if known, ok := t.knownIncarnations.Get(hello.Sender); ok && time.Since(known.connectedAt) < t.opts.IncarnationRetention {
		newest = known.incarnation
	}
	if old != nil {
		newest = max(newest, old.peerHello().Incarnation)
	}
	if hello.Incarnation < newest {
		return nil, errors.Errorf("incarnation %d of %q is older than %d, which has connected before", hello.Incarnation,
			hello.Sender, newest)
	}
	t.knownIncarnations.Add(hello.Sender, knownIncarnation{hello.Incarnation, time.Now()})
	t.inbound[hello.Sender] = in
	t.handshaking--
	in.mu.Lock()
	defer in.mu.Unlock()
	in.hello = hello
	in.stream.unproven = false
	in.account.prove()
	return old, nil
}

// checkEnvelope compares the envelope of a message with the handshake of its connection.
func (in *inbound) checkEnvelope(hello *peerapi.Hello, req *jsonrpc2.Request) error {
	var e peerapi.Envelope
	if req.Meta == nil {
		return errors.Errorf("message %q has no envelope", req.Method)
	}
	if bytes.Equal(*req.Meta, in.checkedMeta) {
		return nil // identical to an envelope that was checked before; no need to decode it again
	}
	if err := json.Unmarshal(*req.Meta, &e); err != nil {
		return errors.Wrapf(err, "decode the envelope of message %q", req.Method)
	}
	want := peerapi.Envelope{
		Cluster: hello.Cluster, Sender: hello.Sender, Incarnation: hello.Incarnation, Version: hello.Version,
	}
	if e != want {
		return errors.Errorf("envelope %+v of message %q does not match the handshake %+v", e, req.Method, want)
	}
	in.checkedMeta = bytes.Clone(*req.Meta)
	return nil
}

// handleNotifications runs the handlers of the notifications of one class in order.
func (in *inbound) handleNotifications(rpc *jsonrpc2.Conn, queue *requestQueue) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-rpc.DisconnectNotify():
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		req, ok := queue.take()
		if !ok {
			select {
			case <-ctx.Done():
			case <-queue.wake:
			}
			continue
		}
		if h := in.t.handler(req.Method); h != nil {
			_, _ = h(ctx, in.sender(), requestParams(req))
		}
		queue.account.release(len(requestParams(req)))
	}
}

func (in *inbound) sender() Sender {
	hello := in.peerHello()
	return Sender{Name: hello.Sender, Incarnation: hello.Incarnation}
}

func requestParams(req *jsonrpc2.Request) json.RawMessage {
	if req.Params == nil {
		return nil
	}
	return *req.Params
}

// beginCall counts a call as running, or returns an error when too many calls of the peer are running already.
func (in *inbound) beginCall(size int) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.runningCalls >= in.t.opts.MaxInboundCalls || in.runningBytes+size > maxRunningBytes {
		return errors.Errorf("%d calls with %d bytes are running already", in.runningCalls, in.runningBytes)
	}
	if !in.account.takeCall(size) {
		return ErrNoRoom
	}
	in.runningCalls++
	in.runningBytes += size
	return nil
}

func (in *inbound) endCall(size int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.runningCalls--
	in.runningBytes -= size
	in.account.releaseCall(size)
}

// call runs a handler in its own goroutine. The sender gives up after CallTimeout, so the handler's context ends then
// too.
func (in *inbound) call(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, h Handler) {
	in.stream.expectReply(req)
	size := len(requestParams(req))
	if err := in.beginCall(size); err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: peerapi.CodeBusy, Message: err.Error()})
		return
	}
	started := in.t.startGoroutine(func() {
		result, err := in.runHandler(ctx, req, h, size)
		in.respond(ctx, rpc, req, result, err)
	})
	if !started {
		in.endCall(size)
	}
}

// runHandler stops counting the call as running before its response is sent. Otherwise a sender that calls again right
// after the response could be refused as busy because of the completed call.
func (in *inbound) runHandler(ctx context.Context, req *jsonrpc2.Request, h Handler, size int) (any, error) {
	defer in.endCall(size)
	callCtx, cancel := context.WithTimeout(ctx, in.t.opts.CallTimeout)
	defer cancel()
	return h(callCtx, in.sender(), requestParams(req))
}

func (in *inbound) respond(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	response := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = errors.Wrap(response.SetResult(result), "encode the response")
	}
	if err != nil {
		err = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: peerapi.CodeFailed, Message: err.Error()})
	} else if err = rpc.SendResponse(ctx, response); errors.Is(err, ErrFrameTooLarge) {
		err = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: peerapi.CodeTooLarge, Message: err.Error()})
	} else if errors.Is(err, ErrNoRoom) { // other calls on the connection go on
		err = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: peerapi.CodeFailed, Message: err.Error()})
	}
	if err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		// Without a response the sender would wait until its timeout, so the connection is closed.
		in.setCloseReason(errors.Wrapf(err, "send the response to %s", req.Method))
		_ = rpc.Close()
	}
}
