package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// targetBehaviour is how a target handles a request.
type targetBehaviour struct {
	name string
	runs bool
	do   func(conn net.Conn, r *http.Request)
}

func responseHead(r *http.Request, id, moreHeaders string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s\r\n", testHeaders.RequestID, id, sealHeader+"\r\n", moreHeaders)
}

// completeBody returns the complete body of the answer to r. A resumed stream starts after the last event.
func completeBody(r *http.Request) string {
	switch {
	case strings.HasPrefix(r.URL.Path, "/safe/"), strings.HasPrefix(r.URL.Path, "/once/"):
		return "did " + r.Header.Get(testHeaders.RequestID)
	case r.Header.Get(testHeaders.LastEvent) != "":
		return event(2)
	}
	return event(1) + event(2)
}

var targetBehaviours = []targetBehaviour{
	{"answers", true, func(conn net.Conn, r *http.Request) { respond(conn, r, 200, completeBody(r), sealHeader) }},
	{"rejects", false, func(conn net.Conn, r *http.Request) { respond(conn, r, 503, "", "Not-Run: 1") }},
	{"rejects without the id", false, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 429 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}},
	{"closes", true, func(conn net.Conn, _ *http.Request) { _ = conn.Close() }},
	{"answers without a seal", true, func(conn net.Conn, r *http.Request) { respond(conn, r, 200, completeBody(r)) }},
	{"breaks off in the body", true, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, responseHead(r, r.Header.Get(testHeaders.RequestID), "Content-Length: 50\r\n")+"did")
		_ = conn.Close()
	}},
	{"fails", true, func(conn net.Conn, r *http.Request) { respond(conn, r, 500, "broken", sealHeader) }},
	{"fails without a seal", true, func(conn net.Conn, r *http.Request) { respond(conn, r, 500, "broken") }},
	{"answers another request first", true, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, responseHead(r, "somebody", "Content-Length: 6\r\n")+"theirs")
		respond(conn, r, 200, completeBody(r), sealHeader)
	}},
	{"answers another request only", true, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, responseHead(r, "somebody", "Content-Length: 6\r\n")+"theirs")
		_ = conn.Close()
	}},
	{"sends bytes after the answer", true, func(conn net.Conn, r *http.Request) {
		respond(conn, r, 200, completeBody(r), sealHeader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")
	}},
	{"sends no HTTP", true, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "\x00\x01 garbage\r\n\r\n")
		_ = conn.Close()
	}},
	{"ends the stream inside an event", true, func(conn net.Conn, r *http.Request) {
		body := completeBody(r)
		body = body[:len(body)-3]
		_, _ = io.WriteString(conn, responseHead(r, r.Header.Get(testHeaders.RequestID), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")+
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body))
	}},
	{"streams without length", true, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, responseHead(r, r.Header.Get(testHeaders.RequestID), "Connection: close\r\n")+completeBody(r))
		_ = conn.Close()
	}},
	{"breaks off before the first event without length", true, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, responseHead(r, r.Header.Get(testHeaders.RequestID), "Connection: close\r\n"))
		_ = conn.Close()
	}},
	{"breaks off in an event without length", true, func(conn net.Conn, r *http.Request) {
		body := completeBody(r)
		_, _ = io.WriteString(conn, responseHead(r, r.Header.Get(testHeaders.RequestID), "Connection: close\r\n")+body[:len(body)-3])
		_ = conn.Close()
	}},
}

// scriptedTargets is the state of targets that handle each send of a request with the next behaviour of its script.
type scriptedTargets struct {
	mu      sync.Mutex
	scripts map[string][]int // by request id
	runs    map[string]int
}

func (s *scriptedTargets) serve(conn net.Conn, r *http.Request, _ string) {
	id := r.Header.Get(testHeaders.RequestID)
	s.mu.Lock()
	chosen := targetBehaviours[0]
	if script := s.scripts[id]; len(script) > 0 {
		chosen = targetBehaviours[script[0]]
		s.scripts[id] = script[1:]
	}
	if chosen.runs {
		s.runs[id]++
	}
	s.mu.Unlock()
	chosen.do(conn, r)
}

// Guards against wrong outcomes under any sequence of target failures: a request that may not be repeated runs at most once,
// a request that ran is not refused as not run, a success has the complete answer to this request, and attempts stay within
// the limit of the route.
func TestOutcomesUnderRandomTargetFailures(t *testing.T) {
	f := newFixture(t)
	f.configure()
	targets := &scriptedTargets{scripts: map[string][]int{}, runs: map[string]int{}}
	for i := range 3 {
		f.target(fmt.Sprint("t", i), "plain", targets.serve)
		f.target(fmt.Sprint("e", i), "engine", targets.serve)
	}
	number := 0
	rapid.Check(t, func(rt *rapid.T) {
		route := rapid.SampledFrom([]string{"safe", "once", "stream", "resumed"}).Draw(rt, "route")
		behaviourCount := len(targetBehaviours)
		if route == "safe" || route == "once" {
			behaviourCount -= 4 // such a body that was cut short cannot be told from a complete one
		}
		script := rapid.SliceOfN(rapid.IntRange(0, behaviourCount-1), 1, 4).Draw(rt, "behaviours")
		number++
		id := fmt.Sprint("p", number)
		targets.mu.Lock()
		targets.scripts[id] = script
		targets.mu.Unlock()
		response, body, err := f.call(id, "/"+route+"/x", "Model: m")
		targets.mu.Lock()
		runs := targets.runs[id]
		targets.mu.Unlock()
		behaviourNames := make([]string, len(script))
		for i, at := range script {
			behaviourNames[i] = targetBehaviours[at].name
		}
		description := fmt.Sprintf("route %s, targets %s: %d runs, error %v", route, strings.Join(behaviourNames, ", "), runs, err)
		maxRuns := 1
		if route == "safe" || route == "resumed" {
			maxRuns = 2
		}
		if runs > maxRuns {
			rt.Fatalf("%s, want at most %d", description, maxRuns)
		}
		if response == nil {
			return // a closed connection does not tell the caller whether the request ran
		}
		switch {
		case response.StatusCode == http.StatusServiceUnavailable && runs > 0:
			rt.Fatalf("%s: refused with status 503, although a target ran it", description)
		case response.StatusCode >= 300 || err != nil:
		case response.Header.Get("Seal") == "":
			rt.Fatalf("%s: success without the seal of a target", description)
		case body != "did "+id && (behaviourCount < len(targetBehaviours) || body != event(1)+event(2)):
			rt.Fatalf("%s: success with a wrong or incomplete body %q", description, body)
		}
	})
}

// Guards against an event that is relayed in parts or held back when it is split between two reads.
func FuzzCompleteEventsLen(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\nda"))
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\n"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		end := completeEventsLen(b)
		if end < 0 || end > len(b) {
			t.Fatalf("complete events end at %d of %d bytes", end, len(b))
		}
		if end > 0 && b[end-1] != '\n' {
			t.Fatalf("%q does not end with a complete event", b[:end])
		}
		if rest := b[end:]; strings.Contains(string(rest), "\n\n") || strings.Contains(string(rest), "\n\r\n") {
			t.Fatalf("complete event held back in %q", rest)
		}
		r := &relay{}
		r.recordLastEventID(b[:end])
		if strings.ContainsAny(r.lastEventID, "\n") {
			t.Fatalf("event id %q contains a line break", r.lastEventID)
		}
	})
}

// halfClosingCall sends a request with a raw connection, closes the sending side after a while, and returns the response, if there is
// one, its body, and the error of reading it.
func (f *fixture) halfClosingCall(id, path string, after time.Duration) (*http.Response, string, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 1500\r\nModel: m\r\nContent-Length: 4\r\n\r\nwork", path, testHeaders.RequestID, id, testHeaders.TimeLeftMs)
	time.Sleep(after)
	_ = conn.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func firstEvents(n int) string {
	events := ""
	for i := range n {
		events += event(i + 1)
	}
	return events
}

// Guards against any success without the seal and the whole body of a target: random framings, cuts and pauses of targets, and callers
// that close their sending side at random moments.
func TestSuccessIsAlwaysWhole(t *testing.T) {
	f := newFixture(t)
	f.configure()
	// script is how a target answers: framed, cut after a share of its bytes, with a pause after another.
	type script struct {
		framing           string
		cutAfter, pauseAt float64
		cut, byReset      bool
		bodyAfter         func(lastEvent string) string
	}
	var mu sync.Mutex
	scripts := make(map[string][]script)
	serve := func(conn net.Conn, r *http.Request, _ string) {
		id := r.Header.Get(testHeaders.RequestID)
		mu.Lock()
		list := scripts[id]
		if len(list) == 0 {
			mu.Unlock()
			respond(conn, r, 503, "", "Not-Run: 1")
			return
		}
		scripts[id] = list[1:]
		mu.Unlock()
		written := encode(id, list[0].framing, list[0].bodyAfter(r.Header.Get(testHeaders.LastEvent))).whole()
		if list[0].cut {
			written = written[:int(list[0].cutAfter*float64(len(written)))]
		}
		at := int(list[0].pauseAt * float64(len(written)))
		_, _ = io.WriteString(conn, written[:at])
		time.Sleep(3 * time.Millisecond)
		_, _ = io.WriteString(conn, written[at:])
		if list[0].byReset {
			reset(conn)
		} else {
			finish(conn)
		}
	}
	for i := range 3 {
		f.target(fmt.Sprint("t", i), "plain", serve)
		f.target(fmt.Sprint("e", i), "engine", serve)
	}
	number := 0
	rapid.Check(t, func(rt *rapid.T) {
		number++
		id := fmt.Sprint("w", number)
		route := rapid.SampledFrom([]string{"safe", "once", "stream", "resumed"}).Draw(rt, "route")
		body := ""
		if route == "stream" || route == "resumed" {
			body = firstEvents(rapid.IntRange(1, 5).Draw(rt, "events"))
		} else {
			body = strings.Repeat("0123456789", rapid.SampledFrom([]int{1, 80, 30_000}).Draw(rt, "size"))
		}
		for range rapid.IntRange(1, 2).Draw(rt, "attempts") {
			framing := rapid.SampledFrom([]string{"length", "chunks", "chunks and a trailer", "neither"}).Draw(rt, "framing")
			framed := framing != "neither"
			next := script{framing: framing, cut: framed && rapid.Bool().Draw(rt, "cut"), byReset: framed && rapid.Bool().Draw(rt, "reset"),
				cutAfter: rapid.Float64Range(0, 0.999).Draw(rt, "cut after"), pauseAt: rapid.Float64Range(0, 1).Draw(rt, "pause at")}
			next.bodyAfter = func(lastEvent string) string {
				last, _ := strconv.Atoi(lastEvent) // 0 for an answer that begins
				return strings.TrimPrefix(body, firstEvents(last))
			}
			mu.Lock()
			scripts[id] = append(scripts[id], next)
			mu.Unlock()
		}
		var response *http.Response
		var got string
		var err error
		if rapid.Bool().Draw(rt, "half-close") {
			response, got, err = f.halfClosingCall(id, "/"+route+"/x", time.Duration(rapid.IntRange(0, 30).Draw(rt, "close after ms"))*time.Millisecond)
		} else {
			response, got, err = f.call(id, "/"+route+"/x", "Model: m")
		}
		if err != nil || response.StatusCode >= 300 {
			return
		}
		if response.Header.Get("Seal") == "" || got != body {
			rt.Fatalf("%s: a complete success, seal %q, with %d of %d bytes", route, response.Header.Get("Seal"), len(got), len(body))
		}
	})
}
