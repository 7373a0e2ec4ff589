package targetclient_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// Guards against an error type that claims an attempt did not run although it may have: only a refusal by the target or
// a failed dial proves that. Guards also against a stream without an end marker that passes for complete.
func TestStreamErrorTypes(t *testing.T) {
	const event = "id: 0\ndata: {}\n\n"
	for _, test := range []struct {
		name    string
		status  int
		attempt string
		body    string
		want    any
	}{
		{"complete", 200, "a", event + "data: [DONE]\n\n", nil},
		{"no end marker", 200, "a", event, new(*targetclient.IncompleteError)},
		{"error event", 200, "a", event + "event: error\ndata: {}\n\n", new(*targetclient.IncompleteError)},
		{"answer to another attempt", 200, "b", event + "data: [DONE]\n\n", new(*targetclient.IncompleteError)},
		{"event without offset", 200, "a", "data: {}\n\n", new(*targetclient.IncompleteError)},
		{"overloaded", 429, "a", "", new(*targetclient.OverloadedError)},
		{"not ready", 404, "a", "", new(*targetclient.NotReadyError)},
		{"rejected", 400, "a", "", new(*targetclient.RejectedError)},
		{"internal error", 500, "a", "", new(*targetclient.IncompleteError)},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(targetapi.HeaderAttemptID, test.attempt)
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			attempt := targetclient.Attempt{Address: strings.TrimPrefix(server.URL, "http://"), AttemptID: "a"}
			err := targetclient.New().Stream(context.Background(), attempt, func(targetclient.Event) error { return nil })
			if test.want == nil {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if !errors.As(err, test.want) {
				t.Errorf("got error %T %v", err, err)
			}
		})
	}
	err := targetclient.New().Stream(context.Background(), targetclient.Attempt{Address: unusedAddress(t)}, nil)
	var connectErr *targetclient.ConnectError
	if !errors.As(err, &connectErr) {
		t.Errorf("closed port: got error %T %v, want ConnectError", err, err)
	}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against net/http resending a non-idempotent call by itself, which it does for requests with an idempotency key
// when a reused connection breaks.
func TestServiceCallIsSentOnce(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			return
		}
		// The second call is read and then its connection breaks, as if the service had crashed while it handled the call.
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	client := targetclient.New()
	call := targetclient.ServiceCall{
		Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodPost, PathAndQuery: "/x",
		Header: http.Header{api.HeaderIdempotencyKey: {"k"}},
	}
	if _, _, err := client.CallService(context.Background(), call); err != nil {
		t.Fatal(err)
	}
	_, sent, err := client.CallService(context.Background(), call)
	if err == nil || !sent {
		t.Errorf("broken connection: got sent %t, error %v; want true and an error", sent, err)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("the service received %d requests, want 2", n)
	}
}

// Guards against a call that is reported as sent although no byte left this process, and the reverse.
func TestServiceCallReportsWhetherItWasSent(t *testing.T) {
	_, sent, err := targetclient.New().CallService(context.Background(), targetclient.ServiceCall{Address: unusedAddress(t), Method: "POST", PathAndQuery: "/"})
	if err == nil || sent {
		t.Errorf("closed port: got sent %t, error %v; want false and an error", sent, err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, strings.Repeat("x", targetclient.MaxServiceAnswerBytes+1))
	}))
	defer server.Close()
	_, sent, err = targetclient.New().CallService(context.Background(), targetclient.ServiceCall{
		Address: strings.TrimPrefix(server.URL, "http://"), Method: "POST", PathAndQuery: "/"})
	if err == nil || !sent {
		t.Errorf("answer that is too large: got sent %t, error %v; want true and an error", sent, err)
	}
}

// Guards against a refused attempt that waits for the rest of a refusal, while another target could run it.
func TestRefusalWithoutEndIsReturnedInTime(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusTooManyRequests)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	attempt := targetclient.Attempt{Address: strings.TrimPrefix(server.URL, "http://"), AttemptID: "a"}
	started := time.Now()
	err := targetclient.New().Stream(ctx, attempt, func(targetclient.Event) error { return nil })
	if overloaded := new(targetclient.OverloadedError); !errors.As(err, &overloaded) || overloaded.RetryAfter != 7*time.Second {
		t.Errorf("got error %T %v, want one of an overloaded target", err, err)
	}
	if took := time.Since(started); took > 500*time.Millisecond {
		t.Errorf("returned after %v", took)
	}
}

// Guards against an answer that goes on at a target of another software version, also one that does not check the version.
func TestResumedAnswerKeepsItsSoftwareVersion(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(targetapi.HeaderAttemptID, r.Header.Get(targetapi.HeaderAttemptID))
		w.Header().Set(targetapi.HeaderSoftwareVersion, "v2")
		_, _ = io.WriteString(w, "id: 3\ndata: {}\n\ndata: [DONE]\n\n")
	}))
	defer server.Close()
	for _, test := range []struct {
		offset  int
		version string
		allowed bool
	}{{0, "", true}, {3, "v2", true}, {3, "v1", false}, {3, "", false}} {
		attempt := targetclient.Attempt{Address: strings.TrimPrefix(server.URL, "http://"), AttemptID: "a", Offset: test.offset, SoftwareVersion: test.version}
		var versions []string
		err := targetclient.New().Stream(context.Background(), attempt, func(e targetclient.Event) error {
			versions = append(versions, e.SoftwareVersion)
			return nil
		})
		var otherVersion *targetclient.OtherVersionError
		switch {
		case test.allowed && (err != nil || len(versions) == 0 || versions[0] != "v2"):
			t.Errorf("offset %d, version %q: events of versions %q, error %v; want events of v2", test.offset, test.version, versions, err)
		case !test.allowed && (!errors.As(err, &otherVersion) || len(versions) > 0):
			t.Errorf("offset %d, version %q: events of versions %q, error %v; want an OtherVersionError", test.offset, test.version, versions, err)
		}
	}
}

// Guards against an earlier refusal that a target writes once more on a kept connection, and that says of a running attempt that it did
// not run.
func TestRepeatedRefusalDoesNotProveThatTheAttemptDidNotRun(t *testing.T) {
	for _, test := range []struct {
		name, echo string // echo is the attempt that the refusal names; empty for none
		first      bool   // on the connection
		proven     bool
	}{
		{"its own", "a", false, true}, {"first without an id", "", true, true}, {"without an id", "", false, false}, {"of another attempt", "b", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			refuse := test.first
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !refuse {
					refuse = true
					w.Header().Set(targetapi.HeaderAttemptID, r.Header.Get(targetapi.HeaderAttemptID))
					_, _ = io.WriteString(w, "id: 0\ndata: {}\n\ndata: [DONE]\n\n")
					return
				}
				if test.echo != "" {
					w.Header().Set(targetapi.HeaderAttemptID, test.echo)
				}
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusTooManyRequests)
			}))
			defer server.Close()
			client := targetclient.New()
			attempt := targetclient.Attempt{Address: strings.TrimPrefix(server.URL, "http://"), AttemptID: "a"}
			send := func() error {
				return client.Stream(context.Background(), attempt, func(targetclient.Event) error { return nil })
			}
			if !test.first {
				if err := send(); err != nil {
					t.Fatal(err)
				}
			}
			err := send()
			var overloaded *targetclient.OverloadedError
			var unproven *targetclient.UnprovenError
			var incomplete *targetclient.IncompleteError
			if proven := errors.As(err, &overloaded) && !errors.As(err, &unproven) && !errors.As(err, &incomplete); proven != test.proven {
				t.Errorf("error %T %v proves that the attempt did not run: %v, want %v", err, err, proven, test.proven)
			}
		})
	}
}

// Guards against a faulty target that fills the memory of an instance with a head without end: each request would keep ten MB of it.
func TestEndlessHeadIsBrokenOff(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var written atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				var n int
				n, err = io.WriteString(conn, "X-Line: "+strings.Repeat("x", 1<<10)+"\r\n")
				written.Add(int64(n))
			}
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	attempt := targetclient.Attempt{Address: listener.Addr().String(), AttemptID: "a"}
	if err := targetclient.New().Stream(ctx, attempt, func(targetclient.Event) error { return nil }); err == nil {
		t.Error("an endless head was taken for an answer")
	}
	// The buffers of the sockets take some MB that nobody reads.
	if n := written.Load(); n > 6<<20 {
		t.Errorf("the target could write %d bytes", n)
	}
}
