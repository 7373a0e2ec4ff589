package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client gets.
type answer struct {
	status   int
	body     string
	complete bool
	err      error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, %d bytes", a.status, len(a.body))
}

var requestNumber atomic.Int64

// newID returns the id of the next request.
func newID() string { return fmt.Sprintf("%016x", 0xc0de000000000000+uint64(requestNumber.Add(1))) }

// send sends one request on a connection of its own and reads the answer.
func send(address, head, body string, within time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), strings.SplitN(head, " ", 2)[0])
}

// readAnswer reads one answer.
func readAnswer(r *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(content), complete: err == nil, err: err}
}

// head returns the head of a request without its last empty line.
func head(method, path, id string, budget time.Duration, bodyBytes int, fields ...string) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Budget: %d\r\n", method, path, host, id, budget.Milliseconds())
	for _, field := range fields {
		h += field + "\r\n"
	}
	return h + fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
}

// keepBooking sends one booking after the other on a kept connection, and returns the ids of those whose connection was closed without a
// complete answer.
func keepBooking(ctx context.Context, rec *record, address string, budget time.Duration) (unanswered []string) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			if !pause(ctx, 200*time.Millisecond) {
				return unanswered
			}
			continue
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			id := newID()
			_ = conn.SetDeadline(time.Now().Add(budget + time.Second))
			a := answer{}
			if _, a.err = io.WriteString(conn, head(http.MethodPost, bookingPath+id, id, budget, 5)+"\r\norder"); a.err == nil {
				a = readAnswer(reader, http.MethodPost)
			}
			rec.add("booking", "request", id, "answer", a)
			if a.err != nil {
				unanswered = append(unanswered, id)
				break
			}
			pause(ctx, 20*time.Millisecond)
		}
		_ = conn.Close()
	}
	return unanswered
}
