package targetclient_test

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
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// startRawTarget starts a target that writes raw bytes. Its handler gets the connection of each request, and closes it or lets it be kept.
func startRawTarget(t *testing.T, serve func(conn *net.TCPConn, r *http.Request) (kept bool)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if request.ContentLength < 1<<20 {
						_, _ = io.Copy(io.Discard, request.Body)
					}
					if !serve(conn.(*net.TCPConn), request) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

var endings = map[string]func(conn *net.TCPConn){
	"close":      func(conn *net.TCPConn) { _ = conn.Close() },
	"half close": func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) },
	"reset":      func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
}

// encode frames a body with a length, in a chunk with a trailer, or with neither, after an informational answer.
func encode(attempt, framing, body string) (head, rest string) {
	head = "HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n" + targetapi.HeaderAttemptID + ": " + attempt + "\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body
	case "chunks":
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nSum: 17\r\n\r\n", len(body), body)
	}
	return head + "Connection: close\r\n\r\n", body
}

// Guards against a stream, a plain call or an order that counts as answered, or an event that is passed on in part, after a target has
// stopped at any byte of its answer.
func TestAnswerCutAtAnyByte(t *testing.T) {
	const events = "id: 0\ndata: {\"n\":0}\n\nid: 1\ndata: {\"n\":1}\n\ndata: [DONE]\n\n"
	const statusBody = `{"version":1}`
	for _, framing := range []string{"length", "chunks", "neither"} {
		for ending, end := range endings {
			t.Run(framing+", "+ending, func(t *testing.T) {
				t.Parallel()
				var cutAt atomic.Int64
				cut := func(conn *net.TCPConn, attempt, body string) {
					head, rest := encode(attempt, framing, body)
					_, _ = io.WriteString(conn, (head + rest)[:min(int(cutAt.Load()), len(head+rest))])
					end(conn)
				}
				address := startRawTarget(t, func(conn *net.TCPConn, r *http.Request) bool {
					attempt := r.Header.Get(targetapi.HeaderAttemptID)
					switch {
					case attempt == "first":
						head, rest := encode(attempt, "length", events)
						_, _ = io.WriteString(conn, head+rest)
						return true
					case r.URL.Path == targetapi.PathChat:
						cut(conn, attempt, events)
					default:
						cut(conn, attempt, statusBody)
					}
					return false
				})
				client := targetclient.New()
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				stream := func(attempt string) (got []string, err error) {
					err = client.Stream(ctx, targetclient.Attempt{Address: address, AttemptID: attempt}, func(e targetclient.Event) error {
						got = append(got, fmt.Sprintf("%d %s %v", e.Offset, e.Data, e.Done))
						return nil
					})
					return got, err
				}
				want := []string{`0 {"n":0} false`, `1 {"n":1} false`, "1  true"}
				head, rest := encode("cut", framing, events)
				statusHead, statusRest := encode("", framing, statusBody)
				callHead, _ := encode("call", framing, statusBody)
				for at := range len(head+rest) + 1 {
					cutAt.Store(int64(at))
					if at%2 == 1 { // the cut is played on a kept connection then
						got, err := stream("first")
						for tries := 1; err != nil && tries < 3; tries++ {
							// The target may close the connection of a whole answer only after the client has reused it.
							got, err = stream("first")
						}
						if err != nil {
							t.Fatalf("first stream: %q, error %v", got, err)
						}
					}
					got, err := stream("cut")
					for i, e := range got {
						if e != want[i] {
							t.Errorf("stream cut at %d: event %q, want %q", at, e, want[i])
						}
					}
					if err == nil && len(got) != len(want) {
						t.Errorf("stream cut at %d: complete with %q", at, got)
					}
					status, err := client.Order(ctx, address, targetapi.Order{})
					if whole := at >= len(statusHead)+strings.LastIndex(statusRest, "}")+1; err == nil && !whole {
						t.Errorf("order cut at %d: answered with %+v", at, status)
					}
					answer, sent, err := client.CallService(ctx, targetclient.ServiceCall{Address: address, Method: "POST", PathAndQuery: "/x", AttemptID: "call"})
					unframed := framing == "neither" && ending != "reset" && at >= len(callHead)
					if err == nil && string(answer.Body) != statusBody && !unframed {
						t.Errorf("call cut at %d: answered with %q", at, answer.Body)
					}
					if err != nil && !sent {
						t.Errorf("call cut at %d: error %v says that it was not sent", at, err)
					}
				}
			})
		}
	}
}
