package targetclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// Guards against the reset of a plain service's answer without a length that looks like its regular end, because the write of the request
// body has noticed the reset first.
func TestResetUnderLongServiceCallIsNoEndOfAnswer(t *testing.T) {
	address := startRawTarget(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		time.Sleep(10 * time.Millisecond)
		_ = conn.SetLinger(0)
		return false
	})
	client := targetclient.New()
	whole := 0
	const plays = 40
	for range plays {
		_, _, err := client.CallService(context.Background(), targetclient.ServiceCall{Address: address, Method: "POST", PathAndQuery: "/x", Body: make([]byte, 8<<20)})
		if err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d reset answers look complete", whole, plays)
	}
}

// Guards against an answer without a length that counts as broken although its service has closed the connection regularly.
func TestEarlyAnswerToServiceCallIsWhole(t *testing.T) {
	address := startRawTarget(t, func(conn *net.TCPConn, r *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	})
	answer, _, err := targetclient.New().CallService(context.Background(), targetclient.ServiceCall{Address: address, Method: "POST", PathAndQuery: "/x", Body: make([]byte, 8<<20)})
	if err != nil || string(answer.Body) != "whole" {
		t.Errorf("answer %+v, error %v", answer, err)
	}
}
