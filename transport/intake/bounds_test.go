package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against trailers that are held without being counted.
func TestTrailersAreCounted(t *testing.T) {
	p := New(Options{})
	read, release := make(chan int, 1), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(r, 1<<20)
		read <- len(r.Trailer)
		<-release
	}))
	go func() { _ = p.Serve(server, l) }()
	t.Cleanup(func() { close(release); _ = server.Close() })
	const fields = 400 // net/http takes trailers up to 4 KiB
	var trailers strings.Builder
	for i := range fields {
		fmt.Fprintf(&trailers, "x%d:\r\n", i)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
	for !inBody(p) { // what arrives with the head is counted as a part of it
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(c, "0\r\n"+trailers.String()+"\r\n")
	select {
	case n := <-read:
		if used := p.used.Load(); n != fields || used < connBytes+initialBody+fields*lineBytes {
			t.Errorf("%d bytes are counted for %d trailers, %d at least expected", used, n, connBytes+initialBody+fields*lineBytes)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not read")
	}
}

// inBody reports whether a client of the pool sends a body.
func inBody(p *Pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		if c.phase.Load() == phaseBody {
			return true
		}
	}
	return false
}

// Guards against a client that waits in vain because all others make progress or wait, and against others that are closed for it
// before it has waited for a while.
func TestOthersAreClosedForTheSeniorAfterAWhile(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		waited time.Duration
		want   bool // another client is closed
	}{{forceAfter / 2, false}, {forceAfter + time.Millisecond, true}} {
		p := New(Options{MemoryMB: 64})
		var clients []*Conn
		for i := range 8 {
			c := admitted(t, p)
			c.enter(phaseBody)
			c.since.Store(now.Add(-time.Duration(20-i) * time.Second).UnixNano())
			c.received.Store(1 << 20) // within the window
			c.held.Add(1 << 20)
			p.used.Add(1 << 20)
			clients = append(clients, c)
		}
		senior := clients[0]
		senior.waitingSince.Store(now.Add(-row.waited).UnixNano())
		senior.wanted.Store(4 << 20)
		p.serveSenior(now)
		if p.senior.Load() != senior {
			t.Fatal("the client that waits is not the senior")
		}
		p.mu.Lock()
		_, open := p.clients[senior]
		n := len(p.clients)
		p.mu.Unlock()
		if closed := n < len(clients); closed != row.want || !open {
			t.Errorf("after a wait of %s, %d of %d clients are open, the senior among them: %t", row.waited, n, len(clients), open)
		}
	}
}

// Guards against fields that are lists of thousands of short elements, such as the parts of a prompt, of which a process keeps several
// times their text.
func TestElementsOfListsAreCounted(t *testing.T) {
	p := New(Options{})
	running, release := make(chan struct{}, 1), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	}))
	go func() { _ = p.Serve(server, l) }()
	t.Cleanup(func() { close(release); _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const elements = 2725
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-List: "+strings.Repeat("ab:1,", elements)+"\r\n\r\n")
	select {
	case <-running:
		if used := p.used.Load(); used < connBytes+elements*elementBytes {
			t.Errorf("%d bytes are counted for %d elements, want %d at least", used, elements, connBytes+elements*elementBytes)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not read")
	}
}
