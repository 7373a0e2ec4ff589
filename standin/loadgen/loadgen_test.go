package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
)

// startFakeInstance starts a fake instance whose response depends on the model name.
func startFakeInstance(t *testing.T) (url string, keys *sync.Map) {
	t.Helper()
	keys = &sync.Map{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(api.HeaderCaller) == "" || r.Header.Get("Authorization") != "Bearer secret" {
			t.Errorf("caller or bearer token is missing in headers %v", r.Header)
		}
		if strings.HasPrefix(r.URL.Path, "/services/guichet/book") {
			keys.Store(r.Header.Get(api.HeaderIdempotencyKey), true)
			(&api.Result{Outcome: api.Answered}).SetHeaders(w.Header())
			return
		}
		var req api.ChatRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			t.Error(err)
		}
		serveChat(r.Context(), w, &req)
	}))
	t.Cleanup(server.Close)
	return server.URL, keys
}

func serveChat(ctx context.Context, w http.ResponseWriter, req *api.ChatRequest) {
	const event = "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	offsets, end := []int{0, 1, 2}, "data: [DONE]\n\n"
	switch req.Model {
	case "full":
		refusal := api.RefuseWithRetry(api.ReasonOverShare, time.Second, "too much")
		refusal.SetHeaders(w.Header())
		w.WriteHeader(refusal.HTTPStatus())
		_ = json.NewEncoder(w).Encode(refusal.Body(""))
		return
	case "late":
		<-ctx.Done()
		return
	case "gap":
		offsets = []int{0, 2}
	case "broken":
		end = ""
	case "failing":
		body, _ := json.Marshal(api.Fail(api.ReasonStreamBroken, api.RetryNow, "gone").Body(""))
		end = fmt.Sprintf("event: error\ndata: %s\n\n", body)
	}
	(&api.Result{Outcome: api.Answered}).SetHeaders(w.Header())
	if !req.Stream {
		_ = json.NewEncoder(w).Encode(api.ChatCompletion{Choices: make([]api.CompletionChoice, 1)})
		return
	}
	for _, offset := range offsets {
		_, _ = fmt.Fprintf(w, event, offset)
	}
	_, _ = io.WriteString(w, end)
}

// Guards against misclassified results, above all incomplete or wrong responses that are counted as answered.
func TestClassifiesResults(t *testing.T) {
	url, keys := startFakeInstance(t)
	for _, c := range []struct {
		model, service string
		streams        float64
		timeout        time.Duration
		want           Result
		firstTokens    int64
	}{
		{"redac", "", 1, 0, Result{api.Answered, ""}, 20},
		{"redac", "", 0, 0, Result{api.Answered, ""}, 0},
		{"", "guichet", 0, 0, Result{api.Answered, ""}, 0},
		{"full", "", 1, 0, Result{api.Refused, api.ReasonOverShare}, 0},
		{"failing", "", 1, 0, Result{api.Failed, api.ReasonStreamBroken}, 0},
		{"redac:other", "", 1, 0, Result{WrongAnswer, "other_text"}, 0},
		{"gap", "", 1, 0, Result{WrongAnswer, "offsets_out_of_order"}, 0},
		{"broken", "", 1, 0, Result{NoAnswer, "incomplete_answer"}, 0},
		{"late", "", 1, 10 * time.Millisecond, Result{NoAnswer, "generator_timeout"}, 0},
	} {
		cfg := Config{
			URLs: []string{url}, Callers: []string{"a", "b"}, Models: []string{c.model}, Service: c.service, Path: "/book",
			StreamShare: c.streams, Rate: 2000, Duration: time.Hour, MaxRequests: 20, RequestTimeout: c.timeout, Token: "secret",
		}
		cfg.CheckTokens = c.model == "redac:other"
		if c.service != "" {
			cfg.ServiceShare = 1
		}
		report, err := Run(t.Context(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]ResultCount{{c.want, 20}}, report.Counts()); diff != "" {
			t.Errorf("%s%s: results (-want +got): %s", c.model, c.service, diff)
		}
		if report.FirstToken.TotalCount() != c.firstTokens {
			t.Errorf("%s: %d first tokens, want %d", c.model, report.FirstToken.TotalCount(), c.firstTokens)
		}
	}
	distinct := 0
	keys.Range(func(any, any) bool { distinct++; return true })
	if distinct != 20 {
		t.Errorf("%d distinct idempotency keys, want 20", distinct)
	}
}

// Guards against a generator that opens requests without bound, or never returns, when an instance does not respond, and
// against settings that are accepted without a URL, rate, duration, model or service.
func TestBoundsLoadAndRejectsInvalidSettings(t *testing.T) {
	url, _ := startFakeInstance(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan *Report, 1)
	go func() {
		report, err := Run(ctx, Config{
			URLs: []string{url}, Callers: []string{"a"}, Models: []string{"late"}, StreamShare: 1, Rate: 5000,
			Duration: 100 * time.Millisecond, MaxInFlight: 3, Token: "secret",
		})
		if err != nil {
			t.Error(err)
		}
		ended <- report
	}()
	time.AfterFunc(200*time.Millisecond, cancel)
	select {
	case report := <-ended:
		if n := report.Count(NoAnswer); n > 3 || n+report.Count(NotSent) > 500 {
			t.Errorf("more than 3 requests in flight or more than 500 in all: %v", report.Counts())
		}
		var text strings.Builder
		if err := report.Print(&text); err != nil || !strings.Contains(text.String(), string(NotSent)) {
			t.Errorf("printed report %q has no line %q, or error %v", text.String(), NotSent, err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("Run did not return after its duration, with ctx cancelled")
	}
	for name, change := range map[string]func(*Config){
		"no URL":          func(c *Config) { c.URLs = nil },
		"bad URL":         func(c *Config) { c.URLs = []string{"localhost"} },
		"no rate":         func(c *Config) { c.Rate = 0 },
		"no duration":     func(c *Config) { c.Duration = 0 },
		"no model":        func(c *Config) { c.Models = nil },
		"bad share":       func(c *Config) { c.StreamShare = 2 },
		"no service name": func(c *Config) { c.ServiceShare = 1 },
	} {
		cfg := Config{URLs: []string{url}, Callers: []string{"a"}, Models: []string{"m"}, Rate: 1, Duration: time.Second}
		change(&cfg)
		if _, err := Run(t.Context(), cfg); err == nil {
			t.Errorf("Run accepted settings with %s", name)
		}
	}
}
