package upstream

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// keepAliveProbe finds connections that went silent: three probes without an answer end one.
	keepAliveProbe  = time.Second
	keepAliveProbes = 3
	// userTimeout ends a connection whose sent bytes stay unacknowledged. It is longer than a short partition, after
	// which the connection goes on.
	userTimeout = 3 * time.Second
	// idleMargin is left of the idle time that a target announces, for a request on its way.
	idleMargin = 500 * time.Millisecond
	// defaultIdle bounds the reuse of connections whose target announces no idle time.
	defaultIdle = 10 * time.Second
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usableUntil ends the reuse of the connection while it is idle.
	usableUntil time.Time
}

func dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// clean tells whether nothing arrived on an idle connection. Bytes that nobody asked for belong to no request, and an end
// or reset would lose the next request.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// idleLimit reads how long the target keeps the connection open.
func idleLimit(keepAlive string) time.Duration {
	for _, field := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdle
}
