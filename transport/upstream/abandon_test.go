package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// undeliveredBytes exceeds the receive buffer of the test server, so that a part of the request stays in the send
// buffer of the client, like the bytes of a request to a target behind a partition.
const undeliveredBytes = 512 << 10

// Guards against orders that a former leader has given up, but that reach a target seconds later, after orders of its
// successor. A regular close leaves unacknowledged bytes to the kernel, which retransmits them until a partition heals.
func TestGivenUpRequestIsNotDeliveredLater(t *testing.T) {
	givenUp := make(chan struct{})
	received := make(chan error, 1)
	address, _ := startServer(t, func(conn net.Conn, _ *bufio.Reader, _ int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		<-givenUp
		_, err := io.Copy(io.Discard, conn)
		received <- err
	})
	r := newRequest("given-up")
	r.Body = bytes.Repeat([]byte("x"), undeliveredBytes)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := newClient().Do(ctx, address, r)
	if e := asError(t, err); e.Failure != Cancelled || !e.Sent {
		t.Fatalf("got %+v, want a cancelled request that may have run", e)
	}
	close(givenUp)
	if err := <-received; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the server read the request up to %v, want a connection reset", err)
	}
}

// Guards against a reset of connections whose answer was read to its end: a target may still have unread bytes.
func TestUnusedConnectionsAreClosedWithoutReset(t *testing.T) {
	ended := make(chan error, 2)
	address, _ := startServer(t, func(conn net.Conn, r *bufio.Reader, number int) {
		request, _ := readRequest(r)
		if request == nil {
			ended <- errors.New("no request")
			return
		}
		header := "Connection: close\r\n"
		if number == 2 {
			header = ""
		}
		writeAnswer(conn, request.Header.Get(echoHeader), "ok", header)
		_, err := r.ReadByte()
		ended <- err
	})
	client := newClient()
	for _, id := range []string{"closed-by-header", "idle"} {
		if _, err := do(t, client, address, id); err != nil {
			t.Fatal(err)
		}
	}
	client.CloseIdle(time.Now(), func(string) bool { return false })
	for range 2 {
		if err := <-ended; !errors.Is(err, io.EOF) {
			t.Errorf("the connection ended with %v, want a regular close", err)
		}
	}
}
