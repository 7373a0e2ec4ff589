package upstream

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a faulty target that exhausts the memory of the process with an answer that never ends: each of these
// heads was read until the deadline of the request, at 50 to 180 MB a second.
func TestEndlessAnswersAreBrokenOff(t *testing.T) {
	chunk := strings.Repeat("x", 8<<10)
	head := "HTTP/1.1 200 OK\r\n" + echoHeader + ": id\r\n"
	for name, answer := range map[string]struct{ start, endless string }{
		"header lines":          {head, "X-Line: " + chunk + "\r\n"},
		"one header line":       {head + "X-Line: ", chunk},
		"status line":           {"HTTP/1.1 200 ", chunk},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"no answer at all":      {"", chunk},
		"chunk extension":       {head + "Transfer-Encoding: chunked\r\n\r\n5;", chunk},
		"chunk extensions":      {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + chunk[:100] + "\r\nx\r\n"},
		"trailer line":          {head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0\r\nX-T: ", chunk},
		"trailer lines":         {head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0\r\n", "X-T: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				defer close(ended)
				if request, _ := readRequest(r); request == nil {
					return
				}
				_, err := io.WriteString(conn, answer.start)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, answer.endless)
					written.Add(int64(n))
				}
			})
			client := newClient()
			started := time.Now()
			_, err := do(t, client, address, "id")
			if err == nil {
				t.Fatal("an endless answer was taken for a complete one")
			}
			<-ended
			if e := asError(t, err); e.Failure == TimedOut || !e.Sent {
				t.Errorf("got %v after %v, want the answer broken off before the deadline", e, time.Since(started))
			}
			// The buffers of the sockets take some hundred KB that nobody reads.
			if n := written.Load(); n > 16<<20 {
				t.Errorf("the server could write %d bytes", n)
			}
		})
	}
}
