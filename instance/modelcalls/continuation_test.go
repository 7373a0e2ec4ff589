package modelcalls_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// wireStub sends attempts over connections to one target, which answers as its handler writes.
type wireStub struct {
	*stub
	*targetclient.Client
	address string
}

func (w *wireStub) Pick(*modelcalls.Work, func(string) bool) (modelcalls.PickedTarget, func(modelcalls.Result), *api.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.picked++
	if w.picked > 3 {
		return modelcalls.PickedTarget{}, nil, api.Refuse(api.ReasonNoCapacity, "no target")
	}
	return modelcalls.PickedTarget{Target: fmt.Sprint(w.picked), Address: w.address}, func(modelcalls.Result) {}, nil
}

func (w *wireStub) Stream(ctx context.Context, a targetclient.Attempt, onEvent func(targetclient.Event) error) error {
	return w.Client.Stream(ctx, a, onEvent)
}

func (w *wireStub) Cancel(context.Context, string, string) error { return nil }

// collectedText records the answer that a caller gets.
type collectedText struct{ text string }

func (c *collectedText) Begin(string) {}

func (c *collectedText) WriteEvent(_ int, data []byte) error {
	c.text += string(data) + "\n"
	return nil
}

const (
	soundTokens = 4
	endMarker   = "data: [DONE]\n\n"
	errorText   = `{"error":{"message":"the engine failed"}}`
)

// soundData is the data of the token at an offset. The last one has a finish reason.
func soundData(offset int) string {
	reason := "null"
	if offset == soundTokens-1 {
		reason = `"stop"`
	}
	return fmt.Sprintf(`{"choices":[{"delta":{"content":"t%d "},"finish_reason":%s}]}`, offset, reason)
}

// soundEvents returns the events from one offset up to another.
func soundEvents(from, to int) string {
	list := ""
	for i := from; i < to; i++ {
		list += fmt.Sprintf("id: %d\ndata: %s\n\n", i, soundData(i))
	}
	return list
}

// Guards against an answer of the next target that is joined to a stream that broke off although it is not the rest of it, and against a
// stream that looks complete without its last token. Each token that a caller gets is that of the sound answer.
func TestBrokenAnswerGoesOnWithItsRestOnly(t *testing.T) {
	// wire returns what is written for a status, content type, framing and body, as the answer to an attempt.
	wire := func(attempt string, status int, contentType, framing, body string) string {
		head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Type: %s\r\n", status, targetapi.HeaderAttemptID, attempt, contentType)
		switch framing {
		case "length":
			return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		case "chunks":
			if body != "" {
				body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			return head + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n"
		}
		return head + "Connection: close\r\n\r\n" + body
	}
	type next struct {
		name  string
		write func(attempt, framing string, offset int) string
		sound bool
	}
	var answers []next
	add := func(name string, sound bool, write func(attempt, framing string, offset int) string) {
		answers = append(answers, next{name, write, sound})
	}
	const stream = "text/event-stream"
	answer := func(name string, status int, contentType string, body func(offset int) string) {
		add(name, strings.HasPrefix(name, "sound"), func(attempt, framing string, offset int) string {
			return wire(attempt, status, contentType, framing, body(offset))
		})
	}
	fixed := func(body string) func(int) string { return func(int) string { return body } }
	answer("sound", 200, stream, func(offset int) string { return soundEvents(offset, soundTokens) + endMarker })
	answer("sound, from the first token on", 200, stream, fixed(soundEvents(0, soundTokens)+endMarker))
	for _, status := range []int{500, 503, 429, 421, 400, 204} {
		answer(fmt.Sprint(status), status, "text/plain", fixed("the engine failed"))
		answer(fmt.Sprint(status, " with an error event"), status, stream, fixed("event: error\ndata: "+errorText+"\n\n"+endMarker))
	}
	add("500 after a 103", false, func(attempt, framing string, _ int) string {
		return "HTTP/1.1 103 X\r\n\r\n" + wire(attempt, 500, "text/plain", framing, "the engine failed")
	})
	answer("error event", 200, stream, fixed("event: error\ndata: "+errorText+"\n\n"+endMarker))
	answer("error in JSON", 200, "application/json", fixed(errorText))
	answer("error in JSON as data", 200, stream, fixed("data: "+errorText+"\n\n"+endMarker))
	answer("error in JSON as data after a token", 200, stream, func(offset int) string {
		return soundEvents(offset, soundTokens-1) + "data: " + errorText + "\n\n" + endMarker
	})
	answer("error in JSON with the next offset", 200, stream, func(offset int) string {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", offset, errorText) + endMarker
	})
	answer("error in JSON with the offset after a token", 200, stream, func(offset int) string {
		return soundEvents(offset, soundTokens-1) + fmt.Sprintf("id: %d\ndata: %s\n\n", soundTokens-1, errorText) + endMarker
	})
	answer("error beside choices", 200, stream, func(offset int) string {
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[],%s\n\n", offset, errorText[1:]) + endMarker
	})
	answer("end marker alone", 200, stream, fixed(endMarker))
	answer("page", 200, "text/html", fixed("<html>\n\nthe engine failed</html>"))
	answer("empty", 200, stream, fixed(""))
	answer("without an end marker", 200, stream, func(offset int) string { return soundEvents(offset, soundTokens-1) })
	answer("another answer from the first token on", 200, stream, fixed(strings.ReplaceAll(soundEvents(0, soundTokens), `"t`, `"u`)+endMarker))
	answer("head of an error after a token", 200, stream, func(offset int) string {
		return soundEvents(offset, soundTokens-1) + "HTTP/1.1 500 X\r\nContent-Length: 17\r\n\r\nthe engine failed"
	})
	add("head that breaks off", false, func(attempt, framing string, _ int) string { return wire(attempt, 500, stream, framing, "x")[:20] })
	for _, broken := range []struct{ name, body string }{
		{"before the first token", ""},
		{"after a token", soundEvents(0, 2)},
		{"in a token", soundEvents(0, 2) + soundEvents(2, 3)[:20]},
		{"before the end marker", soundEvents(0, soundTokens)},
	} {
		for _, framing := range []string{"length", "chunks", "neither"} {
			for _, answer := range answers {
				ownAnswer := answer.name == "another answer from the first token on" || answer.name == "end marker alone"
				if broken.body == "" && ownAnswer {
					continue // nothing of the first answer had reached the caller, so the next one stands alone
				}
				goesOn := answer.sound || answer.name == "end marker alone" && broken.name == "before the end marker"
				t.Run(fmt.Sprintf("%s, %s, %s", broken.name, answer.name, framing), func(t *testing.T) {
					t.Parallel()
					var attempts atomic.Int64
					address := serveRaw(t, func(conn net.Conn, r *http.Request) {
						defer func() { _ = conn.Close() }()
						attempt, offset := r.Header.Get(targetapi.HeaderAttemptID), 0
						_, _ = fmt.Sscan(r.Header.Get(targetapi.HeaderResumeOffset), &offset)
						if attempts.Add(1) == 1 {
							whole := wire(attempt, 200, stream, framing, soundEvents(0, soundTokens)+endMarker)
							_, _ = io.WriteString(conn, whole[:strings.Index(whole, "\r\n\r\n")+4+len(chunkHead(framing))]+broken.body)
							return
						}
						_, _ = io.WriteString(conn, answer.write(attempt, framing, offset))
					})
					result, text := callOverWire(address)
					whole := ""
					for i := range soundTokens {
						whole += soundData(i) + "\n"
					}
					if !strings.HasPrefix(whole, text) {
						t.Errorf("answer %q is not the beginning of the sound one", text)
					}
					if result.Outcome == api.Answered && text != whole {
						t.Errorf("answer %q looks complete", text)
					}
					if result.Outcome == api.Refused && attempts.Load() > 0 {
						t.Errorf("refused as not run after %d attempts: %s", attempts.Load(), result.Message)
					}
					if goesOn && result.Outcome != api.Answered {
						t.Errorf("the answer did not go on: %+v", result)
					}
				})
			}
		}
	}
}

// chunkHead is the size of the one chunk of the whole answer.
func chunkHead(framing string) string {
	if framing != "chunks" {
		return ""
	}
	return fmt.Sprintf("%x\r\n", len(soundEvents(0, soundTokens)+endMarker))
}

// serveRaw passes each request on a connection to a handler, and returns the address.
func serveRaw(t *testing.T, serve func(conn net.Conn, r *http.Request)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = io.Copy(io.Discard, r.Body)
				}
				if err == nil {
					serve(conn, r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func callOverWire(address string) (*api.Result, string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &wireStub{stub: &stub{}, Client: targetclient.New(), address: address}
	server := &modelcalls.Server{
		Config: f, Gate: drain.NewGate(), Admission: f, Picker: f, Retries: f, Suspects: f, Client: f,
		Recorder: events.NewRecorder(log, "a1", "a", time.Now), RequestTimeout: 5 * time.Second, Now: time.Now,
	}
	out := &collectedText{}
	request := &api.ChatRequest{Model: "m", Messages: []api.ChatMessage{{Role: "user", Content: "?"}}}
	body, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	return server.Chat(context.Background(), httpapi.ChatCall{RequestID: "r", Caller: "crew", Request: request, Body: body}, out), out.text
}
