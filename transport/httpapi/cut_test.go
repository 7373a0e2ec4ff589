package httpapi_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// Guards against an answer that ends early and looks complete: a caller closes its sending side before the first event or in the middle
// of a stream, its request was cut, or the handler fails after it has begun.
func TestAnswersAreWholeOrMarked(t *testing.T) {
	const events = 4
	b := &backend{ready: true,
		chat: func(ctx context.Context, call httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
			for i := range events {
				select {
				case <-ctx.Done():
					return api.Fail(api.ReasonStreamBroken, api.RetryNow, "the caller left")
				case <-time.After(50 * time.Millisecond):
				}
				if strings.Contains(string(call.Body), "panics") && i == 2 {
					panic("unexpected")
				}
				if err := out.WriteEvent(i, []byte(chunk)); err != nil {
					return api.Fail(api.ReasonStreamBroken, api.RetryNow, err.Error())
				}
			}
			return &api.Result{Outcome: api.Answered}
		},
		service: func(call httpapi.ServiceCall) (*httpapi.ServiceAnswer, *api.Result) {
			time.Sleep(100 * time.Millisecond)
			if len(call.Call.Body) != 4 {
				t.Errorf("a service call with the body %q reached the backend", call.Call.Body)
			}
			return &httpapi.ServiceAnswer{ServiceAnswer: targetclient.ServiceAnswer{Status: http.StatusOK, Body: []byte("answer")}}, nil
		},
	}
	server := httptest.NewServer(httpapi.New(&settings.Settings{Instance: "a1"}, b, intake.New(intake.Options{})).Handler())
	t.Cleanup(server.Close)
	chat := func(content string, stream bool) string {
		return fmt.Sprintf(`{"model":"m","stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, content)
	}
	requests := map[string]struct{ line, body string }{
		"stream":             {"POST /v1/chat/completions", chat("x", true)},
		"stream that panics": {"POST /v1/chat/completions", chat("panics", true)},
		"completion":         {"POST /v1/chat/completions", chat("x", false)},
		"completion, panics": {"POST /v1/chat/completions", chat("panics", false)},
		"service":            {"POST /services/s/path", "work"},
		"models":             {"GET /v1/models", ""},
		"unknown path":       {"GET /other", ""},
	}
	for name, r := range requests {
		text := fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", r.line, len(r.body), r.body)
		for end, row := range map[string]struct {
			sent  int
			after time.Duration
		}{
			"in the head": {sent: len(r.line) + 5}, "in the body": {sent: len(text) - len(r.body)/2}, "at once": {sent: len(text)},
			"after an event": {sent: len(text), after: 75 * time.Millisecond}, "never": {sent: len(text), after: time.Second},
		} {
			t.Run(name+"/"+end, func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, text[:row.sent])
				time.Sleep(row.after)
				_ = conn.(*net.TCPConn).CloseWrite()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return // cut
				}
				answer, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode >= 300 {
					return
				}
				body := string(answer)
				switch {
				case row.sent < len(text) && len(r.body) > 0:
					t.Errorf("status %d for a request that was cut: %q", response.StatusCode, body)
				case strings.HasSuffix(body, "data: [DONE]\n\n") && strings.Count(body, "id: ") == events, strings.Contains(body, "event: error\n"):
				case name == "completion" && strings.Count(body, "word ") == events, name == "service" && body == "answer":
				case name == "models" && strings.Contains(body, `"list"`):
				default:
					t.Errorf("status %d and a body that looks complete: %q", response.StatusCode, body)
				}
			})
		}
	}
}
