package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// keepAliveInterval is the interval of TCP keep-alive probes, which find connections to unreachable targets. A
	// connection is closed after keepAliveProbes unanswered probes.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout is TCP_USER_TIMEOUT: a connection whose sent bytes stay unacknowledged for that long is closed. It is
	// longer than a short network partition, so that connections survive one.
	userTimeout = 3 * time.Second
	// idleMargin is subtracted from the idle timeout that a target announces, so that a request sent on an idle
	// connection arrives before the target closes it.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of connections whose target announces none.
	defaultIdleTimeout = 10 * time.Second
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	head   *headLimit
	// usableUntil is the time until which the idle connection may be reused.
	usableUntil time.Time
	// answered are the hashes of the IDs of the latest requests that were answered on the connection. A faulty target may write such an
	// answer once more, so the same request, sent again, uses another connection.
	answered     [maxAnswered]uint64
	answeredRuns int // number of requests that were answered
}

// maxAnswered is the number of IDs that a connection remembers. Requests are sent again within seconds.
const maxAnswered = 16

// recordAnswered remembers the ID of a request that was answered. IDs can be as long as a head, and there are many connections.
func (c *conn) recordAnswered(id string) {
	c.answered[c.answeredRuns%maxAnswered] = xxhash.Sum64String(id)
	c.answeredRuns++
}

// hasAnswered reports whether a request with the ID may have been answered on the connection.
func (c *conn) hasAnswered(id string) bool {
	return slices.Contains(c.answered[:min(c.answeredRuns, maxAnswered)], xxhash.Sum64String(id))
}

// newConn wraps a connection to a target. Close resets it: a request that was given up must not be
// delivered by a later retransmission, for example once a partition has healed, because by then another process may
// have taken over. The system also resets it if this process is killed.
func newConn(raw net.Conn) *conn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	head := &headLimit{Conn: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// maxHeadBytes and maxHeadLines bound the status line and the headers of an answer, with the informational answers before it. Targets
// send well below 1 KiB. Each line costs about a hundred bytes beside its own.
const (
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
)

var errHeadTooLarge = errors.Wrapf(errMalformed, "the head of the answer exceeds %d bytes or %d lines", maxHeadBytes, maxHeadLines)

// headLimit bounds the bytes that are read for the head of an answer. net/http reads a head of any length, so a faulty
// target that sends header lines without end would exhaust the memory of the process.
type headLimit struct {
	net.Conn
	limited bool
	left    int
	lines   int // that may follow
}

// begin limits the following reads until end is called.
func (h *headLimit) begin() { h.limited, h.left, h.lines = true, maxHeadBytes, maxHeadLines }

func (h *headLimit) end() { h.limited = false }

func (h *headLimit) Read(p []byte) (int, error) {
	if !h.limited {
		return h.Conn.Read(p)
	}
	if h.left == 0 || h.lines <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.Conn.Read(p[:min(len(p), h.left)])
	h.left -= n
	head, _, _ := bytes.Cut(p[:n], []byte("\r\n\r\n")) // the body may follow in the same read
	h.lines -= bytes.Count(head, []byte("\n"))
	return n, err
}

// closeGracefully closes a connection without a request in flight. Close would reset it, and the reset could destroy
// bytes that the target has not read yet.
func (c *conn) closeGracefully() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(-1)
	}
	_ = c.Close()
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns the Dial that clients of targets use. A connection is open or has failed after the timeout.
func Dialer(timeout time.Duration) Dial {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
	return dialer.DialContext
}

// clean reports whether an idle connection is open and has no bytes to read. Unsolicited bytes belong to no request,
// and a connection that the target has closed or reset would lose the next request.
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
	noData := false
	var buf [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// idleTimeout returns how long an idle connection may be reused, according to the Keep-Alive header of the target.
func idleTimeout(keepAlive string) time.Duration {
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
	return defaultIdleTimeout
}

// tcpClosed is the state of a connection that was reset, see tcp_states.h. One that the target has closed is in another one until this side
// closes it too.
const tcpClosed = 7

// wasReset reports whether the target reset the connection, if the system tells.
func (c *conn) wasReset() (reset, known bool) { return wasReset(c.Conn) }

func wasReset(c net.Conn) (reset, known bool) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = rc.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return false, false
	}
	return info.State == tcpClosed, true
}

// resetReportingConn is a connection whose reading ends with an error when it was reset, also when a concurrent write was told of the reset first.
type resetReportingConn struct{ net.Conn }

// ReportResets wraps a TCP connection for net/http, which writes a request and reads the answer at the same time. The system reports a reset once
// only, to either of them, and an answer without a length would look complete when the reading sees a regular end.
func ReportResets(c net.Conn) net.Conn { return resetReportingConn{c} }

// Read implements net.Conn.
func (c resetReportingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		// The state is unknown once net/http has closed the connection because the write failed.
		if reset, known := wasReset(c.Conn); reset || !known {
			return n, syscall.ECONNRESET
		}
	}
	return n, err
}
