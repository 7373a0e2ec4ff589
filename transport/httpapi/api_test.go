package httpapi_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// backend is a fake that answers calls with the functions in its fields.
type backend struct {
	httpapi.OperatorBackend
	chat    func(ctx context.Context, call httpapi.ChatCall, out httpapi.EventWriter) *api.Result
	service func(call httpapi.ServiceCall) (*httpapi.ServiceAnswer, *api.Result)
	ready   bool
}

func (b *backend) Chat(ctx context.Context, call httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
	return b.chat(ctx, call, out)
}
func (b *backend) Models(string) api.ModelList { return api.ModelList{Object: "list"} }
func (b *backend) CallService(_ context.Context, call httpapi.ServiceCall) (*httpapi.ServiceAnswer, *api.Result) {
	return b.service(call)
}
func (b *backend) Announce(a targetapi.Announcement) error { return a.Check() }
func (b *backend) CacheEvents(targetapi.CacheEvents) error { return nil }
func (b *backend) Ready() bool                             { return b.ready }
func (b *backend) Metrics() any                            { return map[string]int{} }

const chunk = `{"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`

func sendTokens(n int) func(context.Context, httpapi.ChatCall, httpapi.EventWriter) *api.Result {
	return func(_ context.Context, _ httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
		for i := range n {
			if err := out.WriteEvent(i, []byte(chunk)); err != nil {
				return api.Fail(api.ReasonStreamBroken, api.RetryNow, err.Error())
			}
		}
		return &api.Result{Outcome: api.Answered}
	}
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newHandler(b *backend, s *settings.Settings) http.Handler {
	if s == nil {
		s = &settings.Settings{Instance: "a1"}
	}
	return httpapi.New(s, b, intake.New(intake.Options{})).Handler()
}

func do(h http.Handler, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

const chatRequestBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"?"}]}`

// Guards against invalid requests that reach the backend, or whose refusal lacks a reason code or a message.
func TestInvalidRequestsAreRefused(t *testing.T) {
	secured := &settings.Settings{Instance: "a1", Callers: []settings.Identity{{Name: "crew", TokenSHA256: tokenHash("secret")}}}
	for _, test := range []struct {
		name, method, path, body string
		header                   map[string]string
		settings                 *settings.Settings
		status                   int
		reason                   api.Reason
	}{
		{name: "malformed JSON", method: "POST", path: "/v1/chat/completions", body: `{"model":`, status: 400, reason: api.ReasonMalformedRequest},
		{name: "no messages", method: "POST", path: "/v1/chat/completions", body: `{"model":"m"}`, status: 400, reason: api.ReasonMalformedRequest},
		{name: "negative limit", method: "POST", path: "/v1/chat/completions", body: `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"?"}]}`, status: 400, reason: api.ReasonMalformedRequest},
		{name: "oversized body", method: "POST", path: "/v1/chat/completions", body: strings.Repeat("x", httpapi.MaxBodyBytes+1), status: 413, reason: api.ReasonBodyTooLarge},
		{name: "bad deadline", method: "POST", path: "/v1/chat/completions", body: chatRequestBody, header: map[string]string{api.HeaderDeadlineMs: "soon"}, status: 400, reason: api.ReasonMalformedRequest},
		{name: "bad priority", method: "POST", path: "/v1/chat/completions", body: chatRequestBody, header: map[string]string{api.HeaderPriority: "first"}, status: 400, reason: api.ReasonMalformedRequest},
		{name: "no token", method: "POST", path: "/v1/chat/completions", body: chatRequestBody, settings: secured, status: 401, reason: api.ReasonUnauthenticated},
		{name: "wrong token", method: "POST", path: "/v1/chat/completions", body: chatRequestBody, settings: secured, header: map[string]string{"Authorization": "Bearer guess"}, status: 401, reason: api.ReasonUnauthenticated},
		{name: "long idempotency key", method: "POST", path: "/services/desk/x", header: map[string]string{api.HeaderIdempotencyKey: strings.Repeat("k", 300)}, status: 400, reason: api.ReasonMalformedRequest},
		{name: "announcement without capacity", method: "POST", path: targetapi.PathAnnounce, body: `{"version":1,"target":"e","incarnation":1,"data_centre":"a","address":"x","kind":"engine"}`, status: 400, reason: api.ReasonMalformedRequest},
		{name: "oversized announcement", method: "POST", path: targetapi.PathAnnounce, body: strings.Repeat(" ", targetapi.MaxAnnouncementBytes+1), status: 413, reason: api.ReasonBodyTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &backend{chat: func(context.Context, httpapi.ChatCall, httpapi.EventWriter) *api.Result {
				t.Error("the request reached the backend")
				return &api.Result{Outcome: api.Answered}
			}}
			w := do(newHandler(b, test.settings), test.method, test.path, test.body, test.header)
			var body api.ErrorBody
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if w.Code != test.status || body.Error.Code != test.reason || w.Header().Get(api.HeaderOutcome) != string(api.Refused) || body.Error.Message == "" {
				t.Errorf("got status %d, error %+v", w.Code, body.Error)
			}
		})
	}
}

// Guards against a client that chooses its caller name with a header although tokens are configured.
func TestTokenDeterminesCallerName(t *testing.T) {
	secured := &settings.Settings{Instance: "a1", Callers: []settings.Identity{{Name: "crew", TokenSHA256: tokenHash("secret")}}}
	got := ""
	b := &backend{chat: func(_ context.Context, call httpapi.ChatCall, _ httpapi.EventWriter) *api.Result {
		got = call.Caller
		return &api.Result{Outcome: api.Answered}
	}}
	do(newHandler(b, secured), "POST", "/v1/chat/completions", chatRequestBody,
		map[string]string{"Authorization": "Bearer secret", api.HeaderCaller: "somebody"})
	if got != "crew" {
		t.Errorf("got caller %q, want crew", got)
	}
}

// Guards against a stream that ends without an error event after a failure, and against a refusal with status 200.
func TestStreamEndsWithMarkerOrError(t *testing.T) {
	broken := api.Fail(api.ReasonStreamBroken, api.RetryAfter, "target lost")
	for _, test := range []struct {
		name   string
		tokens int
		result *api.Result
		status int
		last   string
	}{
		{"answered", 2, &api.Result{Outcome: api.Answered}, 200, "data: [DONE]\n\n"},
		{"empty answer", 0, &api.Result{Outcome: api.Answered}, 200, "data: [DONE]\n\n"},
		{"broken after tokens", 2, broken, 200, `"request_id":"r"}}` + "\n\n"},
		{"refused before tokens", 0, api.RefuseWithRetry(api.ReasonOverShare, 1500*time.Millisecond, "later"), 429, "}\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &backend{chat: func(ctx context.Context, call httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
				sendTokens(test.tokens)(ctx, call, out)
				return test.result
			}}
			w := do(newHandler(b, nil), "POST", "/v1/chat/completions", chatRequestBody, map[string]string{api.HeaderRequestID: "r"})
			if w.Code != test.status || !strings.HasSuffix(w.Body.String(), test.last) {
				t.Errorf("got status %d, body %s", w.Code, w.Body)
			}
			if test.result == broken && !strings.Contains(w.Body.String(), "event: error\n") {
				t.Errorf("no error event in body %s", w.Body)
			}
			if test.status == 429 && (w.Header().Get("Retry-After") != "2" || w.Header().Get(api.HeaderRepeatAfterMs) != "1500") {
				t.Errorf("wrong retry headers in %v", w.Header())
			}
		})
	}
}

// Guards against go-restful rejecting a request for its Accept header or for its missing Content-Type.
func TestAnyAcceptHeaderIsAccepted(t *testing.T) {
	for _, accept := range []string{"", "*/*", "text/event-stream", "application/json"} {
		w := do(newHandler(&backend{chat: sendTokens(1)}, nil), "POST", "/v1/chat/completions", chatRequestBody, map[string]string{"Accept": accept})
		if w.Code != http.StatusOK {
			t.Errorf("Accept %q: status %d", accept, w.Code)
		}
	}
}

// Guards against service calls that lose their path, query or idempotency key, or that pass the caller's token on to
// the service.
func TestServiceCallIsForwarded(t *testing.T) {
	var got httpapi.ServiceCall
	b := &backend{service: func(call httpapi.ServiceCall) (*httpapi.ServiceAnswer, *api.Result) {
		got = call
		return &httpapi.ServiceAnswer{ServiceAnswer: targetclient.ServiceAnswer{Status: 201, ContentType: "text/plain", Body: []byte("ok")}, Replayed: true},
			&api.Result{Outcome: api.Answered}
	}}
	w := do(newHandler(b, nil), "PUT", "/services/desk/hauls/7%2F8?x=1", "body", map[string]string{
		api.HeaderIdempotencyKey: "k", api.HeaderCaller: "crew", "Authorization": "Bearer secret"})
	if got.Service != "desk" || got.Call.PathAndQuery != "/hauls/7%2F8?x=1" || got.IdempotencyKey != "k" || string(got.Call.Body) != "body" {
		t.Errorf("wrong call forwarded: %+v", got)
	}
	if got.Call.Header.Get("Authorization") != "" {
		t.Error("the token was forwarded")
	}
	if w.Code != 201 || w.Body.String() != "ok" || w.Header().Get(api.HeaderReplayed) == "" {
		t.Errorf("got status %d, body %s, headers %v", w.Code, w.Body, w.Header())
	}
}

// pipeListener accepts in-memory connections, so that the server runs under the fake clock of synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// serve runs a server in the synctest bubble of the test until runClient returns.
func serve(t *testing.T, b *backend, runClient func(l *pipeListener)) {
	t.Helper()
	l := newPipeListener()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() {
		served <- httpapi.New(&settings.Settings{Instance: "a1"}, b, intake.New(intake.Options{})).Serve(ctx, l)
	}()
	runClient(l)
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Guards against connections that stay open for ever because the client never completes the headers or the body.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	for name, text := range map[string]string{
		"headers": "POST /v1/chat/completions HTTP/1.1\r\nHost: a",
		"body":    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &backend{chat: func(context.Context, httpapi.ChatCall, httpapi.EventWriter) *api.Result {
					t.Error("an incomplete request reached the backend")
					return &api.Result{Outcome: api.Answered}
				}}
				serve(t, b, func(l *pipeListener) {
					conn := l.dial()
					go func() { _, _ = io.WriteString(conn, text) }()
					answer, _ := io.ReadAll(conn) // returns when the server closes the connection
					if name == "body" && !strings.Contains(string(answer), string(api.ReasonMalformedRequest)) {
						t.Errorf("got answer %q, want reason malformed_request", answer)
					}
				})
			})
		})
	}
}

// Guards against a caller that stops reading and so blocks its stream and the target's slot for ever.
func TestSlowReaderEndsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := make(chan *api.Result, 1)
		b := &backend{chat: func(ctx context.Context, call httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
			r := sendTokens(1000)(ctx, call, out)
			result <- r
			return r
		}}
		serve(t, b, func(l *pipeListener) {
			conn := l.dial()
			sendChatRequest(t, conn)
			if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			if r := <-result; r.Outcome != api.Failed || r.Reason != api.ReasonStreamBroken {
				t.Errorf("got result %+v, want a failure with reason stream_broken", r)
			}
			_ = conn.Close()
		})
	})
}

// Guards against a call that continues after its caller has closed the connection, and against a long stream that the
// deadline for reading the request body cuts off.
func TestDisconnectEndsCallAndLongStreamCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 2)
		b := &backend{chat: func(ctx context.Context, _ httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
			for i := range 10 {
				if err := out.WriteEvent(i, []byte(chunk)); err != nil {
					ended <- errors.Wrap(err, "write event")
					return api.Fail(api.ReasonStreamBroken, api.RetryNow, err.Error())
				}
				select {
				case <-time.After(time.Minute):
				case <-ctx.Done():
					ended <- ctx.Err()
					return api.Fail(api.ReasonTimeout, api.RetryNow, "the caller disconnected")
				}
			}
			ended <- nil
			return &api.Result{Outcome: api.Answered}
		}}
		serve(t, b, func(l *pipeListener) {
			conn := l.dial()
			sendChatRequest(t, conn)
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			if err := <-ended; err != nil {
				t.Errorf("a stream of ten minutes ended with %v", err)
			}
			_ = conn.Close()
			conn = l.dial()
			sendChatRequest(t, conn)
			if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			_ = conn.Close()
			if err := <-ended; err == nil {
				t.Error("the call continued after its caller disconnected")
			}
		})
	})
}

func sendChatRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://a/v1/chat/completions", strings.NewReader(chatRequestBody))
	if err != nil {
		t.Fatal(err)
	}
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
}
