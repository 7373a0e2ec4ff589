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

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedWriter) Write(b []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(b)
}

// Guards against requests that wait because the output blocks, and against an unbounded volume of log lines.
func TestWritingNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		s := New(out, 100)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		droppedLines := int64(0)
		go func() {
			defer close(done)
			s.Run(ctx, func(n int64) { droppedLines += n })
		}()
		started := time.Now()
		const lines = 5000
		for range lines {
			if _, err := s.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(started); took != 0 {
			t.Fatalf("writes blocked for %v", took)
		}
		close(out.release)
		time.Sleep(2 * reportInterval)
		cancel()
		<-done
		got := int64(strings.Count(out.written.String(), "line\n"))
		if got == 0 || got > defaultBurstLines || got+droppedLines != lines {
			t.Fatalf("%d lines written and %d reported as dropped, want %d in total", got, droppedLines, lines)
		}
	})
}

// Guards against losing the lines that are still queued when a process exits.
func TestQueuedLinesAreWrittenAtExit(t *testing.T) {
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
