package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// testTimeout is the timeout of a wait in a test.
const testTimeout = 30 * time.Second

type fixture struct {
	*Target
	url   string
	exits chan int
}

func startTarget(t *testing.T, change func(*Config)) *fixture {
	t.Helper()
	f := &fixture{exits: make(chan int, 16)}
	cfg := Config{
		Name: "t1", DataCentre: "coulee-a", Kind: targetapi.Engine, CapacityBytes: 100, ReserveBytes: 10,
		Exit: func(code int) { f.exits <- code },
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	if f.Target, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(f.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	f.SetAddress(server.Listener.Addr().String())
	return f
}

func (f *fixture) call(t *testing.T, method, path string, body any, headers ...string) (int, string) {
	t.Helper()
	resp, err := f.send(t.Context(), method, path, body, headers...)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

func (f *fixture) send(ctx context.Context, method, path string, body any, headers ...string) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(req)
}

func (f *fixture) order(t *testing.T, o targetapi.Order) targetapi.OrderStatus {
	t.Helper()
	o.Version = targetapi.Version
	status, text := f.call(t, "POST", targetapi.PathOrders, o)
	var s targetapi.OrderStatus
	if err := json.Unmarshal([]byte(text), &s); status != http.StatusOK || err != nil {
		t.Fatalf("order %s: %d %s", o.ID, status, text)
	}
	return s
}

// finalState waits until an announcement reports the order as no longer accepted, and returns its final state.
func (f *fixture) finalState(t *testing.T, id string) targetapi.OrderState {
	t.Helper()
	var state targetapi.OrderState
	eventually(t, "order "+id+" is done, failed or refused", func() bool {
		for _, s := range f.Announcement(time.Now()).Orders {
			if s.ID == id {
				state = s.State
			}
		}
		return state != targetapi.OrderAccepted
	})
	return state
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met: %s", what)
		}
	}
}

func (f *fixture) loadModel(t *testing.T, model string) {
	t.Helper()
	f.order(t, targetapi.Order{ID: "load-" + model, Kind: targetapi.LoadModel, Model: model, ModelVersion: "1", Bytes: 20})
	if s := f.finalState(t, "load-"+model); s != targetapi.OrderDone {
		t.Fatalf("load of %s ended as %s", model, s)
	}
}

func chat(model, content string, tokens int) api.ChatRequest {
	return api.ChatRequest{Model: model, MaxTokens: tokens, Messages: []api.ChatMessage{{Role: "user", Content: content}}}
}

// parseStream parses the ids and contents of a stream; done is set when the end marker was received.
func parseStream(t *testing.T, stream string) (ids []int, text string, done bool) {
	t.Helper()
	scanner := bufio.NewScanner(strings.NewReader(stream))
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(id)
			if err != nil {
				t.Fatal(err)
			}
			ids = append(ids, n)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return ids, text, true
		}
		var chunk api.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		text += chunk.Choices[0].Delta.Content
	}
	return ids, text, false
}

// Guards against an answer that another replica cannot resume after a broken stream, because its tokens depend on more
// than the request id and the offset.
func TestAnotherReplicaResumesIdentically(t *testing.T) {
	first, second := startTarget(t, nil), startTarget(t, func(c *Config) { c.Name = "t2" })
	first.loadModel(t, "redac")
	second.loadModel(t, "redac")
	_, whole := first.call(t, "POST", targetapi.PathChat, chat("redac", "hello", 9), api.HeaderRequestID, "r-1")
	ids, text, done := parseStream(t, whole)
	if !done || !cmp.Equal(ids, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}) {
		t.Fatalf("whole answer: ids %v, done %v; want ids 0 to 8 and the end marker", ids, done)
	}
	for offset := 0; offset <= 9; offset++ {
		_, rest := second.call(t, "POST", targetapi.PathChat, chat("redac", "hello", 9), api.HeaderRequestID, "r-1",
			targetapi.HeaderResumeOffset, strconv.Itoa(offset))
		restIDs, restText, done := parseStream(t, rest)
		if !done || len(restIDs) != 9-offset || !strings.HasSuffix(text, restText) {
			t.Errorf("resumed at %d: ids %v, %q, done %v; the whole answer is %q", offset, restIDs, restText, done, text)
		}
	}
}

// Guards against wrong status codes, by which instances distinguish overload, a model that is not resident and failure.
func TestStatusCodes(t *testing.T) {
	f := startTarget(t, func(c *Config) { c.Slots, c.TokenInterval = 1, time.Hour })
	f.loadModel(t, "redac")
	for _, c := range []struct {
		name   string
		body   any
		header string
		want   int
	}{
		{"absent model", chat("guichet", "x", 1), "", http.StatusNotFound},
		{"absent adapter", chat("redac:a1", "x", 1), "", http.StatusNotFound},
		{"body without a chat request", "x", "", http.StatusBadRequest},
		{"offset beyond the end", chat("redac", "x", 3), "4", http.StatusBadRequest},
	} {
		status, text := f.call(t, "POST", targetapi.PathChat, c.body, targetapi.HeaderResumeOffset, c.header)
		if status != c.want {
			t.Errorf("%s: status %d (%s), want %d", c.name, status, text, c.want)
		}
	}
	resp, err := f.send(t.Context(), "POST", targetapi.PathChat, chat("redac", "x", 1), targetapi.HeaderAttemptID, "a-1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if status, _ := f.call(t, "POST", targetapi.PathChat, chat("redac", "x", 1)); status != http.StatusTooManyRequests {
		t.Errorf("second request with one slot and no queue: status %d, want 429", status)
	}
	cancel := targetapi.Cancel{Version: targetapi.Version, AttemptID: "a-1"}
	if status, _ := f.call(t, "POST", targetapi.PathCancel, cancel); status != http.StatusNoContent {
		t.Errorf("cancel: status %d, want 204", status)
	}
	text, _ := io.ReadAll(resp.Body)
	if _, _, done := parseStream(t, string(text)); done {
		t.Error("a cancelled stream ended with an end marker")
	}
	eventually(t, "the slot is free again", func() bool {
		return f.Announcement(time.Now().Add(time.Second)).Load.Running == 0
	})
}

// Guards against repeated orders that take effect twice, and against orders with a stale fencing number that are
// executed.
func TestOrdersAreDeduplicatedAndFenced(t *testing.T) {
	load := func(id string, fence uint64, model string, bytes int64) targetapi.Order {
		return targetapi.Order{ID: id, Fence: fence, Kind: targetapi.LoadModel, Model: model, ModelVersion: "1", Bytes: bytes}
	}
	for _, c := range []struct {
		name   string
		checks bool
		orders []targetapi.Order
		last   targetapi.OrderState
		bytes  int64
		exits  int
	}{
		{"repeat", true, []targetapi.Order{load("o1", 5, "a", 30), load("o1", 5, "a", 30)}, targetapi.OrderDone, 30, 0},
		{"same content, other id", true, []targetapi.Order{load("o1", 5, "a", 30), load("o2", 5, "a", 30)}, targetapi.OrderDone, 30, 0},
		{"stale fencing number", true, []targetapi.Order{load("o1", 5, "a", 30), load("o2", 4, "b", 30)}, targetapi.OrderRefused, 30, 0},
		{"stale fencing number unchecked", false, []targetapi.Order{load("o1", 5, "a", 30), load("o2", 4, "b", 30)}, targetapi.OrderDone, 60, 0},
		{"raise rejects older fencing numbers", true, []targetapi.Order{
			{ID: "o1", Fence: 9, Kind: targetapi.RaiseFence}, load("o2", 8, "b", 30)}, targetapi.OrderRefused, 0, 0},
		{"repeat of a refused order", true, []targetapi.Order{
			{ID: "o1", Fence: 9, Kind: targetapi.RaiseFence}, load("o2", 8, "b", 30), load("o2", 10, "b", 30)}, targetapi.OrderRefused, 0, 0},
		{"load up to the capacity", true, []targetapi.Order{load("o1", 5, "a", 90)}, targetapi.OrderDone, 90, 0},
		{"overcommit", true, []targetapi.Order{load("o1", 5, "a", 90), load("o2", 5, "b", 1)}, targetapi.OrderFailed, 90, ExitOvercommit},
		{"adapter without model", true, []targetapi.Order{
			{ID: "o1", Kind: targetapi.LoadAdapter, Model: "a", Adapter: "x", Bytes: 1}}, targetapi.OrderFailed, 0, 0},
		{"unload of a model unloads its adapters", true, []targetapi.Order{load("o1", 5, "a", 30),
			{ID: "o2", Fence: 5, Kind: targetapi.LoadAdapter, Model: "a", Adapter: "x", Bytes: 1},
			{ID: "o3", Fence: 5, Kind: targetapi.UnloadModel, Model: "a", ModelVersion: "1"}}, targetapi.OrderDone, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startTarget(t, func(cfg *Config) { cfg.ChecksFencing = c.checks })
			last := ""
			for _, o := range c.orders {
				f.order(t, o)
				last = o.ID
				f.finalState(t, last)
			}
			if s := f.finalState(t, last); s != c.last {
				t.Errorf("last order is %s, want %s", s, c.last)
			}
			eventually(t, "residents use the expected memory", func() bool {
				bytes := int64(0)
				for _, r := range f.Announcement(time.Now()).Residents {
					bytes += r.Bytes
				}
				return bytes == c.bytes
			})
			code := 0
			if len(f.exits) > 0 {
				code = <-f.exits
			}
			if code != c.exits {
				t.Errorf("exit code %d, want %d", code, c.exits)
			}
		})
	}
}

// Guards against memory that is freed while a request uses it, and against an unloading model that accepts requests.
func TestUnloadWaitsForRequests(t *testing.T) {
	f := startTarget(t, func(c *Config) { c.TokenInterval = time.Hour })
	f.loadModel(t, "redac")
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := f.send(ctx, "POST", targetapi.PathChat, chat("redac", "x", 1))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	f.order(t, targetapi.Order{ID: "u", Kind: targetapi.UnloadModel, Model: "redac", ModelVersion: "1"})
	eventually(t, "the unload delay is over", func() bool {
		f.memory.mu.Lock()
		defer f.memory.mu.Unlock()
		return f.memory.residents[residentKey{model: "redac", version: "1"}].delayPassed
	})
	want := []targetapi.Resident{{Model: "redac", Version: "1", State: targetapi.Unloading, Bytes: 20}}
	if diff := cmp.Diff(want, f.Announcement(time.Now()).Residents); diff != "" {
		t.Error(diff)
	}
	if status, _ := f.call(t, "POST", targetapi.PathChat, chat("redac", "x", 1)); status != http.StatusNotFound {
		t.Errorf("request for an unloading model: status %d, want 404", status)
	}
	cancel()
	if s := f.finalState(t, "u"); s != targetapi.OrderDone || len(f.Announcement(time.Now()).Residents) != 0 {
		t.Errorf("unload ended as %s with residents %v, want done and none", s, f.Announcement(time.Now()).Residents)
	}
}

// Guards against a queue that ignores priorities or leaks the slots of cancelled requests, and against a load report that
// ignores the report lag.
func TestSlotsQueueByPriority(t *testing.T) {
	s := newSlots(1, 3, 100)
	before := time.Now()
	if full, err := s.acquire(t.Context(), ""); full || err != nil {
		t.Fatal(full, err)
	}
	started := make(chan string, 3)
	cancelled, cancel := context.WithCancel(t.Context())
	for i, p := range []releasenote.Priority{releasenote.Batch, releasenote.Standard, releasenote.Interactive} {
		ctx := t.Context()
		if p == releasenote.Standard {
			ctx = cancelled
		}
		go func() {
			if _, err := s.acquire(ctx, p); err == nil {
				started <- string(p)
			} else {
				started <- "cancelled"
			}
		}()
		eventually(t, "request is queued", func() bool { return s.loadAt(time.Now()).Queued == i+1 })
	}
	if full, _ := s.acquire(t.Context(), ""); !full {
		t.Error("acquire did not report full with a full queue")
	}
	cancel()
	for _, want := range []string{"cancelled", string(releasenote.Interactive), string(releasenote.Batch)} {
		if got := <-started; got != want {
			t.Errorf("next request to start or end is %q, want %q", got, want)
		}
		s.release() // first the slot acquired above, then those of the started requests
	}
	if now, lagged := s.loadAt(time.Now()), s.loadAt(before); now.Running != 0 || now.Queued != 0 || lagged.Running != 0 {
		t.Errorf("load at the end %+v, before the first request %+v; want nothing running", now, lagged)
	}
}

// Guards against announcements that an instance would reject, against a balancer URL that is used twice in a row, and
// against a target that leaves without announcing it.
func TestAnnouncesRoundRobinAndLeaves(t *testing.T) {
	type received struct {
		instance int
		a        targetapi.Announcement
	}
	announced := make(chan received, 1024)
	var urls []string
	for i := range 3 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var a targetapi.Announcement
			if err := json.NewDecoder(r.Body).Decode(&a); r.URL.Path != targetapi.PathAnnounce || err != nil {
				t.Errorf("%s: %v", r.URL.Path, err)
			}
			announced <- received{i, a}
			w.WriteHeader(http.StatusNoContent)
		}))
		defer s.Close()
		urls = append(urls, s.URL)
	}
	f := startTarget(t, func(c *Config) {
		c.Listen, c.Balancers, c.AnnounceInterval, c.LeaveDelay = "127.0.0.1:0", urls, time.Millisecond, 20*time.Millisecond
	})
	ctx, leave := context.WithCancel(t.Context())
	var out bytes.Buffer
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx, &out) }()
	for i := range 7 {
		s := <-announced
		if err := s.a.Check(); err != nil || s.instance != i%3 || s.a.Sequence != uint64(i+1) || s.a.Leaving {
			t.Errorf("announcement %d went to instance %d: %+v, %v", i, s.instance, s.a, err)
		}
	}
	leave()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	var started Started
	if err := json.Unmarshal(out.Bytes(), &started); err != nil || started.Address == "" || started.Incarnation == 0 {
		t.Errorf("printed %q: %v", out.String(), err)
	}
	left := false
	for len(announced) > 0 {
		s := <-announced
		left = left || s.a.Leaving
	}
	if !left {
		t.Error("no announcement said that the target leaves")
	}
}

// Guards against a shutdown that interrupts streams instead of draining them.
func TestLeavingDrainsStreams(t *testing.T) {
	f := startTarget(t, func(c *Config) { c.Listen, c.TokenInterval = "127.0.0.1:0", 5*time.Millisecond })
	f.loadModel(t, "redac")
	ctx, leave := context.WithCancel(t.Context())
	reader, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx, out) }()
	var started Started
	if err := json.NewDecoder(reader).Decode(&started); err != nil {
		t.Fatal(err)
	}
	f.url = "http://" + started.Address
	resp, err := f.send(t.Context(), "POST", targetapi.PathChat, chat("redac", "x", 60))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	leave()
	text, err := io.ReadAll(resp.Body)
	if ids, _, done := parseStream(t, string(text)); err != nil || !done || len(ids) != 60 {
		t.Errorf("%d tokens, done %v, error %v; want 60 tokens and the end marker", len(ids), done, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against a request with CrashContent that does not crash the target, so that process tests would inject no fault.
func TestCrashContentEndsTheProcess(t *testing.T) {
	f := startTarget(t, nil)
	if status, _ := f.call(t, "POST", targetapi.PathChat, chat("redac", CrashContent, 1)); status != 0 {
		t.Errorf("the request with the crash content was answered with status %d", status)
	}
	if code := <-f.exits; code != ExitCrash {
		t.Errorf("exit code %d, want ExitCrash", code)
	}
}

// Guards against lost execution counts, by which process tests detect non-idempotent calls that ran twice.
func TestServiceCountsExecutions(t *testing.T) {
	f := startTarget(t, func(c *Config) { c.Kind, c.Service = targetapi.Service, "guichet" })
	for _, key := range []string{"k1", "k2", "k1"} {
		if status, text := f.call(t, "PUT", "/book/7?delay=1ms", "x", api.HeaderIdempotencyKey, key); status != http.StatusOK {
			t.Errorf("call of the service: status %d %s", status, text)
		}
	}
	_, text := f.call(t, "GET", PathExecutions, nil)
	var got map[string]int
	if err := json.Unmarshal([]byte(text), &got); err != nil || !cmp.Equal(got, map[string]int{"k1": 2, "k2": 1}) {
		t.Errorf("executions %s, error %v; want k1 twice and k2 once", text, err)
	}
}

// Guards against a delayed order for an earlier incarnation that takes memory of the next one.
func TestOrderForAnotherIncarnationIsRefused(t *testing.T) {
	m := newMemory(&Config{Kind: targetapi.Engine, CapacityBytes: 100, Incarnation: 7})
	for incarnation, want := range map[uint64]targetapi.OrderState{6: targetapi.OrderRefused, 7: targetapi.OrderAccepted, 0: targetapi.OrderAccepted} {
		order := targetapi.Order{
			Version: targetapi.Version, ID: fmt.Sprint(incarnation), Kind: targetapi.LoadModel, Model: fmt.Sprint(incarnation),
			ModelVersion: "1", Bytes: 10, TargetIncarnation: incarnation,
		}
		if got := m.apply(order); got.State != want {
			t.Errorf("incarnation %d: %+v, want %s", incarnation, got, want)
		}
	}
}
