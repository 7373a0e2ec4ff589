package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// admitted returns a connection of a pool without a client that sends anything.
func admitted(t *testing.T, p *Pool) *Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	send(t, l.Addr().String(), 1, "")
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := p.admit(raw.(*net.TCPConn), false)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against answers of targets that are held for clients without being counted, and against counts that stay after the request,
// also when the answer arrives later than its end.
func TestAnswersAreCountedUntilTheRequestEnds(t *testing.T) {
	p := New(Options{MemoryMB: 64})
	c := admitted(t, p)
	request := context.WithValue(t.Context(), connKey{}, c)
	c.enter(phaseRunning)
	data, err := ReadAll(request, strings.NewReader(strings.Repeat("x", 1<<20)), -1, 2<<20)
	if err != nil || len(data) != 1<<20 || p.used.Load() < 1<<20 {
		t.Errorf("%d bytes were read, %d are counted, error %v", len(data), p.used.Load(), err)
	}
	late := WithClient(context.Background(), ClientOf(request))
	c.end()
	if used := p.used.Load(); used != connBytes {
		t.Errorf("%d bytes are counted after the request, want %d", used, connBytes)
	}
	if _, err := ReadAll(late, strings.NewReader(strings.Repeat("x", 1<<20)), -1, 2<<20); !Refused(err) {
		t.Errorf("an answer is read after the end of its request: error %v", err)
	}
	if used := p.used.Load(); used != connBytes {
		t.Errorf("%d bytes are counted for a request that has ended, want %d", used, connBytes)
	}
	if _, err := ReadAll(request, io.LimitReader(strings.NewReader(strings.Repeat("x", 3<<20)), 3<<20), -1, 2<<20); !errors.Is(err, ErrTooLarge) {
		t.Errorf("an answer above its limit: error %v", err)
	}
}

// Guards against other clients that are closed, and waits of seconds, for one that needs more than there ever is.
func TestWhatNeverFitsIsRefusedAtOnce(t *testing.T) {
	p := New(Options{MemoryMB: 64})
	c := admitted(t, p)
	if err := c.reserve(p.budget); !errors.Is(err, ErrTooLarge) || p.used.Load() != connBytes || p.wanted.Load() != 0 {
		t.Errorf("error %v, %d bytes are counted, %d are waited for", err, p.used.Load(), p.wanted.Load())
	}
}

// Guards against answers that are refused, or not counted, because the request for which they are read has ended, though their result is
// needed, and against counts that stay after them.
func TestAnswersThatOutliveTheRequestAreCounted(t *testing.T) {
	const size = 1 << 20
	read := func(ctx context.Context) error {
		_, err := ReadAll(ctx, strings.NewReader(strings.Repeat("x", size)), size, size)
		return err
	}
	for _, closed := range []bool{false, true} {
		p := New(Options{MemoryMB: 64, Times: Times{Room: time.Millisecond}})
		c := admitted(t, p)
		client, done := ClientOf(context.WithValue(t.Context(), connKey{}, c)).Outlive()
		ctx := WithClient(context.Background(), client)
		if err := read(ctx); err != nil {
			t.Error(err)
		}
		if closed {
			_ = c.Close()
		}
		c.end()
		before := p.used.Load()
		if err := read(ctx); err != nil || p.used.Load() < before+size {
			t.Errorf("error %v, %d bytes are counted after the request, %d before it, connection closed: %v", err, p.used.Load(), before, closed)
		}
		others := p.budget - p.used.Load()
		p.used.Add(others)
		if err := read(ctx); !errors.Is(err, ErrFull) {
			t.Errorf("without room: error %v", err)
		}
		p.used.Add(-others)
		done()
		if used := p.used.Load(); used != before {
			t.Errorf("%d bytes are counted at the end, want %d", used, before)
		}
	}
}
