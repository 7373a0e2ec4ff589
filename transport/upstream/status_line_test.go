package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// withoutWaiting is below the time until the deadline of newRequest.
const withoutWaiting = 4 * time.Second

// answerTo sends one request to a server that writes bytes and keeps the connection open.
func answerTo(t *testing.T, written string) (*Answer, error) {
	t.Helper()
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		if request, _ := readRequest(r); request != nil {
			_, _ = io.WriteString(conn, written)
			_, _ = io.Copy(io.Discard, r)
		}
	})
	return newClient().Do(context.Background(), address, newRequest("r"))
}

// Guards against a status line that counts as that of an answer although its status is none, and against a caller that waits until its
// deadline for an answer after a final one with an informational status.
func TestImpossibleStatusLineIsMalformed(t *testing.T) {
	const rest = "\r\n" + echoHeader + ": r\r\nContent-Length: 2\r\n\r\nok"
	cases := map[string]string{
		"above 599":                  "HTTP/1.1 600 X" + rest,
		"highest of three digits":    "HTTP/1.1 999 X" + rest,
		"four digits":                "HTTP/1.1 2000 X" + rest,
		"two digits":                 "HTTP/1.1 20 X" + rest,
		"no digits":                  "HTTP/1.1 abc X" + rest,
		"hexadecimal":                "HTTP/1.1 0xc X" + rest,
		"digits of another script":   "HTTP/1.1 \u0662\u0660\u0660 X" + rest,
		"no status":                  "HTTP/1.1" + rest,
		"space instead of a status":  "HTTP/1.1 " + rest,
		"reason instead of a status": "HTTP/1.1 OK" + rest,
		"plus":                       "HTTP/1.1 +20 X" + rest,
		"minus":                      "HTTP/1.1 -20 X" + rest,
		"minus zero":                 "HTTP/1.1 -00 X" + rest,
		"space inside":               "HTTP/1.1 2 00 X" + rest,
		"tabulators":                 "HTTP/1.1\t200\tX" + rest,
		"tabulator after the status": "HTTP/1.1 200\tX" + rest,
		"no version":                 "200 OK" + rest,
		"space instead of a version": " 200 OK" + rest,
		"protocol without version":   "HTTP 200 OK" + rest,
		"protocol with an empty one": "HTTP/ 200 OK" + rest,
		"final 100":                  "HTTP/1.1 100 X" + rest,
		"final 103":                  "HTTP/1.1 103 X" + rest,
		"final 199":                  "HTTP/1.1 199 X" + rest,
		"final 199 without a body":   "HTTP/1.1 199 X\r\n" + echoHeader + ": r\r\nContent-Length: 0\r\n\r\n",
		"final 199 in chunks":        "HTTP/1.1 199 X\r\n" + echoHeader + ": r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"600 after an informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 X" + rest,
	}
	for name, written := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			answer, err := answerTo(t, written)
			if took := time.Since(begun); took > withoutWaiting {
				t.Errorf("took %v, so that no other target could answer in time", took)
			}
			if err == nil {
				answer.Close()
				t.Fatalf("got an answer with status %d", answer.StatusCode)
			}
			if e := asError(t, err); e.Failure != MalformedAnswer || !e.Sent {
				t.Errorf("error %v, want a malformed answer to a request that may have run", err)
			}
		})
	}
}

// Guards against answers that are refused although their status is legal.
func TestUnusualStatusLineIsAccepted(t *testing.T) {
	const rest = "\r\n" + echoHeader + ": r\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		written string
		status  int
	}{
		"no reason":                    {"HTTP/1.1 200" + rest, 200},
		"empty reason":                 {"HTTP/1.1 200 " + rest, 200},
		"highest status":               {"HTTP/1.1 599 X" + rest, 599},
		"unassigned status":            {"HTTP/1.1 299 X" + rest, 299},
		"after informational answers":  {"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" + rest, 200},
		"after an unassigned one, 199": {"HTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 OK" + rest, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer, err := answerTo(t, c.written)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Close()
			if body, err := io.ReadAll(answer); err != nil || answer.StatusCode != c.status || string(body) != "ok" {
				t.Errorf("status %d, body %q, error %v; want status %d and a whole body", answer.StatusCode, body, err, c.status)
			}
		})
	}
}
