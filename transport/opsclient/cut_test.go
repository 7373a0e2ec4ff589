package opsclient_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tarragonhoist/tarragonhoist/transport/opsclient"
)

// Guards against a verdict that an operator takes for whole after an instance has stopped at any byte of its answer.
func TestVerdictCutAtAnyByte(t *testing.T) {
	const verdict = `{"number":7}`
	for framing, parts := range map[string][2]string{
		"length":  {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(verdict)), verdict},
		"chunks":  {"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(verdict), verdict)},
		"neither": {"Connection: close\r\n\r\n", verdict},
	} {
		for _, byReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", framing, byReset), func(t *testing.T) {
				answer := "HTTP/1.1 200 OK\r\n" + parts[0] + parts[1]
				var cutAt atomic.Int64
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = listener.Close() }()
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							_, _ = io.WriteString(conn, answer[:cutAt.Load()])
						}
						if byReset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					}
				}()
				client := opsclient.New("http://"+listener.Addr().String(), "", "operator")
				whole := strings.LastIndex(answer, "}") + 1
				for at := range whole {
					cutAt.Store(int64(at))
					if got, err := client.Verdict(context.Background(), 7); err == nil {
						t.Errorf("cut at %d: verdict %+v", at, got)
					}
				}
			})
		}
	}
}
