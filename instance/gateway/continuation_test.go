package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

const soundStreamEvents = 4

// eventsAfter returns the events of the sound stream that follow the one with the given id, all if it is empty.
func eventsAfter(lastEvent string) string {
	last := 0
	_, _ = fmt.Sscan(lastEvent, &last)
	return strings.TrimPrefix(firstEvents(soundStreamEvents), firstEvents(last))
}

// writeAnswer writes an answer in a framing of encode, with the echo of the request's ID and the seal of a target.
func writeAnswer(conn net.Conn, r *http.Request, status int, contentType, framing, body string, headers ...string) {
	a := encode(r.Header.Get(testHeaders.RequestID), framing, body)
	first, rest, _ := strings.Cut(a.whole(), "\r\n")
	first = strings.Replace(first, "200 OK", fmt.Sprintf("%d X", status), 1)
	lines := ""
	for _, h := range append(headers, "Content-Type: "+contentType) {
		lines += h + "\r\n"
	}
	_, _ = io.WriteString(conn, first+"\r\n"+lines+rest)
	if framing == "neither" {
		finish(conn)
	}
}

const (
	eventStreamType = "text/event-stream"
	errorText       = "the engine failed"
	errorJSON       = `{"error":{"message":"` + errorText + `"}}`
	errorEvent      = "event: error\ndata: " + errorJSON + "\n\n"
)

// nextAnswer is how the next target answers after a stream has broken off.
type nextAnswer struct {
	name  string
	write func(conn net.Conn, r *http.Request)
	// sound is set if the answer goes on with the stream.
	sound bool
}

func nextAnswers() []nextAnswer {
	last := func(r *http.Request) string { return r.Header.Get(testHeaders.LastEvent) }
	var list []nextAnswer
	add := func(name string, sound bool, write func(conn net.Conn, r *http.Request)) {
		list = append(list, nextAnswer{name, write, sound})
	}
	answer := func(name string, status int, contentType, framing, body string, headers ...string) {
		add(name, false, func(conn net.Conn, r *http.Request) {
			writeAnswer(conn, r, status, contentType, framing, body, headers...)
		})
	}
	// events writes a stream that depends on the event after which it has to go on.
	events := func(name string, sound bool, framing string, body func(lastEvent string) string) {
		add(name, sound, func(conn net.Conn, r *http.Request) {
			writeAnswer(conn, r, 200, eventStreamType, framing, body(last(r)))
		})
	}
	for _, framing := range []string{"length", "chunks", "neither"} {
		events("sound, "+framing, true, framing, eventsAfter)
		for _, status := range []int{500, 503, 429, 421} {
			answer(fmt.Sprint(status, ", ", framing), status, "text/plain", framing, errorText)
		}
		answer("503 that is a rejection, "+framing, 503, "text/plain", framing, errorText, "Not-Run: 1")
		answer("429 that is a rejection, "+framing, 429, "text/plain", framing, errorText, "Not-Run: 1")
		answer("error event with the status 500, "+framing, 500, eventStreamType, framing, errorEvent)
		answer("error in JSON with the status 500, "+framing, 500, "application/json", framing, errorJSON)
		answer("error event, "+framing, 200, eventStreamType, framing, errorEvent)
		answer("error in JSON, "+framing, 200, "application/json", framing, errorJSON)
		answer("error in JSON as a stream, "+framing, 200, eventStreamType, framing, errorJSON)
		answer("error in JSON with an empty line, "+framing, 200, "application/json", framing, errorJSON+"\n\n")
		answer("page, "+framing, 200, "text/html", framing, "<html>\n\n"+errorText+"</html>")
		answer("empty, "+framing, 200, eventStreamType, framing, "")
		answer("empty page, "+framing, 200, "text/html", framing, "")
		events("begins again, "+framing, false, framing, func(string) string { return eventsAfter("") })
		events("begins again after a sound event, "+framing, false, framing, func(last string) string {
			return strings.TrimSuffix(eventsAfter(last), eventsAfter("2")) + eventsAfter("2") + eventsAfter("")
		})
		events("repeats the last event, "+framing, false, framing, func(last string) string { return event(1) + eventsAfter("1") + event(4) })
		events("error event after a sound one, "+framing, false, framing, func(last string) string {
			return strings.TrimSuffix(eventsAfter(last), eventsAfter("3")) + errorEvent
		})
		events("head of an error after a sound event, "+framing, false, framing, func(last string) string {
			return strings.TrimSuffix(eventsAfter(last), eventsAfter("3")) + "HTTP/1.1 500 X\r\nContent-Length: 17\r\n\r\n" + errorText
		})
		events("error text after a sound event, "+framing, false, framing, func(last string) string {
			return strings.TrimSuffix(eventsAfter(last), eventsAfter("3")) + errorText
		})
	}
	add("sound, after a 103", true, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 103 X\r\nLink: x\r\n\r\n")
		writeAnswer(conn, r, 200, eventStreamType, "chunks", eventsAfter(last(r)))
	})
	for _, status := range []int{500, 503, 429, 421} {
		add(fmt.Sprint(status, " after a 103"), false, func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 103 X\r\nLink: x\r\n\r\n")
			writeAnswer(conn, r, status, "text/plain", "length", errorText)
		})
	}
	add("204", false, func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 204 X\r\n%s: %s\r\n%s\r\n\r\n", testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), sealHeader)
	})
	answer("101", 101, eventStreamType, "chunks", errorEvent)
	answer("encoded", 200, eventStreamType, "chunks", "\x1f\x8b\n\n\x00id: 2\n\n", "Content-Encoding: gzip")
	add("without a seal", false, func(conn net.Conn, r *http.Request) {
		respond(conn, r, 200, eventsAfter(last(r))+errorEvent, "Content-Type: "+eventStreamType)
	})
	for _, cut := range []int{3, 12, 40} {
		add(fmt.Sprintf("head that breaks off after %d bytes", cut), false, func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, ("HTTP/1.1 500 X\r\nContent-Type: text/plain\r\nContent-Length: 17\r\n\r\n" + errorText)[:cut])
			finish(conn)
		})
	}
	return list
}

// brokenStreams are ways in which the answer that began a stream breaks off.
var brokenStreams = []struct {
	name, framing string
	end           func(net.Conn)
	body          string
}{
	{"after its head", "chunks", reset, ""},
	{"after an event", "chunks", finish, event(1)},
	{"in an event", "chunks", reset, event(1) + "id: 2\nda"},
	{"in an event, with a length", "length", finish, event(1) + "id: 2\nda"},
	{"in an event, without a length", "neither", finish, event(1) + "id: 2\nda"},
	{"after an event, without a length", "neither", reset, event(1)},
}

// Guards against an answer of the next target that is joined to a stream that broke off although it is not the rest of it: an error, its
// head, another body or another run. Each byte that a caller gets is the sound stream, and what looks complete is the whole of it.
func TestBrokenStreamGoesOnWithItsRestOnly(t *testing.T) {
	for _, route := range []string{"resumed", "stream", "resumed through another gateway", "stream through another gateway"} {
		path, _, handedOver := strings.Cut(route, " ")
		for i, broken := range brokenStreams {
			if handedOver && i > 2 {
				continue // the framing of a target's answer ends at the other gateway
			}
			for _, next := range nextAnswers() {
				if path == "stream" && !strings.HasSuffix(next.name, "chunks") {
					continue // the next target is never asked
				}
				t.Run(fmt.Sprintf("%s, %s, %s", route, broken.name, next.name), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					addTarget := f.target
					if handedOver {
						isolated := newIsolatedFixture(t, 2)
						f = isolated.fixture
						addTarget = func(id, service string, serve func(net.Conn, *http.Request, string)) {
							isolated.target(id, service, "", serve)
						}
					} else {
						f.configure()
					}
					begun := false
					serve := func(conn net.Conn, r *http.Request, _ string) {
						f.mu.Lock()
						first := !begun
						begun = true
						f.mu.Unlock()
						if !first {
							next.write(conn, r)
							return
						}
						a := encode(r.Header.Get(testHeaders.RequestID), broken.framing, firstEvents(soundStreamEvents))
						a.head = strings.Replace(a.head, "\r\n", "\r\nBegan: 1\r\nContent-Type: "+eventStreamType+"\r\n", 1)
						written := a.head + broken.body
						if broken.framing == "chunks" {
							written = a.head
							if broken.body != "" {
								written += fmt.Sprintf("%x\r\n%s\r\n", len(broken.body), broken.body)
							}
						}
						_, _ = io.WriteString(conn, written)
						broken.end(conn)
					}
					addTarget("t0", "engine", serve)
					addTarget("t1", "engine", serve)
					response, body, err := f.call("r", "/"+path+"/x", "Model: m")
					whole := firstEvents(soundStreamEvents)
					if broken.body == "" && !(next.sound && path == "resumed") && (response == nil || response.Header.Get("Began") == "") {
						return // nothing of the first answer had reached the caller, so it got none, or that of the next target alone
					}
					switch {
					case response == nil:
						t.Fatalf("no answer to a stream that had begun: %v", err)
					case response.StatusCode != 200 || response.Header.Get("Seal") == "":
						t.Errorf("status %d, seal %q, want those of the answer that began", response.StatusCode, response.Header.Get("Seal"))
					case !strings.HasPrefix(whole, body):
						t.Errorf("body %q is not the beginning of the stream", body)
					case err == nil && body != whole:
						t.Errorf("body %q looks complete", body)
					case path == "stream" && (err == nil || f.runCount("r") > 1):
						t.Errorf("%d runs, error %v, want one run that is visibly broken off", f.runCount("r"), err)
					case path == "resumed" && next.sound && err != nil:
						t.Errorf("the stream did not go on: body %q, error %v", body, err)
					}
				})
			}
		}
	}
}

// Guards against a stream that its caller takes up itself, and that gets events once more because the target begins again.
func TestTakenUpStreamDoesNotBeginAgain(t *testing.T) {
	for name, row := range map[string]struct {
		events string
		want   string
		whole  bool
	}{
		"goes on":          {eventsAfter("2"), eventsAfter("2"), true},
		"begins again":     {eventsAfter(""), "", false},
		"repeats an event": {eventsAfter("1"), "", false},
		"with a comment":   {": x\n\n" + eventsAfter("2"), ": x\n\n" + eventsAfter("2"), true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.view.SetLeaderAndMembers("", []string{"c1"})
			f.gateway.peers = &originPeers{answers: map[string]*fleetapi.StreamAnswer{"c1": {Known: true, Service: "engine"}}}
			f.configure()
			for i := range 2 {
				f.target(fmt.Sprint("t", i), "engine", func(conn net.Conn, r *http.Request, _ string) { writeStream(conn, r, true, row.events) })
			}
			response, body, err := f.call("r2", "/resumed/x", "Model: m", testHeaders.LastEvent+": 2", testHeaders.Resumes+": r1")
			if body != row.want || row.whole != (err == nil && response.StatusCode == 200) {
				t.Errorf("response %v, body %q, error %v", response, body, err)
			}
		})
	}
}

// Guards against an event that comes twice because it has no id, and the stream goes on after the one before it.
func TestStreamThatBrokeOffAfterAnEventWithoutIDIsNotJoined(t *testing.T) {
	for name, row := range map[string]struct {
		begin  string
		goesOn bool
	}{
		"event without an id last":                 {event(1) + "data: unnamed\n\n", false},
		"event without an id first":                {"data: unnamed\n\n" + event(1), true},
		"comment last":                             {event(1) + ": x\n\n", true},
		"event with a line before its id":          {event(1) + "versions: 7\nid: 2\ndata: x\n\n", true},
		"event with an empty id last":              {event(1) + "id:\ndata: x\n\n", false},
		"error event last":                         {event(1) + errorEvent, false},
		"event without an id, lines end with CRLF": {strings.ReplaceAll(event(1)+"data: unnamed\n\n", "\n", "\r\n"), false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			for i := range 2 {
				f.target(fmt.Sprint("t", i), "engine", func(conn net.Conn, r *http.Request, _ string) {
					if last := r.Header.Get(testHeaders.LastEvent); last != "" {
						writeStream(conn, r, true, eventsAfter(last))
						return
					}
					writeStream(conn, r, false, row.begin)
					reset(conn)
				})
			}
			_, body, err := f.call("r", "/resumed/x", "Model: m")
			if !row.goesOn && (err == nil || body != row.begin || f.runCount("r") != 1) {
				t.Errorf("body %q after %d runs, error %v, want one broken run", body, f.runCount("r"), err)
			}
			if row.goesOn && (err != nil || !strings.HasPrefix(body, row.begin) || !strings.HasSuffix(body, event(4))) {
				t.Errorf("body %q, error %v, want the whole stream", body, err)
			}
		})
	}
}
