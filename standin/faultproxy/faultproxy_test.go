package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// testTimeout is the timeout for network operations of a test.
const testTimeout = 30 * time.Second

// echoServer starts a server that sends back what it receives and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

func roundTrip(conn net.Conn, text string) error {
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	data := make([]byte, len(text))
	if _, err := io.ReadFull(conn, data); err != nil {
		return err
	}
	if string(data) != text {
		return errors.New("echo server returned " + string(data))
	}
	return nil
}

// Guards against injected faults without an effect and connections that do not recover after Heal. Process tests that
// rely on them would pass without testing the fault.
func TestFaultsTakeEffectUntilHeal(t *testing.T) {
	r, err := New(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	conn := dial(t, r)
	if err := roundTrip(conn, "one"); err != nil {
		t.Fatal(err)
	}

	r.Stall()
	_, _ = conn.Write([]byte("two"))
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read through the stalled relay: got error %v, want a deadline error", err)
	}
	r.Heal()
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(conn, make([]byte, 3)); err != nil {
		t.Errorf("read of the bytes held back by Freeze: %v", err)
	}

	const delay = 30 * time.Millisecond
	r.Delay(delay)
	before := time.Now()
	if err := roundTrip(conn, "three"); err != nil || time.Since(before) < 2*delay {
		t.Errorf("round trip through the delayed relay: error %v after %s, want at least twice the delay", err, time.Since(before))
	}
	r.Heal()

	r.Disconnect()
	if err := roundTrip(conn, "four"); err == nil {
		t.Error("an open connection still works after Cut")
	}
	if err := roundTrip(dial(t, r), "five"); err == nil {
		t.Error("a new connection works after Cut")
	}
	r.Heal()
	if err := roundTrip(dial(t, r), "six"); err != nil {
		t.Errorf("new connection after Heal: %v", err)
	}

	half := dial(t, r)
	_, _ = half.Write([]byte("seven"))
	_ = half.(*net.TCPConn).CloseWrite()
	if text, err := io.ReadAll(half); string(text) != "seven" || err != nil {
		t.Errorf("half-closed connection returned %q, %v", text, err)
	}
}
