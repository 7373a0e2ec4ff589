// Package rawserver serves answers that net/http would not write, for tests.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Start starts a server that reads one request of each connection, passes it on, and keeps the connection until the client closes it. It
// returns the address.
func Start(t testing.TB, serve func(conn net.Conn, r *http.Request)) (address string) {
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
			go serveOne(conn, serve)
		}
	}()
	return listener.Addr().String()
}

func serveOne(conn net.Conn, serve func(conn net.Conn, r *http.Request)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	serve(conn, r)
	_, _ = io.Copy(io.Discard, reader)
}
