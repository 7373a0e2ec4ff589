package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against bytes from a target that make the client panic or hang, or that it returns as the answer to another
// request.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nyes"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("\x00\x01\x02"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	replies := make(chan []byte, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, _ := readRequest(bufio.NewReader(conn)); request != nil {
				_, _ = conn.Write(<-replies)
			}
			_ = conn.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, reply []byte) {
		client := newClient()
		replies <- reply
		r := newRequest("r1")
		r.Deadline = time.Now().Add(2 * time.Second)
		a, err := client.Do(context.Background(), listener.Addr().String(), r)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("error %v is not an *Error", err)
			}
			if !e.Sent {
				t.Fatalf("error %v is reported as not sent, although the target read the request", err)
			}
			return
		}
		defer a.Close()
		if got := a.Header.Get(echoHeader); got != "r1" {
			t.Fatalf("got the answer to request %q for request r1", got)
		}
		if n, err := io.Copy(io.Discard, a); n > int64(len(reply)) {
			t.Fatalf("read a body of %d bytes from a reply of %d bytes, error %v", n, len(reply), err)
		}
	})
}
