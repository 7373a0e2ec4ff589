package targetclient_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// Guards against an attempt that waits until its deadline for another answer after a target has sent a final one with an informational status.
func TestFinalInformationalStatusIsNotWaitedFor(t *testing.T) {
	for _, status := range []int{100, 103, 199} {
		address := startRawTarget(t, func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s: a\r\nContent-Length: 0\r\n\r\n", status, targetapi.HeaderAttemptID)
			return true
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		client := targetclient.New()
		if err := client.Stream(ctx, targetclient.Attempt{Address: address, AttemptID: "a"}, func(targetclient.Event) error { return nil }); err == nil || ctx.Err() != nil {
			t.Errorf("status %d, stream: error %v, deadline %v; want an error before the deadline", status, err, ctx.Err())
		}
		call := targetclient.ServiceCall{Address: address, Method: "POST", PathAndQuery: "/x"}
		if answer, sent, err := client.CallService(ctx, call); err == nil || !sent || ctx.Err() != nil {
			t.Errorf("status %d, call: answer %+v, sent %v, error %v, deadline %v; want an error before the deadline", status, answer, sent, err, ctx.Err())
		}
	}
}

// Guards against an answer that is refused because its status line has no reason, or informational answers come before it.
func TestUnusualStatusLineIsAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":                   "HTTP/1.1 200\r\n",
		"empty reason":                "HTTP/1.1 200 \r\n",
		"after informational answers": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		address := startRawTarget(t, func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
			return true
		})
		answer, _, err := targetclient.New().CallService(context.Background(), targetclient.ServiceCall{Address: address, Method: "POST", PathAndQuery: "/x"})
		if err != nil || answer.Status != http.StatusOK || string(answer.Body) != "ok" {
			t.Errorf("%s: answer %+v, error %v", name, answer, err)
		}
	}
}
