package intake

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// place is where a crowd sends its requests.
type place struct{ name, address, path, key string }

func (d *deployment) places(only string) []place {
	if only != "" {
		return slices.DeleteFunc(d.places(""), func(p place) bool { return p.name != only })
	}
	return []place{
		{"route", d.callers, "/x/", knownKey},
		{"no route", d.callers, "/none/", knownKey},
		{"unknown key", d.callers, "/x/", "other"},
		{"no key", d.callers, "/x/", ""},
		{"readiness", d.ready, "/api/ready", ""},
		{"control call", d.control, "/api/Config.Replace", ""},
		{"metrics", d.metrics, "/m", ""},
		{"handover", fmt.Sprintf("%s:%d", gatewayIP, d.peerPort), "/x/", knownKey},
		{"peers", fmt.Sprintf("%s:%d", controlIP, d.peerPort), "/", ""},
	}
}

// head returns the head of a request without its last line. name completes the paths of callers.
func (p place) head(method, name string) string {
	if !strings.HasSuffix(p.path, "/") {
		name = ""
	}
	h := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c\r\n", method, p.path, name)
	if p.name == "handover" {
		h += fleetapi.HeaderHandoverSends + ": 1\r\n" + fleetapi.HeaderHandoverVersion + ": 1\r\n" + fleetapi.HeaderHandoverService + ": one\r\n"
	}
	if p.key != "" {
		h += "Api-Key: " + p.key + "\r\n"
	}
	return h
}

// crowd is a number of clients that behave alike. send writes what one of them sends; the connection stays open after it.
type crowd struct {
	name    string
	clients int
	send    func(c net.Conn, p place)
	// trickle is written a byte at a time after that.
	trickle string
	once    bool   // the path does not matter
	only    string // place to which alone the crowd goes
}

const announced = "Content-Length: %d\r\n\r\n"

// fields returns distinct header fields of one size, up to headBytes together.
func fields(format string) string { return fieldsUpTo(headBytes, format) }

func fieldsUpTo(size int, format string) string {
	var b strings.Builder
	for i := 0; b.Len() < size-400; i++ {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// write sends parts until the other side stops reading.
func write(c net.Conn, parts ...string) {
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
	}
}

// afterHead sends a head with fields, and a body that stops one byte short.
func afterHead(fields string) func(net.Conn, place) {
	return func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fields+fmt.Sprintf(announced, 3)+"xx")
	}
}

var (
	legalBody  = strings.Repeat("x", bodyBytes-1)
	chunk      = "10\r\n0123456789abcdef\r\n"
	tinyChunks = strings.Repeat(chunk, bodyBytes/16-1)
	farTooLong = 16 * bodyBytes
)

// writePieces sends a body in pieces of 1,000 bytes.
func writePieces(c net.Conn, body string) {
	for ; len(body) > 0; body = body[min(1000, len(body)):] {
		if _, err := io.WriteString(c, body[:min(1000, len(body))]); err != nil {
			return
		}
	}
}

// readNothing keeps the receive buffer small, so that responses stay at the sender.
func readNothing(c net.Conn) { _ = c.(*net.TCPConn).SetReadBuffer(4 << 10) }

var crowds = []crowd{
	{name: "bodies by length", clients: 96, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, bodyBytes), legalBody)
	}},
	{name: "bodies that are only announced", clients: 96, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, bodyBytes)+"x")
	}},
	{name: "bodies in small pieces", clients: 96, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, bodyBytes))
		writePieces(c, legalBody)
	}},
	{name: "bodies in tiny chunks", clients: 96, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Transfer-Encoding: chunked\r\n\r\n", tinyChunks)
	}},
	{name: "announced bodies far too long", clients: 96, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, farTooLong), legalBody)
	}},
	{name: "chunked bodies far too long", clients: 96, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Transfer-Encoding: chunked\r\n\r\n", "1000000\r\n", legalBody, legalBody, legalBody)
	}},
	{name: "expected bodies far too long", clients: 96, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Expect: 100-continue\r\n"+fmt.Sprintf(announced, farTooLong), legalBody)
	}},
	{name: "expected bodies", clients: 96, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Expect: 100-continue\r\n"+fmt.Sprintf(announced, bodyBytes), legalBody)
	}},
	{name: "short fields", clients: 240, send: afterHead(fields("%x:\r\n"))},
	{name: "long names", clients: 240, send: afterHead(fields(strings.Repeat("n", 2000) + "%d: v\r\n"))},
	{name: "repeated fields", clients: 240, send: afterHead(strings.Repeat("a:\r\n", headBytes/4-100))},
	{name: "trailers", clients: 240, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+fields("%x:\r\n"))
	}},
	{name: "pipelined requests", clients: 40, send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, strings.Repeat(p.head("POST", "medium")+fmt.Sprintf(announced, 1)+"x", 300))
	}},
	{name: "unread responses", clients: 300, send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, p.head("POST", "large")+fmt.Sprintf(announced, 1)+"x")
	}},
	{name: "unread short responses", clients: 300, send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, p.head("POST", "medium")+fmt.Sprintf(announced, 1)+"x")
	}},
	{name: "silent connections", clients: 700, once: true, send: func(net.Conn, place) {}},
	{name: "slow heads", clients: 700, once: true, trickle: "Slow-Field: ........................................................",
		send: func(c net.Conn, p place) { write(c, p.head("POST", "small")) }},
	{name: "slow bodies", clients: 700, trickle: strings.Repeat("x", 200),
		send: func(c net.Conn, p place) { write(c, p.head("POST", "small")+fmt.Sprintf(announced, 4000)) }},
	{name: "half-closed", clients: 700, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, 1)+"x"+p.head("POST", "small"))
		_ = c.(*net.TCPConn).CloseWrite()
	}},
	{name: "frames between processes", clients: 96, only: "peers", send: func(c net.Conn, _ place) {
		write(c, "\x00\x10\x00\x00", legalBody)
	}},
	{name: "large frames between processes", clients: 96, only: "peers", send: func(c net.Conn, p place) {
		write(c, hello(c, p), "\x00\x10\x00\x00", legalBody)
	}},
	{name: "unread responses between processes", clients: 96, only: "peers", send: func(c net.Conn, p place) {
		readNothing(c)
		write(c, hello(c, p), strings.Repeat(peerMessage(c, peerapi.MethodPing, strings.Repeat("x", 50_000), "{}"), 30))
	}},
	{name: "silent processes", clients: 700, only: "peers", send: func(c net.Conn, p place) { write(c, hello(c, p)) }},
	{name: "idle after a response", clients: 700, send: func(c net.Conn, p place) {
		write(c, p.head("POST", "small")+fmt.Sprintf(announced, 1)+"x")
	}},
}

// peerMessage returns the frame of a call between processes, sent under the address of a connection as the name of its process.
func peerMessage(c net.Conn, method, id, params string) string {
	text := fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"method":%q,"meta":{"c":"fleet","s":%q,"i":1,"v":%d},"params":%s}`, id, method, c.LocalAddr(), peerapi.Version, params)
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(text)))) + text
}

// hello returns the frame that opens a connection between processes.
func hello(c net.Conn, p place) string {
	return peerMessage(c, peerapi.MethodHello, "h", fmt.Sprintf(`{"cluster":"fleet","sender":%q,"incarnation":1,"receiver":%q,"version":%d}`,
		c.LocalAddr(), p.address, peerapi.Version))
}

// peerAnswers opens a connection between processes and reports whether its handshake is answered.
func peerAnswers(p place) bool {
	c, err := net.DialTimeout("tcp", p.address, clientWait)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(clientWait))
	write(c, hello(c, p))
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return false
	}
	text := make([]byte, min(binary.BigEndian.Uint32(size[:]), 1<<16))
	_, err = io.ReadFull(c, text)
	return err == nil && strings.Contains(string(text), `"result"`)
}

// clientWait is how long a client tries to send.
const clientWait = 2 * time.Second

// join lets the clients of a crowd connect and send; leave closes their connections.
func (c *crowd) join(p place) (leave func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var sending, trickling sync.WaitGroup
	left := make(chan struct{})
	for range c.clients {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", p.address, clientWait)
			if err != nil {
				return // refused or not accepted any more
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(clientWait))
			c.send(conn, p)
			if c.trickle != "" {
				trickling.Go(func() { writeSlowly(conn, c.trickle, left) })
			}
		})
	}
	sending.Wait()
	return func() {
		close(left)
		for _, conn := range conns {
			_ = conn.Close()
		}
		trickling.Wait()
	}
}

func writeSlowly(c net.Conn, text string, left chan struct{}) {
	_ = c.SetWriteDeadline(time.Time{})
	for i := range text {
		select {
		case <-left:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if _, err := io.WriteString(c, text[i:i+1]); err != nil {
			return
		}
	}
}

// settleTime lets the processes read what the clients have sent.
const settleTime = 100 * time.Millisecond

// Guards against clients that end a process by the memory or the descriptors that they hold, or that keep ordinary callers out.
func TestCrowds(t *testing.T) {
	d := newDeployment(t)
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			d.t = t
			for _, p := range d.places(os.Getenv("INTAKE_PLACE")) {
				if c.once && p.address == d.callers && p.name != "route" || c.only != "" && c.only != p.name {
					continue
				}
				answers := func() bool { return d.answers() && (p.name != "peers" || peerAnswers(p)) }
				if problem := withCrowd(&c, p, answers, d.gateway, d.controlInstance); problem != "" {
					t.Errorf("%s: %s", p.name, problem)
					d.restart(false)
				}
			}
		})
	}
}

// withCrowd returns what is wrong while a crowd is connected, empty if nothing is.
func withCrowd(c *crowd, p place, answers func() bool, processes ...*process) string {
	leave := c.join(p)
	defer leave()
	time.Sleep(settleTime)
	answered := false
	for deadline := time.Now().Add(answerWait); !answered && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		answered = answers()
	}
	for _, process := range processes {
		if problem := process.check(); problem != "" {
			return problem
		}
	}
	if !answered {
		return "ordinary requests are not answered"
	}
	return ""
}
