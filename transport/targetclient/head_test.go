package targetclient_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// Guards against an answer that is joined with the next one because the target stopped inside a line of its head, and against a status that no
// answer can have.
func TestSpoiledHeadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"status line in a header": "HTTP/1.1 200 OK\r\n" + targetapi.HeaderAttemptID + ": a\r\nX: yHTTP/1.1 200 OK\r\n" + targetapi.HeaderAttemptID + ": b\r\n",
		"status line in a status": "HTTP/1.1 200 OHTTP/1.1 503 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"status 099":              "HTTP/1.1 099 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"status 101":              "HTTP/1.1 101 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"status 000":              "HTTP/1.1 000 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"status 600":              "HTTP/1.1 600 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"status 999":              "HTTP/1.1 999 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"status 2000":             "HTTP/1.1 2000 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"status with a sign":      "HTTP/1.1 +20 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"status without digits":   "HTTP/1.1 abc X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"final status 103":        "HTTP/1.1 103 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"final status 199":        "HTTP/1.1 199 X\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
		"no version":              "200 OK\r\n" + targetapi.HeaderAttemptID + ": a\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startRawTarget(t, func(conn *net.TCPConn, _ *http.Request) bool {
				const body = "data: [DONE]\n\n"
				_, _ = io.WriteString(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
				return false
			})
			client := targetclient.New()
			err := client.Stream(context.Background(), targetclient.Attempt{Address: address, AttemptID: "a"}, func(targetclient.Event) error { return nil })
			if incomplete := new(targetclient.IncompleteError); !errors.As(err, &incomplete) {
				t.Errorf("stream: error %T %v, want an IncompleteError", err, err)
			}
			answer, sent, err := client.CallService(context.Background(), targetclient.ServiceCall{Address: address, Method: "POST", PathAndQuery: "/x"})
			if err == nil || !sent {
				t.Errorf("call: answer %+v, sent %v, error %v; want an error of a call that was sent", answer, sent, err)
			}
			if err := client.Cancel(context.Background(), address, "a"); err == nil {
				t.Error("cancellation: counts as answered")
			}
		})
	}
}
