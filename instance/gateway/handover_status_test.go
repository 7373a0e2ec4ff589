package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/standin/rawserver"
)

// Guards against an impossible status from another gateway that reaches the caller, ends the handler, or has the caller wait for
// another answer until its deadline.
func TestImpossibleStatusFromHelperIsNotRelayed(t *testing.T) {
	for _, status := range []string{"000", "099", "100", "101", "199", "600", "999", "2000", "+20", "abc", "2 00"} {
		for _, sealed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, sealed %v", status, sealed), func(t *testing.T) {
				t.Parallel()
				f := newIsolatedFixture(t, 0)
				f.targetOf("t0", "plain", "", answerOK)
				f.gateway.helpers.set([]string{startRawHelper(t, status, sealed)}, 2)
				response, body, err := f.call("once", "/once/x")
				if err != nil || response.StatusCode != http.StatusBadGateway || body != "" || response.Header.Get("X") != "" || response.Header.Get(testHeaders.Seal) != "" {
					t.Errorf("answer %v, body %q, error %v; want 502 and nothing of the other gateway", response, body, err)
				}
			})
		}
	}
}

// startRawHelper starts a gateway that answers with a status and keeps the connection open.
func startRawHelper(t *testing.T, status string, sealed bool) (address string) {
	t.Helper()
	seal := ""
	if sealed {
		seal = sealHeader + "\r\n"
	}
	return rawserver.Start(t, func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: %s\r\n%s%s: t0\r\nX: y\r\nContent-Length: 4\r\n\r\nleak", status, testHeaders.RequestID,
			r.Header.Get(testHeaders.RequestID), seal, fleetapi.HeaderHandoverTarget)
	})
}
