package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
)

const echoHeader = "Request-Id"

// startServer calls serve for each connection that it accepts; the connections are numbered from 1.
func startServer(t *testing.T, serve func(conn net.Conn, r *bufio.Reader, number int)) (address string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(connections.Add(1))
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn), number)
			}()
		}
	}()
	return listener.Addr().String(), connections
}

func readRequest(r *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(request.Body)
	return request, string(body)
}

func writeAnswer(conn net.Conn, id, body string, extraHeaders ...string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n", echoHeader, id, len(body))
	_, _ = io.WriteString(conn, head+strings.Join(extraHeaders, "")+"\r\n"+body)
}

func newRequest(id string) *Request {
	return &Request{Method: "POST", URI: "/a?b=c", Host: "h", Header: http.Header{echoHeader: {id}}, Body: []byte("hello"), ID: id,
		EchoHeader: echoHeader, Deadline: time.Now().Add(5 * time.Second)}
}

func newClient() *Client { return New(Dialer(time.Second), metrics.NewRegistry()) }

func do(t *testing.T, c *Client, address, id string) (string, error) {
	t.Helper()
	a, err := c.Do(context.Background(), address, newRequest(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func asError(t *testing.T, err error) *Error {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("error %v is not an *Error", err)
	}
	return e
}

// Guards against a new connection for each request, and against a request whose method, URI, host or body changes.
func TestConnectionsAreReused(t *testing.T) {
	address, connections := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		for {
			req, body := readRequest(r)
			if req == nil {
				return
			}
			writeAnswer(conn, req.Header.Get(echoHeader), req.Method+req.RequestURI+req.Host+body)
		}
	})
	c := newClient()
	for i := range 3 {
		body, err := do(t, c, address, fmt.Sprint(i))
		if err != nil || body != "POST/a?b=chhello" {
			t.Fatalf("got body %q, error %v", body, err)
		}
	}
	if connections.Load() != 1 {
		t.Fatalf("got %d connections, want 1", connections.Load())
	}
}

// Guards against returning the answer to another request: a late answer that arrives in place of the next one, or bytes
// after a complete answer.
func TestForeignAnswersAreSkipped(t *testing.T) {
	address, connections := startServer(t, func(conn net.Conn, r *bufio.Reader, number int) {
		req, _ := readRequest(r)
		if req == nil {
			return
		}
		if number == 1 {
			writeAnswer(conn, "earlier", "not yours")
		}
		writeAnswer(conn, req.Header.Get(echoHeader), "yours", "")
		if number == 2 {
			writeAnswer(conn, req.Header.Get(echoHeader), "again")
		}
		_, _ = readRequest(r)
	})
	c := newClient()
	for i := range 3 {
		if body, err := do(t, c, address, fmt.Sprint("r", i)); err != nil || body != "yours" {
			t.Fatalf("request %d: got body %q, error %v", i, body, err)
		}
		time.Sleep(20 * time.Millisecond) // the second answer on connection 2 arrives while it is idle
	}
	if connections.Load() != 3 {
		t.Fatalf("got %d connections, want 3, since none of them may be reused", connections.Load())
	}
}

// Guards against a request on an idle connection that the target has closed, which might be lost or run twice.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		req, _ := readRequest(r)
		if req != nil {
			writeAnswer(conn, req.Header.Get(echoHeader), "ok")
		}
	})
	c := newClient()
	for i := range 3 {
		if _, err := do(t, c, address, fmt.Sprint(i)); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a truncated, malformed or missing answer that passes for complete, and against a wrong report of
// whether the request may have run.
func TestFailureClassification(t *testing.T) {
	cases := []struct {
		name  string
		serve func(conn net.Conn, r *bufio.Reader, number int)
		want  Failure
	}{
		{"closed without an answer", func(_ net.Conn, r *bufio.Reader, _ int) { readRequest(r) }, ConnectionBroken},
		{"not HTTP", func(conn net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(conn, "what is this\r\n\r\n")
		}, MalformedAnswer},
		{"no request ID", func(conn net.Conn, r *bufio.Reader, _ int) {
			readRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, MalformedAnswer},
		{"truncated body", func(conn net.Conn, r *bufio.Reader, _ int) {
			req, _ := readRequest(r)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 10\r\n\r\nhalf", echoHeader, req.Header.Get(echoHeader))
		}, ConnectionBroken},
		{"truncated chunked body", func(conn net.Conn, r *bufio.Reader, _ int) {
			req, _ := readRequest(r)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", echoHeader, req.Header.Get(echoHeader))
		}, ConnectionBroken},
		{"reset of a body without a length", func(conn net.Conn, r *bufio.Reader, _ int) {
			req, _ := readRequest(r)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nhalf", echoHeader, req.Header.Get(echoHeader))
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}, ConnectionBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, _ := startServer(t, c.serve)
			_, err := do(t, newClient(), address, "id")
			if got := asError(t, err); got.Failure != c.want || !got.Sent {
				t.Fatalf("got %+v, want failure %q of a request that may have run", got, c.want)
			}
		})
	}
}

// Guards against a request that is reported as sent although no connection was established.
func TestConnectFailureIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = do(t, newClient(), address, "id")
	if got := asError(t, err); got.Failure != ConnectFailed || got.Sent {
		t.Fatalf("got %+v, want a failed connect of a request that was not sent", got)
	}
}

// Guards against a request that continues after its deadline or after its context has ended.
func TestDeadlineAndCancel(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		readRequest(r)
		_, _ = r.ReadByte()
	})
	req := newRequest("id")
	req.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := newClient().Do(context.Background(), address, req)
	if got := asError(t, err); got.Failure != TimedOut {
		t.Fatalf("got %+v, want failure timed out", got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = newClient().Do(ctx, address, newRequest("id"))
	if got := asError(t, err); got.Failure != Cancelled {
		t.Fatalf("got %+v, want failure cancelled", got)
	}
}

// Guards against reusing a connection whose target answered before it had read the whole body: the rest of the body
// would take the place of the next request.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	address, connections := startServer(t, func(conn net.Conn, r *bufio.Reader, number int) {
		if number > 1 {
			req, _ := readRequest(r)
			writeAnswer(conn, req.Header.Get(echoHeader), "second")
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeAnswer(conn, req.Header.Get(echoHeader), "early")
		time.Sleep(200 * time.Millisecond)
	})
	c := newClient()
	req := newRequest("big")
	req.Body = make([]byte, 8<<20)
	a, err := c.Do(context.Background(), address, req)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a)
	a.Close()
	if err != nil || string(body) != "early" {
		t.Fatalf("got body %q, error %v", body, err)
	}
	if body, err := do(t, c, address, "next"); err != nil || body != "second" {
		t.Fatalf("got body %q, error %v", body, err)
	}
	if connections.Load() != 2 {
		t.Fatalf("got %d connections, want 2", connections.Load())
	}
}

// Guards against reusing an idle connection for longer than the target keeps it open.
func TestIdleTimeout(t *testing.T) {
	cases := map[string]time.Duration{
		"": defaultIdleTimeout, "timeout=5": 4500 * time.Millisecond, "max=3, Timeout=2": 1500 * time.Millisecond,
		"timeout=x": 0, "timeout=-1": 0, "timeout=0": -idleMargin,
	}
	for header, want := range cases {
		if got := idleTimeout(header); got != want {
			t.Errorf("Keep-Alive %q: got %v, want %v", header, got, want)
		}
	}
}
