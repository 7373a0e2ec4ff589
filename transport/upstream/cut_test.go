package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// cutBody is the body of the answers that are cut.
const cutBody = "0123456789abcdef0123456789"

// framedAnswer returns the head of an answer to request cut, and what comes after it.
func framedAnswer(framing string) (head, rest string) {
	head = "HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n" + echoHeader + ": cut\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(cutBody)), cutBody
	case "chunks":
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("10\r\n%s\r\n%x\r\n%s\r\n0\r\nSum: 17\r\n\r\n", cutBody[:16], len(cutBody)-16, cutBody[16:])
	}
	return head + "Connection: close\r\n\r\n", cutBody
}

var endings = map[string]func(conn *net.TCPConn){
	"close":      func(conn *net.TCPConn) { _ = conn.Close() },
	"half close": func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) },
	"reset":      func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
}

// Guards against an answer that counts as complete although its target has stopped at any byte of an informational answer, the head, a
// chunk or a trailer.
func TestAnswerCutAtAnyByte(t *testing.T) {
	for _, framing := range []string{"length", "chunks", "neither"} {
		for ending, end := range endings {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept connection %v", framing, ending, kept), func(t *testing.T) {
					t.Parallel()
					head, rest := framedAnswer(framing)
					var cutAt atomic.Int64
					address, connections := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
						for {
							request, _ := readRequest(r)
							if request == nil {
								return
							}
							if request.Header.Get(echoHeader) == "first" {
								writeAnswer(conn, "first", "whole")
								continue
							}
							_, _ = io.WriteString(conn, (head + rest)[:cutAt.Load()])
							end(conn.(*net.TCPConn))
							return
						}
					})
					client := newClient()
					for at := range len(head+rest) + 1 {
						cutAt.Store(int64(at))
						if kept {
							if body, err := do(t, client, address, "first"); err != nil || body != "whole" {
								t.Fatalf("first request: body %q, error %v", body, err)
							}
						}
						body, err := do(t, client, address, "cut")
						whole := at == len(head+rest)
						// "A replica's answer may have no length and end with its connection; one that is reset on the way isn't complete."
						unframed := framing == "neither" && ending != "reset" && at >= len(head)
						switch {
						case err == nil && body != cutBody && !(unframed && strings.HasPrefix(cutBody, body)):
							t.Errorf("cut at %d, after %q: complete with %q", at, (head + rest)[:at], body)
						case err == nil && !whole && !unframed:
							t.Errorf("cut at %d, after %q: the answer counts as complete", at, (head + rest)[:at])
						case err != nil && (unframed || whole && framing != "neither"):
							t.Errorf("cut at %d: the whole answer failed: %v", at, err)
						case err != nil && !asError(t, err).Sent:
							t.Errorf("cut at %d: error %v says that the request was not sent", at, err)
						}
					}
					if n := int(connections.Load()); n != len(head+rest)+1 {
						t.Errorf("%d connections for %d cuts", n, len(head+rest)+1)
					}
				})
			}
		}
	}
}
