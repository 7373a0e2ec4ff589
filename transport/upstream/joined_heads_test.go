package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against two answers that pass for one: a target stops in a header line, and another answer follows on the same connection. Its
// status line then continues the header, and its body would pass under the id of the first.
func TestAnswerAfterPartOfHeadIsNotJoined(t *testing.T) {
	head, _ := framedAnswer("length")
	for name, second := range map[string]string{
		"of another request":  "HTTP/1.1 200 OK\r\n" + echoHeader + ": other\r\nContent-Length: 6\r\n\r\ntheirs",
		"of the same request": "HTTP/1.1 503 X\r\n" + echoHeader + ": cut\r\nContent-Length: 6\r\n\r\ntheirs",
		"without an id":       "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ntheirs",
	} {
		t.Run(name, func(t *testing.T) {
			for _, first := range []string{head, strings.Replace(head, "Content-Length", "Z: z\r\nContent-Length", 1)} {
				var cutAt atomic.Int64
				address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
					if request, _ := readRequest(r); request != nil {
						_, _ = io.WriteString(conn, first[:cutAt.Load()]+second)
					}
				})
				client := newClient()
				for at := range first {
					cutAt.Store(int64(at))
					answer, err := client.Do(context.Background(), address, newRequest("cut"))
					if err != nil {
						continue
					}
					body, err := io.ReadAll(answer)
					answer.Close()
					// What comes before the second status line may be empty or informational; the second answer is whole then.
					if err == nil && (name != "of the same request" || answer.StatusCode != 503) {
						t.Errorf("cut at %d, after %q: status %d, complete with %q", at, first[:at], answer.StatusCode, body)
					}
				}
			}
		})
	}
}
