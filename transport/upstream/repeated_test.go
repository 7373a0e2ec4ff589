package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
	"unsafe"
)

const refusedHeader = "Not-Run"

// writeRefusal writes an answer that says that the request did not run, with the id of the request unless that is empty.
func writeRefusal(conn net.Conn, id string) {
	echo := ""
	if id != "" {
		echo = echoHeader + ": " + id + "\r\n"
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\n"+echo+refusedHeader+": 1\r\nContent-Length: 0\r\n\r\n")
}

func isRefusal(r *http.Response) bool { return r.Header.Get(refusedHeader) != "" }

// doRefusable sends a request whose refusal need not echo its id, and returns the status of the answer.
func doRefusable(c *Client, address, id string) (status int, err error) {
	r := newRequest(id)
	r.AcceptUnechoed = isRefusal
	r.Deadline = time.Now().Add(time.Second)
	a, err := c.Do(context.Background(), address, r)
	if err != nil {
		return 0, err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a)
	return a.StatusCode, err
}

// Guards against an earlier refusal that a target writes once more on a kept connection, and that is taken for the refusal of a
// request which the target runs.
func TestRepeatedRefusalIsNotTakenForAnother(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second string // ids of the requests
		repeated      string // id in the repeated refusal
	}{
		{"of another request", "r1", "r2", "r1"},
		{"of the same request, sent again", "r1", "r1", "r1"},
		{"without an id", "r1", "r2", ""},
		{"without an id, sent again", "r1", "r1", ""},
	} {
		for _, late := range []time.Duration{0, 50 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, after %v", c.name, late), func(t *testing.T) {
				address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, number int) {
					request, _ := readRequest(r)
					if request == nil {
						return
					}
					if number > 1 {
						writeAnswer(conn, c.second, "ran")
						_, _ = readRequest(r)
						return
					}
					writeRefusal(conn, c.first)
					if request, _ = readRequest(r); request == nil {
						return // the connection is not used again
					}
					time.Sleep(late)
					writeRefusal(conn, c.repeated)
					writeAnswer(conn, c.second, "ran")
					_, _ = readRequest(r)
				})
				client := newClient()
				if status, err := doRefusable(client, address, c.first); err != nil || status != 503 {
					t.Fatalf("first request: status %d, error %v", status, err)
				}
				status, err := doRefusable(client, address, c.second)
				if err == nil && status != 200 {
					t.Errorf("status %d for a request that ran, want its answer or none", status)
				}
				if err != nil && !asError(t, err).Sent {
					t.Errorf("error %v says that a request that ran was not sent", err)
				}
			})
		}
	}
}

// Guards against a refusal without an id that counts for nothing on a new connection, where it can't be an earlier one.
func TestRefusalWithoutIDOnNewConnection(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		if request, _ := readRequest(r); request != nil {
			writeRefusal(conn, "")
		}
	})
	if status, err := doRefusable(newClient(), address, "r1"); err != nil || status != 503 {
		t.Errorf("status %d, error %v; want the refusal", status, err)
	}
}

// Guards against connections to targets that hold the long ids of the requests that they have carried.
func TestConnectionsDoNotKeepLongIDs(t *testing.T) {
	c := &conn{}
	long := strings.Repeat("x", 16_000)
	for i := range 2 * maxAnswered {
		c.recordAnswered(fmt.Sprint(i, long))
	}
	for i := range 2 * maxAnswered {
		if got, want := c.hasAnswered(fmt.Sprint(i, long)), i >= maxAnswered; got != want {
			t.Errorf("request %d: answered on the connection is %v, want %v", i, got, want)
		}
	}
	if c.hasAnswered(long) {
		t.Error("another request was answered on the connection")
	}
	if size := unsafe.Sizeof(*c); size > 512 {
		t.Errorf("a connection takes %d bytes beside its buffers, want 512 at most", size)
	}
}
