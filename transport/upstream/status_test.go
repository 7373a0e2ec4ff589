package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
)

// Guards against a status that no answer can have, and that would panic in the process that relays it.
func TestImpossibleStatusIsMalformed(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101"} {
		address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
			if request, _ := readRequest(r); request != nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\n"+echoHeader+": r\r\nContent-Length: 0\r\n\r\n")
			}
		})
		answer, err := newClient().Do(context.Background(), address, newRequest("r"))
		if err == nil {
			answer.Close()
			t.Errorf("status %s: got an answer", status)
		} else if e := asError(t, err); e.Failure != MalformedAnswer || !e.Sent {
			t.Errorf("status %s: error %v, want a malformed answer to a request that may have run", status, err)
		}
	}
}
