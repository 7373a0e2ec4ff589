package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// encodeAfterInterim frames an answer that follows an informational one, and returns its head and what comes after it. The headers of its
// framing come last.
func encodeAfterInterim(id, framing, mediaType, body string) (head, rest string) {
	head = fmt.Sprintf("HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nContent-Type: %s\r\n", testHeaders.RequestID, id, sealHeader, mediaType)
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body
	case "chunks":
		return head + "Transfer-Encoding: chunked\r\n\r\n",
			fmt.Sprintf("10\r\n%s\r\n%x\r\n%s\r\n0\r\nChecksum: 17\r\n\r\n", body[:16], len(body)-16, body[16:])
	}
	return head + "Connection: close\r\n\r\n", body
}

// endings are the ways in which a target ends a connection.
var endings = []struct {
	name string
	end  func(conn *net.TCPConn)
}{
	{"close", func(conn *net.TCPConn) { _ = conn.Close() }},
	{"half close", func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn); _ = conn.Close() }},
	{"reset", func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
}

// cutTarget answers whole, or up to a byte and then ends the connection.
type cutTarget struct {
	mu           sync.Mutex
	framing      string
	at           int // the byte, or -1 for a whole answer
	end          func(conn *net.TCPConn)
	keep         bool     // the connection of a whole answer stays open
	usedBy       net.Conn // of the latest whole answer
	cutOnKept    bool     // the latest cut was played on it
	body, medium string
}

func (c *cutTarget) serve(conn net.Conn, r *http.Request, _ string) {
	c.mu.Lock()
	at, keep, end := c.at, c.keep, c.end
	c.at = -1
	raw := conn.(*closeTrackingConn).Conn
	if at >= 0 {
		c.cutOnKept = raw == c.usedBy
	}
	c.usedBy = raw
	c.mu.Unlock()
	id := r.Header.Get(testHeaders.RequestID)
	if at >= 0 {
		head, rest := encodeAfterInterim(id, c.framing, c.medium, c.body)
		_, _ = io.WriteString(conn, (head + rest)[:at])
		end(raw.(*net.TCPConn))
		_ = conn.Close()
		return
	}
	rest := c.body
	if last := r.Header.Get(testHeaders.LastEvent); last != "" {
		_, rest, _ = strings.Cut(c.body, "id: "+last+"\n")
		_, rest, _ = strings.Cut(rest, "\n\n")
	}
	option := "close"
	if keep {
		option = "keep-alive"
	}
	respond(conn, r, http.StatusOK, rest, sealHeader, "Content-Type: "+c.medium, "Connection: "+option)
	if !keep {
		_ = conn.Close()
	}
}

// Guards against a success that is not the target's whole answer after the target has stopped at any byte of an informational answer, its
// head, a chunk or a trailer: a shortened length, a lost framing, or an empty body that looks whole. The endings and the connections
// alternate here from byte to byte; TestAnswerCutAtAnyByte of package upstream has all combinations.
func TestAnswerCutAtAnyByte(t *testing.T) {
	for i, path := range []string{"/safe/", "/once/", "/stream/", "/resumed/"} {
		for j, framing := range []string{"length", "chunks", "neither"} {
			t.Run(fmt.Sprintf("%s, %s", path, framing), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.configure()
				target := &cutTarget{framing: framing, at: -1, body: "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", medium: "text/plain"}
				service := "plain"
				if path == "/stream/" || path == "/resumed/" {
					target.medium, service = "text/event-stream", "engine"
				}
				f.target("t0", service, target.serve)
				head, rest := encodeAfterInterim("cut-000", framing, target.medium, target.body)
				answered := 0
				for at := range len(head+rest) + 1 {
					ending := endings[(at+i)%len(endings)]
					kept := (at/len(endings)+i+j)%2 == 1
					if f.cutOnce(t, path, target, at, ending.name, ending.end, kept, len(head)) {
						answered++
					}
				}
				if repeatable := path == "/safe/" || path == "/resumed/"; repeatable && answered < len(head) {
					t.Errorf("%d of %d requests that may be sent again were answered", answered, len(head+rest)+1)
				}
			})
		}
	}
}

// cutOnce plays one cut, on a kept connection or a new one, and reports whether the request was answered.
func (f *fixture) cutOnce(t *testing.T, path string, target *cutTarget, at int, ending string, end func(*net.TCPConn), kept bool, headLen int) bool {
	t.Helper()
	const tries = 10
	for try := range tries {
		f.gateway.client.CloseIdle(time.Now(), func(string) bool { return false })
		target.mu.Lock()
		target.keep, target.end = kept, end
		target.mu.Unlock()
		if kept {
			id := fmt.Sprintf("first-%d-%d", at, try)
			response, got, err := f.call(id, path+id, "Model: m")
			if unreachable(response, err) {
				continue
			}
			if err != nil || got != target.body {
				t.Fatalf("before the cut at %d: answer %v, body %q, error %v", at, response, got, err)
			}
			waitFor(t, func() bool { return f.gateway.client.HasIdle(time.Now(), f.listeners[0].Addr().String()) })
		}
		target.mu.Lock()
		target.at = at
		target.mu.Unlock()
		id := fmt.Sprintf("cu%d-%03d", try, at)
		response, got, err := f.call(id, path+id, "Model: m")
		target.mu.Lock()
		played, onKept := target.at < 0, target.cutOnKept
		target.mu.Unlock()
		if !played && unreachable(response, err) {
			continue
		}
		if !played {
			t.Fatalf("cut at %d: not played, answer %v, error %v", at, response, err)
		}
		answered := err == nil && response.StatusCode < 300
		wholeByEnd := target.framing == "neither" && ending != "reset" && at >= headLen
		// "A replica's answer may have no length and end with its connection; one that is reset on the way isn't complete."
		if answered && (response.Header.Get("Seal") == "" || got != target.body && !(wholeByEnd && strings.HasPrefix(target.body, got))) {
			t.Errorf("cut at %d by a %s, kept connection %v: a complete answer %q, want %q", at, ending, onKept, got, target.body)
		}
		if onKept == kept {
			return answered
		}
		// The gateway checks targets that broke off by a connection, which it keeps. One that comes late is used in place of the kept one.
	}
	t.Errorf("cut at %d: not played on the connection that it is for in %d tries", at, tries)
	return false
}

// unreachable reports whether a request was refused because the only target is unreachable, after it has waited until the target is
// probed again. On a machine without processor time to spare, a connection to the target can take longer than the gateway waits for it.
func unreachable(response *http.Response, err error) bool {
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	time.Sleep(time.Second)
	return true
}

// Guards against a status that no answer can have: relayed, it made the handler panic, so that the caller of a request that may be sent again
// was cut, it passed a change of the protocol on to the caller, it reached the caller (above 599), or the gateway waited for another answer until
// the deadline (1xx).
func TestImpossibleStatusIsNotRelayed(t *testing.T) {
	for _, status := range []string{"000", "099", "100", "101", "199", "600", "999", "2000", "+20", "-20", "abc", "2 00"} {
		f := newFixture(t)
		f.configure()
		for i := range 2 {
			f.target(fmt.Sprint("t", i), "plain", func(conn net.Conn, r *http.Request, body string) {
				if f.runCount(r.Header.Get(testHeaders.RequestID)) > 1 {
					answerOK(conn, r, body)
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: %s\r\n%s\r\nX: y\r\nContent-Length: 4\r\n\r\nleak", status, testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), sealHeader)
			})
		}
		if response, body, err := f.call("safe", "/safe/x"); err != nil || response.StatusCode != http.StatusOK || body != "did work" {
			t.Errorf("status %s, request that may be sent again: answer %v, body %q, error %v", status, response, body, err)
		}
		response, body, err := f.call("once", "/once/x")
		if err != nil || response.StatusCode != http.StatusBadGateway || body != "" || response.Header.Get("Seal") != "" || response.Header.Get("X") != "" {
			t.Errorf("status %s, request that may run once: answer %v, body %q, error %v; want 502 and nothing of the target", status, response, body, err)
		}
	}
}
