package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against the end of a whole gateway, with the requests of all its callers, because targets send bytes that are no answer to many
// requests at once, each of them below what one request may hold: in an event, in a body that is buffered, in a head, or in answers to
// other requests.
func TestMemoryUnderManyEndlessAnswers(t *testing.T) {
	const (
		requests = 200
		// maxGrowth is half of the 0.6 that the runtime may use of the 184 MB of the smallest gateways.
		maxGrowth = 55 << 20
	)
	head := func(r *http.Request, more string) []byte {
		return []byte(responseHead(r, r.Header.Get(testHeaders.RequestID), more))
	}
	var fields strings.Builder
	for i := 0; fields.Len() < 60<<10; i++ {
		fmt.Fprintf(&fields, "a%x:\r\n", i)
	}
	// The targets share the slices that they write, so that these do not count. A string would be copied for each write, and a
	// write that blocks would hold its copy.
	event, body, foreign, rejection := []byte("data: "+strings.Repeat("x", 1_000_000)), bytes.Repeat([]byte("x"), 0x3e800),
		bytes.Repeat([]byte("x"), 890_000), bytes.Repeat([]byte("x"), 59_000)
	manyFields := []byte(fields.String())
	writeAll := func(conn net.Conn, parts ...[]byte) {
		for _, part := range parts {
			_, _ = conn.Write(part)
		}
	}
	for name, c := range map[string]struct {
		path  string
		write func(conn net.Conn, r *http.Request)
	}{
		"event": {"/long-stream/x", func(conn net.Conn, r *http.Request) {
			writeAll(conn, head(r, "Content-Type: text/event-stream\r\nConnection: close\r\n"), event)
		}},
		"body in chunks": {"/long-safe/x", func(conn net.Conn, r *http.Request) {
			writeAll(conn, head(r, "Transfer-Encoding: chunked\r\n"), []byte("3e800\r\n"), body, []byte("\r\n"))
		}},
		"body without a length": {"/long-once/x", func(conn net.Conn, r *http.Request) {
			writeAll(conn, head(r, "Connection: close\r\n"), body)
		}},
		"head": {"/long-safe/x", func(conn net.Conn, _ *http.Request) {
			writeAll(conn, []byte("HTTP/1.1 200 OK\r\n"), manyFields)
		}},
		"answer to another request": {"/long-safe/x", func(conn net.Conn, _ *http.Request) {
			writeAll(conn, []byte("HTTP/1.1 200 OK\r\n"+testHeaders.RequestID+": other\r\nContent-Length: 900000\r\n\r\n"), foreign)
		}},
		"rejection": {"/long-safe/x", func(conn net.Conn, _ *http.Request) {
			writeAll(conn, []byte("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 60000\r\n\r\n"), rejection)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			ended := make(chan struct{})
			for i := range 60 {
				for _, service := range []string{"plain", "engine"} {
					f.target(fmt.Sprint(service, i), service, func(conn net.Conn, r *http.Request, _ string) {
						c.write(conn, r)
						<-ended
						reset(conn)
					})
				}
			}
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var calls sync.WaitGroup
			for i := range requests {
				calls.Go(func() {
					if got := send(f.server.URL, fmt.Sprint("r", i), c.path, "Model: m", "Time-Left: 15000"); got.err == nil && got.status < 300 {
						t.Errorf("request %d got a success", i)
					}
				})
			}
			// Until all targets have stalled, garbage that is allocated during a collection counts as well.
			for last, started := int64(-1), time.Now(); time.Since(started) < 8*time.Second; last = int64(after.HeapAlloc) {
				time.Sleep(500 * time.Millisecond)
				runtime.GC()
				runtime.ReadMemStats(&after)
				if diff := int64(after.HeapAlloc) - last; last > 0 && max(diff, -diff) < 1<<20 {
					break
				}
			}
			close(ended)
			calls.Wait()
			growth := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			t.Logf("%d requests hold %.1f MB", requests, float64(growth)/(1<<20))
			if growth > maxGrowth {
				t.Errorf("%d requests hold %.1f MB, at most %d wanted", requests, float64(growth)/(1<<20), maxGrowth>>20)
			}
		})
	}
}
