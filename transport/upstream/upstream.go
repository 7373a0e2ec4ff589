// Package upstream sends HTTP/1.1 requests to targets. Unlike http.Transport it never retries a request by itself,
// reports whether a failed request may have run, and never returns the answer to another request.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
)

const (
	// DefaultConnectTimeout bounds opening a connection. Targets are a few milliseconds away, and after an unreachable one
	// there must be time to try another.
	DefaultConnectTimeout = 400 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 64
	// largeBodyBytes is the size from which a body is written concurrently with reading the answer, which may arrive
	// before the target has read the body.
	largeBodyBytes = 32 << 10
	// maxForeignAnswers bounds the answers to earlier requests that are skipped on one connection.
	maxForeignAnswers = 4
	// maxForeignAnswerBytes bounds the body of each skipped answer.
	maxForeignAnswerBytes = 1 << 20
)

// Failure is the reason why a request got no complete answer.
type Failure string

// Reasons why a request got no complete answer.
const (
	ConnectFailed    Failure = "connect failed"
	ConnectionBroken Failure = "connection broken"
	MalformedAnswer  Failure = "malformed answer"
	TimedOut         Failure = "timed out"
	Cancelled        Failure = "cancelled"
)

// Error reports that a request got no complete answer.
type Error struct {
	Failure Failure
	// Sent is set when the target may have received the request and run it.
	Sent  bool
	Cause error
}

// Error includes the failure, whether the request may have run, and the cause.
func (e *Error) Error() string {
	sent := "not sent"
	if e.Sent {
		sent = "may have run"
	}
	return fmt.Sprintf("%s (%s): %v", e.Failure, sent, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Request is one request to one target.
type Request struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value that the answer must echo in the header EchoHeader. With an empty ID every answer is accepted.
	ID         string
	EchoHeader string
	// AcceptUnechoed reports whether the first answer on a connection is accepted if it does not echo the ID. If it is nil, none is.
	AcceptUnechoed func(*http.Response) bool
	Deadline       time.Time
}

// Client sends requests and pools the connections to targets. It is safe for concurrent use.
type Client struct {
	dial Dial

	mu   sync.Mutex
	idle map[string][]*conn // by address, most recently used last
	// idleCount is the number of all idle connections, and maxIdle bounds it; 0 means no bound.
	idleCount, maxIdle int

	opened, reused, foreign, malformed metrics.Counter
}

// New returns a client without connections.
func New(dial Dial, registry metrics.Registry) *Client {
	return &Client{
		dial: dial, idle: make(map[string][]*conn),
		opened:  metrics.GetOrRegisterCounter("upstream.connections_opened", registry),
		reused:  metrics.GetOrRegisterCounter("upstream.connections_reused", registry),
		foreign: metrics.GetOrRegisterCounter("upstream.foreign_answers", registry),

		malformed: metrics.GetOrRegisterCounter("upstream.malformed_answers", registry),
	}
}

// Answer is the answer of a target. Close must be called.
type Answer struct {
	*http.Response
	client         *Client
	address        string
	conn           *conn
	stop           func() bool
	written        <-chan error // result of writing a large body; nil when the request was written before reading the answer
	bodyRead       bool         // the body was read to its end
	skippedForeign bool         // an answer to an earlier request was skipped
	ctx            context.Context
}

// Do sends a request and reads the status line and the headers of the answer. The error is an *Error.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	conn, err := c.getConn(ctx, address, r.ID)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &Error{Failure: Cancelled, Cause: err}
		}
		return nil, &Error{Failure: ConnectFailed, Cause: err}
	}
	_ = conn.SetDeadline(r.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	a := &Answer{client: c, address: address, conn: conn, stop: stop, ctx: ctx}
	if err := a.write(r); err != nil {
		return nil, a.fail(err)
	}
	if err := a.readHead(r); err != nil {
		return nil, a.fail(err)
	}
	return a, nil
}

// fail closes the connection and classifies the error of a request that was sent.
func (a *Answer) fail(err error) error {
	a.stop()
	_ = a.conn.Close()
	var netErr net.Error
	switch {
	case a.ctx.Err() != nil:
		return &Error{Failure: Cancelled, Sent: true, Cause: err}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &Error{Failure: TimedOut, Sent: true, Cause: err}
	case errors.Is(err, errMalformed):
		a.client.malformed.Inc(1)
		return &Error{Failure: MalformedAnswer, Sent: true, Cause: err}
	}
	return &Error{Failure: ConnectionBroken, Sent: true, Cause: err}
}

var errMalformed = errors.New("malformed answer")

// takeIdle removes and returns the most recently used idle connection to an address on which no request with an ID was answered
// lately, or returns nil.
func (c *Client) takeIdle(address, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if candidate := list[i]; id == "" || !candidate.hasAnswered(id) {
			c.idle[address] = slices.Delete(list, i, i+1)
			c.idleCount--
			return candidate
		}
	}
	return nil
}

// getConn returns a reusable idle connection for a request with an ID or opens a new one.
func (c *Client) getConn(ctx context.Context, address, id string) (*conn, error) {
	now := time.Now()
	for {
		candidate := c.takeIdle(address, id)
		if candidate == nil {
			break
		}
		if now.Before(candidate.usableUntil) && candidate.clean() {
			c.reused.Inc(1)
			return candidate, nil
		}
		candidate.closeGracefully()
	}
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.opened.Inc(1)
	return newConn(raw), nil
}

// unusedConnTimeout is how long a connection that Connect opened may wait for a request.
const unusedConnTimeout = time.Second

// Connect checks whether a target accepts connections, and keeps the connection for the next request.
func (c *Client) Connect(ctx context.Context, address string) error {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	c.opened.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := newConn(raw)
	unused.usableUntil = time.Now().Add(unusedConnTimeout)
	c.keepLocked(address, unused)
	return nil
}

// LimitIdle bounds the idle connections to all targets together, so that clients which cause many requests at once don't leave so many
// that descriptors run out.
func (c *Client) LimitIdle(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = limit
}

// keepLocked keeps an idle connection, unless there are too many.
func (c *Client) keepLocked(address string, idle *conn) {
	if c.maxIdle > 0 && c.idleCount >= c.maxIdle {
		idle.closeGracefully()
		return
	}
	c.idleCount++
	c.idle[address] = append(c.idle[address], idle)
}

// HasIdle reports whether an idle connection to an address is open that may be reused.
func (c *Client) HasIdle(now time.Time, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	return len(list) > 0 && now.Before(list[len(list)-1].usableUntil)
}

// CloseIdle closes idle connections that may no longer be reused, and all idle connections to addresses that are not
// wanted.
func (c *Client) CloseIdle(now time.Time, wanted func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, candidate := range list {
			if wanted(address) && now.Before(candidate.usableUntil) {
				kept = append(kept, candidate)
			} else {
				candidate.closeGracefully()
				c.idleCount--
			}
		}
		if c.idle[address] = kept; len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

func (a *Answer) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if len(r.Body) < largeBodyBytes {
		_, err := a.conn.Write(b.Bytes())
		return err
	}
	written := make(chan error, 1)
	a.written = written
	go func() {
		_, err := a.conn.Write(b.Bytes())
		written <- err
	}()
	return nil
}

// readHead reads the status line and the headers of the answer to the request, and skips answers to earlier requests.
func (a *Answer) readHead(r *Request) error {
	for range maxForeignAnswers {
		response, err := a.readResponse(r)
		if err != nil {
			return err
		}
		echo := response.Header.Get(r.EchoHeader)
		// Without an echo, an answer on a connection that was used before may be an earlier one that is written once more.
		unechoed := echo == "" && a.conn.answeredRuns == 0 && r.AcceptUnechoed != nil && r.AcceptUnechoed(response)
		if r.ID == "" || echo == r.ID || unechoed {
			a.Response = response
			a.conn.recordAnswered(r.ID)
			return nil
		}
		if echo == "" {
			return errors.Wrap(errMalformed, "the answer does not echo a request ID")
		}
		a.skippedForeign = true
		a.client.foreign.Inc(1)
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignAnswerBytes+1)); err != nil || n > maxForeignAnswerBytes {
			return errors.Wrap(errMalformed, "the answer to an earlier request is incomplete or too large")
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return errors.Wrap(errMalformed, "the answer to an earlier request has no length and ends with the connection")
		}
	}
	return errors.Wrap(errMalformed, "too many answers to earlier requests")
}

func (a *Answer) readResponse(r *Request) (*http.Response, error) {
	a.conn.head.begin()
	defer a.conn.head.end()
	for {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err == nil {
			err = CheckHead(response)
		}
		switch {
		case err == nil && response.StatusCode < http.StatusOK:
			continue
		case err == nil:
			return response, nil
		}
		var netErr net.Error
		if errors.Is(err, errMalformed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || a.ctx.Err() != nil {
			return nil, err
		}
		return nil, errors.Wrap(errMalformed, err.Error())
	}
}

// Read reads the body. io.EOF means that it is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if a.written != nil && !a.framed() && a.wasReset() {
			return n, &Error{Failure: ConnectionBroken, Sent: true, Cause: errors.New("the answer ended by a reset")}
		}
		a.bodyRead = true
		return n, io.EOF
	}
	if err != nil {
		var netErr net.Error
		failure := ConnectionBroken
		switch {
		case a.ctx.Err() != nil:
			failure = Cancelled
		case errors.As(err, &netErr) && netErr.Timeout():
			failure = TimedOut
		}
		return n, &Error{Failure: failure, Sent: true, Cause: err}
	}
	return n, nil
}

// Discard reads the body to its end, so that the connection can be reused. It stops after a number of bytes or a time; Close then
// closes the connection.
func (a *Answer) Discard(maxBytes int64, timeout time.Duration) {
	if err := a.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxBytes))
}

// Complete reports whether the body was read to its end.
func (a *Answer) Complete() bool { return a.bodyRead }

// Close ends the use of the answer. The connection is kept for reuse when the answer was read to its end and no other
// bytes arrived.
func (a *Answer) Close() {
	switch cancelled := !a.stop(); {
	case cancelled || !a.bodyRead:
		_ = a.conn.Close()
		return
	case !a.reusable():
		a.conn.closeGracefully()
		return
	}
	a.conn.usableUntil = time.Now().Add(idleTimeout(a.Header.Get("Keep-Alive")))
	_ = a.conn.SetDeadline(time.Time{})
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[a.address]) >= maxIdlePerTarget {
		a.conn.closeGracefully()
		return
	}
	c.keepLocked(a.address, a.conn)
}

// framed reports whether the body has a length or chunks. Otherwise it ends with the connection.
func (a *Answer) framed() bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

// resetWriteTimeout is how long the write of a body is waited for whose connection has ended.
const resetWriteTimeout = 50 * time.Millisecond

// wasReset reports whether the connection was reset. The system reports a reset once only, to whichever of the reading and the writing
// comes first; the other one sees a regular end.
func (a *Answer) wasReset() bool {
	if reset, known := a.conn.wasReset(); known {
		return reset
	}
	select {
	case err := <-a.written:
		return err != nil
	case <-time.After(resetWriteTimeout):
		return false
	}
}

func (a *Answer) reusable() bool {
	if !a.bodyRead || a.skippedForeign || !a.framed() || a.Response.Close || a.conn.reader.Buffered() > 0 ||
		strings.EqualFold(a.Header.Get("Connection"), "close") {
		return false
	}
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false // the target answered before it had read the body
	}
}
