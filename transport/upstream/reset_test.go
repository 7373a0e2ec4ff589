package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against the reset of an answer without a length that looks like its regular end, because the write of a long request body has
// noticed the reset first.
func TestResetUnderLongBodyIsNoEndOfAnswer(t *testing.T) {
	for i := range 20 {
		address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+echoHeader+": id\r\nConnection: close\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
		answer, err := newClient().Do(context.Background(), address, &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{},
			Body: []byte(strings.Repeat("x", 8<<20)), ID: "id", EchoHeader: echoHeader, Deadline: time.Now().Add(2 * time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(40 * time.Millisecond)
		body, err := io.ReadAll(answer)
		answer.Close()
		if err == nil {
			t.Fatalf("play %d: a reset answer looks complete with %q", i, body)
		}
	}
}

// Guards against an early answer without a length that counts as broken although its target has closed the connection regularly.
func TestEarlyAnswerWithoutLengthIsWhole(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		request, _ := http.ReadRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+echoHeader+": id\r\nConnection: close\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	})
	answer, err := newClient().Do(context.Background(), address, &Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{},
		Body: []byte(strings.Repeat("x", 8<<20)), ID: "id", EchoHeader: echoHeader, Deadline: time.Now().Add(2 * time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	if body, err := io.ReadAll(answer); err != nil || string(body) != "whole" {
		t.Errorf("body %q, error %v", body, err)
	}
}
