package logsink

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedOutput blocks writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(b)
}

// Guards against requests that wait because the output blocks, and against an unbounded volume of log lines.
func TestWritingNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		s := New(out, 100)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		reported := int64(0)
		go func() {
			defer close(done)
			s.Run(ctx, func(n int64) { reported += n })
		}()
		began := time.Now()
		const lines = 5000
		for range lines {
			if _, err := s.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Fatalf("writes blocked for %v", took)
		}
		close(out.release)
		time.Sleep(2 * reportInterval)
		cancel()
		<-done
		got := int64(strings.Count(out.written.String(), "line\n"))
		if got == 0 || got > defaultBurst || got+reported != lines {
			t.Fatalf("%d lines written and %d reported as dropped, want %d in total", got, reported, lines)
		}
	})
}

// Guards against losing the lines that are still queued when a process exits.
func TestLastLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	s := New(&out, 100)
	for range 3 {
		if _, err := s.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Run(ctx, func(int64) {})
	if got := strings.Count(out.String(), "last\n"); got != 3 {
		t.Fatalf("%d lines written, want 3", got)
	}
}
