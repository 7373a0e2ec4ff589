package opsclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/standin/rawserver"
	"github.com/tarragonhoist/tarragonhoist/transport/opsclient"
)

// startRawInstance starts a server that writes the same bytes to each request and keeps the connection open.
func startRawInstance(t *testing.T, written string) (url string) {
	t.Helper()
	return "http://" + rawserver.Start(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, written) })
}

// Guards against a status that no answer can have and that an operator takes for the instance's, and against an operator who waits for
// an answer that does not come.
func TestImpossibleStatusIsNoVerdict(t *testing.T) {
	const rest = " X\r\nContent-Length: 12\r\n\r\n{\"number\":7}"
	for _, status := range []string{"000", "099", "100", "101", "199", "600", "999", "2000", "+20", "abc", "2 00"} {
		client := opsclient.New(startRawInstance(t, "HTTP/1.1 "+status+rest), "", "operator")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		verdict, err := client.Verdict(ctx, 7)
		var answered *opsclient.StatusError
		if err == nil || errors.As(err, &answered) || ctx.Err() != nil {
			t.Errorf("status %s: verdict %+v, error %v, deadline %v; want an error that names no answer, before the deadline", status, verdict, err, ctx.Err())
		}
	}
	client := opsclient.New(startRawInstance(t, "HTTP/1.1 200\r\nContent-Length: 12\r\n\r\n{\"number\":7}"), "", "operator")
	if verdict, err := client.Verdict(context.Background(), 7); err != nil || verdict.Number != 7 {
		t.Errorf("no reason: verdict %+v, error %v", verdict, err)
	}
}
