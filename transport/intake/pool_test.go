package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const testBody = 4 << 20

// serve runs a server of a pool whose handler answers with the length of the body that it read, and reads none at /unread.
func serve(t *testing.T, opts Options) (*Pool, string) {
	t.Helper()
	p := New(opts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			_, _ = io.WriteString(w, strings.Repeat("x", 64<<10)) // net/http reads the body first
			return
		}
		body, err := ReadBody(r, testBody)
		switch {
		case errors.Is(err, ErrFull):
			Refuse(w)
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err == nil:
			_, _ = fmt.Fprint(w, len(body))
		}
	}))
	ctx, stop := context.WithCancel(context.Background())
	go p.Run(ctx)
	go func() { _ = p.Serve(server, l) }()
	t.Cleanup(func() { stop(); _ = server.Close() })
	return p, l.Addr().String()
}

// post sends a body and returns the status and the response.
func post(t *testing.T, address string, body io.Reader) (int, string) {
	t.Helper()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Post("http://"+address+"/", "", body)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// send opens n connections that send a text and stay open.
func send(t *testing.T, address string, n int, text string) {
	t.Helper()
	for range n {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		go func() { _, _ = io.WriteString(c, text) }()
	}
}

// slowBody is a body of a link with 4 Mbit/s.
type slowBody struct{ left int }

func (s *slowBody) Read(b []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(10 * time.Millisecond)
	n := min(len(b), s.left, 5000)
	s.left -= n
	return n, nil
}

func awaitHeld(t *testing.T, p *Pool, done func(held int64) bool, what string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(p.used.Load()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: %d bytes are held", what, p.used.Load())
		}
	}
}

const stopped = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"

// Guards against a legal request that is refused in calm on the smallest machine, and against counts that are not given back.
func TestLegalRequestsPassAndGiveBack(t *testing.T) {
	p, address := serve(t, Options{MemoryMB: 144, MaxFDs: 3075})
	for _, size := range []int{0, 1, initialBody, initialBody + 1, testBody} {
		for name, body := range map[string]io.Reader{"by length": strings.NewReader(strings.Repeat("x", size)),
			"in chunks": io.MultiReader(strings.NewReader(strings.Repeat("x", size)))} {
			if status, text := post(t, address, body); status != http.StatusOK || text != fmt.Sprint(size) {
				t.Errorf("%d bytes %s: status %d, %s", size, name, status, text)
			}
		}
		if status, _ := post(t, address, io.MultiReader(strings.NewReader(strings.Repeat("x", testBody+1)))); status != http.StatusRequestEntityTooLarge {
			t.Errorf("body above the limit: status %d, want 413", status)
		}
	}
	awaitHeld(t, p, func(held int64) bool { return held == 0 }, "after all requests")
}

// Guards against a slow but steady client that is closed in place of those that stopped.
func TestSteadyClientPassesBesideStoppedOnes(t *testing.T) {
	p, address := serve(t, Options{MemoryMB: 32})
	done := make(chan string, 1)
	go func() {
		status, text := post(t, address, &slowBody{left: 2 << 20})
		done <- fmt.Sprintf("%d %s", status, text)
	}()
	awaitHeld(t, p, func(held int64) bool { return held > 256<<10 }, "steady client")
	send(t, address, 40, stopped+strings.Repeat("x", 900_000))
	if got := <-done; got != fmt.Sprintf("200 %d", 2<<20) {
		t.Errorf("steady client: %s", got)
	}
	if p.limits[limitMemory].total.Count() == 0 {
		t.Error("no stopped client was closed")
	}
}

// Guards against large holders that leave no room for ordinary requests.
func TestReserveIsForOrdinaryRequests(t *testing.T) {
	p := New(Options{MemoryMB: 10})
	large, small := &Conn{pool: p}, &Conn{pool: p}
	if !p.take(large, p.budget/2) || p.take(large, 1) {
		t.Error("a large holder gets less or more than its share of the pool")
	}
	if !p.take(small, smallClient) || p.take(small, 1) {
		t.Error("an ordinary client gets no room of the reserve, or more than ordinary clients use")
	}
	p.senior.Store(large)
	if !p.take(large, p.budget/8) || p.take(large, p.budget/4) {
		t.Error("the senior gets no more room than others, or the reserve")
	}
}

// Guards against requests that wait for ever while everybody makes progress or waits.
func TestWaitingEndsWithRefusalOrRoom(t *testing.T) {
	p, address := serve(t, Options{MemoryMB: 1})
	started := time.Now()
	if status, _ := post(t, address, strings.NewReader(strings.Repeat("x", 1<<20))); status == http.StatusOK {
		t.Errorf("a body larger than the pool was read")
	}
	if took := time.Since(started); took > 2*DefaultRoom {
		t.Errorf("answered after %s", took)
	}
	awaitHeld(t, p, func(held int64) bool { return held == 0 }, "after the refusal")
}

// Guards against status 400, which blames the client, for a head for which there is no room.
func TestHeadWithoutRoomIsNotAnswered(t *testing.T) {
	p, address := serve(t, Options{MemoryMB: 1})
	p.used.Add(p.budget)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(3 * DefaultRoom))
	if answer, err := io.ReadAll(c); len(answer) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("answer %q, error %v", answer, err)
	}
}

// Guards against connections beyond the descriptors: idle ones, stopped ones, and those whose body nobody reads.
func TestConnectionsAreBounded(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "stopped in the head": "POST / HTTP", "stopped in the body": stopped,
		"body that nobody reads": "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"} {
		p, address := serve(t, Options{MaxFDs: ownDescriptors + 80})
		send(t, address, 60, text)
		answered := false
		for deadline := time.Now().Add(10 * time.Second); !answered && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			status, _ := post(t, address, strings.NewReader("x"))
			answered = status == http.StatusOK
		}
		p.mu.Lock()
		open := len(p.clients)
		p.mu.Unlock()
		if !answered || open > p.maxConns || p.limits[limitConnections].total.Count() == 0 {
			t.Errorf("%s: ordinary request answered %t, %d connections, at most %d wanted", name, answered, open, p.maxConns)
		}
	}
}

// Guards against descriptors of a request that was closed and still holds its connection to a target.
func TestClosedRequestCountsUntilItEnds(t *testing.T) {
	p := New(Options{MaxFDs: ownDescriptors + 3}) // one connection
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accept := func() *net.TCPConn {
		send(t, l.Addr().String(), 1, "")
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c.(*net.TCPConn)
	}
	first := p.admit(accept(), false)
	first.enter(phaseRunning)
	first.writing.Store(time.Now().Add(-2 * window).UnixNano())
	next := accept()
	if p.admit(next, false) != nil {
		t.Error("a connection is admitted while the request of a closed one still runs")
	}
	_ = first.Close()
	if p.admit(next, false) == nil {
		t.Error("no connection is admitted after the request has ended")
	}
}

// Guards against connections of other processes that are closed in favour of callers, for descriptors and for memory, and against such
// connections that are never closed although they hold more than their part.
func TestPeersAreNotClosedForCallers(t *testing.T) {
	for _, row := range []struct {
		name    string
		opts    Options
		peers   int
		callers string
		want    bool // all connections of peers stay
	}{
		{"idle connections", Options{MaxFDs: ownDescriptors + 80}, 3, "", true}, // 30 connections
		{"too many idle connections", Options{MaxFDs: ownDescriptors + 80}, 12, "", false},
		{"bodies", Options{MemoryMB: 4}, 3, stopped, true},
	} {
		p, address := serve(t, row.opts)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := NewServer(http.NotFoundHandler())
		go func() { _ = p.ServePeers(server, l) }()
		t.Cleanup(func() { _ = server.Close() })
		open := func() (n int) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for c := range p.clients {
				if c.peer {
					n++
				}
			}
			return n
		}
		send(t, l.Addr().String(), row.peers, "")
		for deadline := time.Now().Add(5 * time.Second); open() < row.peers && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		}
		send(t, address, 60, row.callers)
		for deadline := time.Now().Add(10 * time.Second); p.limits[limitConnections].total.Count()+p.limits[limitMemory].total.Count() < 10; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: no bound has acted", row.name)
			}
		}
		if n := open(); (n == row.peers) != row.want {
			t.Errorf("%s: %d of %d connections of peers are open", row.name, n, row.peers)
		}
	}
}

// Guards against bodies and responses that hold a connection without progress while there is no pressure, and against time-outs of
// clients that are within the limits.
func TestStuck(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, row := range []struct {
		name    string
		phase   int32
		bytes   int64 // received each second
		writing bool
		want    time.Duration // 0 if the client is never closed
	}{
		{"body without a byte", phaseBody, 0, false, DefaultStall},
		{"body with a byte now and then", phaseBody, 10, false, DefaultStall},
		{"body of a slow link", phaseBody, 250_000, false, 0},
		{"long response that is awaited", phaseRunning, 0, false, 0},
		{"response that is not read", phaseRunning, 0, true, DefaultStall},
		{"idle connection", phaseIdle, 0, false, 0},
	} {
		c := &Conn{}
		c.phase.Store(row.phase)
		c.since.Store(start.UnixNano())
		if row.writing {
			c.writing.Store(start.UnixNano())
		}
		closed := time.Duration(0)
		for s := time.Duration(0); s <= 60*time.Second && closed == 0; s += time.Second {
			if c.stuck(start.Add(s), DefaultStall) {
				closed = s
			}
			c.received.Add(row.bytes)
		}
		if row.want == 0 && closed != 0 || row.want != 0 && (closed <= row.want || closed > row.want+2*time.Second) {
			t.Errorf("%s: closed after %s, want %s", row.name, closed, row.want)
		}
	}
}

// Guards against an event for each client.
func TestEventsAreBounded(t *testing.T) {
	var events []string
	p := New(Options{Acted: func(limit string, clients int64) { events = append(events, fmt.Sprint(limit, clients)) }})
	now := time.Unix(1000, 0)
	for i := range 100 {
		p.limits[limitMemory].act()
		p.sweep(now.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	p.sweep(now.Add(reportInterval))
	if got := fmt.Sprint(events); got != "[closed_for_memory1 closed_for_memory99]" {
		t.Errorf("events %s", got)
	}
}
