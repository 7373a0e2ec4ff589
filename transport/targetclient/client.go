// Package targetclient calls targets over HTTP: streams, plain service calls, orders and cancellations.
package targetclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

const (
	dialTimeout      = time.Second
	maxIdlePerTarget = 64
	idleTimeout      = 90 * time.Second
	maxErrorBytes    = 8 << 10
	// errorBodyTimeout bounds reading the text of an error, which only explains its status.
	errorBodyTimeout = 50 * time.Millisecond
	maxHeadBytes     = 64 << 10 // of an answer
	maxControlBytes  = 64 << 10
	// MaxServiceAnswerBytes bounds the answer of a plain service.
	MaxServiceAnswerBytes = 4 << 20
)

// Client calls targets. It is safe for concurrent use.
type Client struct {
	pooled    *http.Client
	singleUse *http.Client
}

// New returns a client without connections.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		pooled: &http.Client{
			Transport:     upstream.CheckingTransport{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadBytes}},
			CheckRedirect: noRedirect,
		},
		// net/http resends a request with an Idempotency-Key on a new connection when a reused one breaks. Calls that
		// must run at most once therefore never use a reused connection.
		singleUse: &http.Client{
			Transport:     upstream.CheckingTransport{Transport: &http.Transport{DialContext: writeTrackingDial(dialer), DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}},
			CheckRedirect: noRedirect,
		},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// OverloadedError means that the target refused the attempt because it is overloaded. The attempt did not run.
type OverloadedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *OverloadedError) Error() string { return "the target is overloaded" }

// NotReadyError means that the target has not loaded the model or is shutting down. The attempt did not run.
type NotReadyError struct{ Message string }

// Error includes the message of the target.
func (e *NotReadyError) Error() string { return "the target is not ready: " + e.Message }

// RejectedError means that the target rejected the request itself, as invalid or not authorised.
type RejectedError struct {
	Status  int
	Message string
}

// Error includes the status and the message of the target.
func (e *RejectedError) Error() string {
	return "the target rejected the request with status " + strconv.Itoa(e.Status) + ": " + e.Message
}

// ConnectError means that no connection could be established, so that the attempt did not run.
type ConnectError struct{ Cause error }

// Error includes the cause.
func (e *ConnectError) Error() string { return "no connection to the target: " + e.Cause.Error() }

// IncompleteError means that the connection ended before the answer did. The attempt may have run.
type IncompleteError struct{ Cause error }

// Error includes the cause.
func (e *IncompleteError) Error() string {
	return "the connection to the target broke: " + e.Cause.Error()
}

// UnprovenError is a refusal that may be an earlier one that the target wrote once more: it does not name the attempt, and the
// connection was used before. The attempt may have run.
type UnprovenError struct{ Cause error }

// Error includes the refusal.
func (e *UnprovenError) Error() string {
	return "the refusal does not name the attempt, which may have run: " + e.Cause.Error()
}

// Unwrap returns the refusal.
func (e *UnprovenError) Unwrap() error { return e.Cause }

// OtherVersionError means that the target runs another software version than the one that began the answer. What two
// versions generate does not fit together.
type OtherVersionError struct{ Want, Got string }

// Error includes both versions.
func (e *OtherVersionError) Error() string {
	return "the target runs software version " + strconv.Quote(e.Got) + ", the answer began at " + strconv.Quote(e.Want)
}

// Attempt is one attempt at a model call.
type Attempt struct {
	Address   string
	RequestID string
	AttemptID string
	Priority  releasenote.Priority
	// Offset is the number of tokens that the caller has already received.
	Offset int
	// SoftwareVersion is the one that began an answer that is resumed at an offset, empty if targets name none.
	SoftwareVersion string
	Body            []byte
	// Header holds additional request headers, for example the identity of the caller when the target is an instance of
	// another data centre.
	Header http.Header
}

// Event is one event of a stream.
type Event struct {
	Offset int
	Data   []byte
	Done   bool
	// SoftwareVersion is that of the target, empty if it names none.
	SoftwareVersion string
}

// Stream sends an attempt and calls onEvent for each event until the stream ends. An error from onEvent ends the stream
// and is returned.
func (c *Client) Stream(ctx context.Context, a Attempt, onEvent func(Event) error) error {
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+targetapi.PathChat, bytes.NewReader(a.Body))
	if err != nil {
		return errors.Wrap(err, "create request for the attempt")
	}
	if a.Header != nil {
		req.Header = a.Header.Clone()
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(api.HeaderRequestID, a.RequestID)
	req.Header.Set(targetapi.HeaderAttemptID, a.AttemptID)
	req.Header.Set(targetapi.HeaderPriority, string(a.Priority))
	if a.Offset > 0 {
		req.Header.Set(targetapi.HeaderResumeOffset, strconv.Itoa(a.Offset))
		req.Header.Set(targetapi.HeaderSoftwareVersion, a.SoftwareVersion)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return connectionError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := resp.Header.Get(targetapi.HeaderAttemptID)
	if resp.StatusCode != http.StatusOK {
		return refusalOf(a.AttemptID, got, reused, statusError(resp))
	}
	if got != a.AttemptID {
		return &IncompleteError{Cause: errors.Errorf("target answered attempt %q instead of attempt %q", got, a.AttemptID)}
	}
	version := resp.Header.Get(targetapi.HeaderSoftwareVersion)
	if a.Offset > 0 && version != a.SoftwareVersion {
		return &OtherVersionError{Want: a.SoftwareVersion, Got: version}
	}
	return readEvents(resp.Body, func(e Event) error {
		e.SoftwareVersion = version
		return onEvent(e)
	})
}

// refusalOf checks that a refusal is that of an attempt. got is the id that it names.
func refusalOf(attempt, got string, reused bool, err error) error {
	switch {
	case got == attempt || got == "" && !reused:
		return err
	case got == "":
		return &UnprovenError{Cause: err}
	}
	return &IncompleteError{Cause: errors.Errorf("target refused attempt %q instead of attempt %q", got, attempt)}
}

// connectionError distinguishes a failed dial, after which nothing can have run, from a broken connection.
func connectionError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &ConnectError{Cause: err}
	}
	return &IncompleteError{Cause: err}
}

func statusError(resp *http.Response) error {
	stop := time.AfterFunc(errorBodyTimeout, func() { _ = resp.Body.Close() })
	defer stop.Stop()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	message := string(bytes.TrimSpace(body))
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return &OverloadedError{RetryAfter: retryAfter(resp.Header)}
	case http.StatusNotFound, http.StatusServiceUnavailable:
		return &NotReadyError{Message: message}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return &RejectedError{Status: resp.StatusCode, Message: message}
	default:
		return &IncompleteError{Cause: errors.Errorf("status %d: %s", resp.StatusCode, message)}
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Order sends an order and returns the status that the target reports for it.
func (c *Client) Order(ctx context.Context, address string, order targetapi.Order) (targetapi.OrderStatus, error) {
	var status targetapi.OrderStatus
	err := c.sendControl(ctx, address, targetapi.PathOrders, order, &status)
	return status, err
}

// Cancel asks a target to stop an attempt.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	return c.sendControl(ctx, address, targetapi.PathCancel, targetapi.Cancel{Version: targetapi.Version, AttemptID: attemptID}, nil)
}

func (c *Client) sendControl(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode control message")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request for the control message")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.pooled.Do(req)
	if err != nil {
		return connectionError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusConflict {
		return statusError(resp)
	}
	if out == nil || resp.StatusCode == http.StatusNoContent {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(out), "decode answer of the target")
}

// writeTrackingDial returns a dial function whose connections record that something was written, in the *atomic.Bool
// that the context holds under writtenKey. A failed call is known not to have run if no byte left this process. A plain service may end its
// answer with the connection, so that a reset must not look like a regular end.
func writeTrackingDial(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn = upstream.ReportResets(conn)
		if written, ok := ctx.Value(writtenKey{}).(*atomic.Bool); ok {
			return &writeTrackingConn{Conn: conn, written: written}, nil
		}
		return conn, nil
	}
}

type writtenKey struct{}

type writeTrackingConn struct {
	net.Conn
	written *atomic.Bool
}

// Write records the write before it is made, since a failed write may have sent some of the bytes.
func (c *writeTrackingConn) Write(p []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(p)
}
