package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// writeStream writes the headers of a stream, its events as chunks, and the last chunk if end is set.
func writeStream(conn net.Conn, r *http.Request, end bool, list ...string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), sealHeader)
	for _, e := range list {
		writeChunk(conn, e)
	}
	if end {
		writeChunk(conn, "")
	}
}

// writeChunk writes a chunk. An empty one is the last.
func writeChunk(conn net.Conn, data string) {
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// Guards against streams with missing, repeated or incomplete events, and against a broken-off stream that looks complete.
func TestStreams(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		f.target("t0", "engine", func(conn net.Conn, r *http.Request, _ string) { writeStream(conn, r, true, event(1), event(2)) })
		response, body, err := f.call("r1", "/stream/x", "Model: m")
		if err != nil || body != event(1)+event(2) || response.Header.Get("Seal") != "s" {
			t.Fatalf("body %q, error %v; want two events and a seal", body, err)
		}
	})
	t.Run("broken off", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		f.target("t0", "engine", func(conn net.Conn, r *http.Request, _ string) {
			writeStream(conn, r, false, event(1), "id: 2\nda")
			_ = conn.Close()
		})
		_, body, err := f.call("r1", "/stream/x", "Model: m")
		if err == nil || body != event(1) {
			t.Fatalf("body %q, error %v; want the first event and a broken connection", body, err)
		}
		if f.runCount("r1") != 1 {
			t.Fatalf("request ran %d times, want once", f.runCount("r1"))
		}
	})
	for _, lineEnd := range []string{"\n", "\r\n"} {
		t.Run(fmt.Sprintf("ends of events %q split between reads", lineEnd), func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			f.target("t0", "engine", func(conn net.Conn, r *http.Request, _ string) {
				writeStream(conn, r, false)
				for _, b := range []byte(strings.ReplaceAll(event(1), "\n", lineEnd)) {
					_, _ = fmt.Fprintf(conn, "1\r\n%c\r\n", b)
					time.Sleep(time.Millisecond)
				}
				_, _ = io.Copy(io.Discard, conn) // until the gateway gives up
			})
			_, body, err := f.call("r1", "/stream/x", "Model: m")
			if want := strings.ReplaceAll(event(1), "\n", lineEnd); err == nil || body != want {
				t.Fatalf("body %q, error %v; want the event before the stream is broken off", body, err)
			}
		})
	}
	t.Run("resumed", func(t *testing.T) {
		f := newFixture(t)
		f.configure()
		serve := func(conn net.Conn, r *http.Request, _ string) {
			if r.Header.Get(testHeaders.LastEvent) == "1" {
				writeStream(conn, r, true, event(2), event(3))
				return
			}
			writeStream(conn, r, false, event(1), "id: 2\nda")
			_ = conn.Close()
		}
		f.target("t0", "engine", serve)
		f.target("t1", "engine", serve)
		_, body, err := f.call("r1", "/resumed/x", "Model: m")
		if err != nil || body != event(1)+event(2)+event(3) {
			t.Fatalf("body %q, error %v; want events 1 to 3", body, err)
		}
	})
}

// Guards against a stream that broke off and looks complete to a caller that speaks HTTP/1.0, for which an answer ends with its connection.
func TestBrokenStreamOfOldCallerIsReset(t *testing.T) {
	for name, broken := range map[string]bool{"broken off": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			f.target("t0", "engine", func(conn net.Conn, r *http.Request, _ string) {
				writeStream(conn, r, !broken, event(1))
				if broken {
					reset(conn)
				}
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /stream/x HTTP/1.0\r\nHost: h\r\n%s: r1\r\nModel: m\r\nContent-Length: 4\r\n\r\nwork", testHeaders.RequestID)
			answer, err := io.ReadAll(conn)
			if broken != (err != nil) || !broken && !strings.HasSuffix(string(answer), "\r\n\r\n"+event(1)) {
				t.Errorf("answer %q, error %v", answer, err)
			}
		})
	}
}
