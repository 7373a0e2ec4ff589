package peer

import (
	"bufio"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// headerBytes is the length prefix of a frame, a big-endian uint32.
const headerBytes = 4

// maxHelloBytes bounds frames before the handshake is complete. Those of the handshake have less than 1 KB; anybody who reaches the port
// may send others.
const maxHelloBytes = 64 << 10

// Bounds of the input that is read and discarded after the reason for closing was sent.
const (
	lingerTimeout = time.Second
	lingerBytes   = 4 << 20
)

// Errors of the send queue and of frames.
var (
	// ErrFrameTooLarge means that a message does not fit into a frame. It was not sent.
	ErrFrameTooLarge = errors.Errorf("message does not fit into a frame of %d bytes", peerapi.MaxFrameBytes)
	// ErrQueueFull means that the send queue of the peer is full. The message was not sent.
	ErrQueueFull = errors.New("send queue of the peer is full")
)

type frame struct {
	data      []byte // with the length prefix
	droppable bool
}

// stream is a jsonrpc2.ObjectStream of bounded frames. WriteObject only queues; a writer goroutine sends urgent frames
// first and delays bulk frames by the rate limit.
type stream struct {
	t          *Transport
	conn       net.Conn
	reader     *bufio.Reader
	limiter    *rateLimiter
	wake       chan struct{}
	closed     chan struct{}
	writerDone chan struct{} // closed when the writer goroutine has ended
	// account counts what the sender of an inbound connection holds, nil for other connections. frameBytes is what it counts for the
	// frame that was read last, which is handled until the next one is read.
	account    *account
	frameBytes int

	mu           sync.Mutex
	queues       [2][]frame // by peerapi.Class
	bytes        [2]int
	nextKind     frameKind
	replyClasses map[jsonrpc2.ID]peerapi.Class
	finishing    bool
	closeOnce    sync.Once
	// receivedAt is the time of the last received frame; a link without recent frames is checked with a ping.
	receivedAt time.Time
	readErr    error
	// unproven is set on inbound connections until the handshake is complete; only the read loop uses it.
	unproven  bool
	violation error // the protocol violation for which the connection is closed
}

// frameKind describes the object that is written next; jsonrpc2 holds one lock while it calls onSend and WriteObject.
type frameKind struct {
	class     peerapi.Class
	droppable bool
}

func newStream(t *Transport, conn net.Conn, account *account) *stream {
	s := &stream{
		t: t, conn: conn, account: account, reader: bufio.NewReader(conn), limiter: t.limiter, wake: make(chan struct{}, 1),
		closed: make(chan struct{}), writerDone: make(chan struct{}), replyClasses: make(map[jsonrpc2.ID]peerapi.Class),
		receivedAt: time.Now(),
	}
	go s.writeLoop()
	return s
}

// onSend records class and kind of the object that is written next.
func (s *stream) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req != nil {
		s.nextKind = frameKind{class: peerapi.ClassOf(req.Method), droppable: req.Notif}
		return
	}
	s.nextKind = frameKind{class: s.replyClasses[resp.ID]}
	delete(s.replyClasses, resp.ID)
}

// expectReply records the class of the response to an inbound call.
func (s *stream) expectReply(req *jsonrpc2.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replyClasses[req.ID] = peerapi.ClassOf(req.Method)
}

// WriteObject implements jsonrpc2.ObjectStream. It never blocks.
func (s *stream) WriteObject(v any) error {
	data, err := encode(v)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(data) > peerapi.MaxFrameBytes {
		return errors.Wrapf(ErrFrameTooLarge, "message of %d bytes", len(data))
	}
	framed := make([]byte, headerBytes+len(data))
	binary.BigEndian.PutUint32(framed, uint32(len(data)))
	copy(framed[headerBytes:], data)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queueLocked(s.nextKind.class, frame{data: framed, droppable: s.nextKind.droppable})
}

// encode and decode call the library's own methods, which validate the JSON; json.Marshal and json.Unmarshal would
// parse every frame a second time.
func encode(v any) ([]byte, error) {
	if m, ok := v.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(v)
}

func decode(data []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(data)
	}
	return json.Unmarshal(data, v)
}

// queueLocked appends a frame. A full queue drops its oldest notifications; without any, it returns ErrQueueFull. It returns ErrNoRoom if
// the receiver of the frame gets no room for it.
func (s *stream) queueLocked(class peerapi.Class, f frame) error {
	for len(s.queues[class]) >= s.t.opts.QueueLength || s.bytes[class]+len(f.data) > s.t.opts.QueueBytes {
		if !s.dropOldestLocked(class) {
			s.t.metrics.dropped.Inc(1)
			return errors.WithStack(ErrQueueFull)
		}
	}
	if !s.account.take(len(f.data)) {
		s.t.metrics.dropped.Inc(1)
		return errors.WithStack(ErrNoRoom)
	}
	s.queues[class] = append(s.queues[class], f)
	s.bytes[class] += len(f.data)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

func (s *stream) dropOldestLocked(class peerapi.Class) bool {
	for i, f := range s.queues[class] {
		if f.droppable {
			s.queues[class] = append(s.queues[class][:i], s.queues[class][i+1:]...)
			s.bytes[class] -= len(f.data)
			s.account.release(len(f.data))
			s.t.metrics.dropped.Inc(1)
			return true
		}
	}
	return false
}

func (s *stream) take(class peerapi.Class) (frame, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queues[class]) == 0 {
		return frame{}, false
	}
	f := s.queues[class][0]
	s.queues[class][0] = frame{}
	s.queues[class] = s.queues[class][1:]
	s.bytes[class] -= len(f.data)
	return f, true
}

// writeLoop is the writer goroutine.
func (s *stream) writeLoop() {
	defer close(s.writerDone)
	for {
		if f, ok := s.take(peerapi.Urgent); ok {
			s.limiter.charge(len(f.data))
			if !s.send(f) {
				return
			}
			continue
		}
		if f, ok := s.take(peerapi.Bulk); ok {
			if !s.sendBulk(f) {
				return
			}
			continue
		}
		s.mu.Lock()
		finished := s.finishing && len(s.queues[peerapi.Urgent]) == 0
		s.mu.Unlock()
		if finished {
			s.closeWrite()
			return
		}
		select {
		case <-s.wake:
		case <-s.closed:
			return
		}
	}
}

// sendBulk sends a frame after the delay of the rate limit; urgent frames that are queued meanwhile are sent first.
func (s *stream) sendBulk(f frame) bool {
	reservation := s.limiter.reserve(len(f.data))
	timer := time.NewTimer(reservation.Delay())
	defer timer.Stop()
	for {
		select {
		case <-s.closed:
			reservation.Cancel()
			return false
		case <-timer.C:
			return s.send(f)
		case <-s.wake:
		}
		for urgent, ok := s.take(peerapi.Urgent); ok; urgent, ok = s.take(peerapi.Urgent) {
			s.limiter.charge(len(urgent.data))
			if !s.send(urgent) {
				reservation.Cancel()
				return false
			}
		}
		if s.isFinishing() {
			reservation.Cancel()
			return true
		}
	}
}

func (s *stream) isFinishing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishing
}

// closeWrite closes the sending direction only. Closing a socket with unread input resets the connection, and the peer
// may then lose the frame that holds the reason.
func (s *stream) closeWrite() {
	halfCloser, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		_ = s.Close()
	}
}

func (s *stream) send(f frame) bool {
	defer s.account.release(len(f.data))
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.t.opts.WriteTimeout))
	if _, err := s.conn.Write(f.data); err != nil {
		_ = s.Close()
		return false
	}
	s.t.metrics.sentBytes.Inc(int64(len(f.data)))
	s.t.metrics.sentMessages.Inc(1)
	return true
}

// ReadObject implements jsonrpc2.ObjectStream. An oversize frame is not read: the reason is sent to the peer and the
// connection is closed.
func (s *stream) ReadObject(v any) error {
	err := s.readObject(v)
	if s.isFinishing() {
		s.linger()
	}
	if err != nil {
		s.mu.Lock()
		s.readErr = err
		s.mu.Unlock()
	}
	return err
}

func (s *stream) readObject(v any) error {
	if s.isFinishing() {
		return io.EOF
	}
	s.account.release(s.frameBytes)
	s.frameBytes = 0
	_ = s.conn.SetReadDeadline(time.Now().Add(s.t.opts.readTimeout()))
	var header [headerBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	limit := uint32(peerapi.MaxFrameBytes)
	if s.unproven {
		limit = maxHelloBytes
	}
	if size > limit {
		err := errors.Errorf("frame of %d bytes is larger than the limit of %d", size, limit)
		s.t.metrics.oversize.Inc(1)
		s.sendClosing(err)
		return err
	}
	data, err := s.readFrame(int(size))
	if err != nil {
		if errors.Is(err, ErrNoRoom) {
			s.sendClosing(err)
		}
		return err
	}
	s.t.metrics.receivedBytes.Inc(int64(headerBytes + len(data)))
	s.t.metrics.receivedMessages.Inc(1)
	s.mu.Lock()
	s.receivedAt = time.Now()
	s.mu.Unlock()
	if err := decode(data, v); err != nil {
		err = errors.Wrap(err, "frame is not a JSON-RPC message")
		s.sendClosing(err)
		return err
	}
	return nil
}

// readFrame reads the content of a frame. What is allocated follows what has arrived, not the announced size, and is counted.
func (s *stream) readFrame(size int) ([]byte, error) {
	var data []byte
	for len(data) < size {
		next := min(max(2*len(data), firstFrameBytes), size)
		if s.account == nil {
			next = size
		}
		began := time.Now()
		if err := s.account.await(next, s.closed); err != nil {
			return nil, err
		}
		if time.Since(began) > roomPoll { // the sender could not make progress meanwhile
			_ = s.conn.SetReadDeadline(time.Now().Add(s.t.opts.readTimeout()))
		}
		grown := append(make([]byte, 0, next), data...)
		s.account.release(s.frameBytes)
		s.frameBytes = next
		if _, err := io.ReadFull(s.reader, grown[len(data):next]); err != nil {
			return nil, err
		}
		data = grown[:next]
	}
	return data, nil
}

// sendClosing queues the reason for closing as the last frame and closes the sending direction after it.
func (s *stream) sendClosing(violation error) {
	data, err := json.Marshal(map[string]any{
		"jsonrpc": "2.0", "method": peerapi.MethodClosing, "params": peerapi.Closing{Reason: violation.Error()},
	})
	s.mu.Lock()
	if err == nil && s.violation == nil {
		s.violation = violation
		framed := append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
		_ = s.queueLocked(peerapi.Urgent, frame{data: framed})
	}
	s.mu.Unlock()
	s.finish()
}

// linger waits until the last frame is sent, then reads and discards the remaining input up to a bound.
func (s *stream) linger() {
	<-s.writerDone
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, s.reader, lingerBytes)
}

// finish closes the sending direction once the queued urgent frames are sent; it discards queued bulk frames.
func (s *stream) finish() {
	s.mu.Lock()
	s.finishing = true
	s.queues[peerapi.Bulk], s.bytes[peerapi.Bulk] = nil, 0
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.closed)
		conn := s.conn
		if tlsConn, ok := conn.(*tls.Conn); ok {
			conn = tlsConn.NetConn() // tls.Conn.Close waits up to 5 s for a peer that does not read
		}
		err = conn.Close()
	})
	return err
}
