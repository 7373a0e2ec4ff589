package gateway

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered before it is relayed, so that the request can be
	// sent again when the answer breaks off.
	maxBufferedBytes = 256 << 10
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
	// copyBufferBytes is the size of the buffer of an answer that is relayed while it arrives.
	copyBufferBytes = 16 << 10
	// maxEventBytes bounds an event of a stream that is held back until it is complete.
	maxEventBytes = 1 << 20
)

// relay relays the answers of targets to one caller.
type relay struct {
	g *Gateway
	w *answer
	q *request
	// headSent is set once the status and headers of an answer were sent to the caller.
	headSent    atomic.Bool
	status      int    // of the head that was sent
	lastEventID string // id of the last event with one that was relayed
	// unnamed is set while the last event that was relayed has no id. The next target would send it once more.
	unnamed bool
	bytes   int64
	events  int // complete events of the current attempt that were relayed
	// sound is set once the target of the current attempt has gone on after it began the answer.
	sound bool
	// firstEventAt and lastEventAt are the times of the first and the latest event of a stream, maxEventPause is the longest
	// pause between two of them.
	firstEventAt, lastEventAt time.Time
	maxEventPause             time.Duration
	inFlight                  *dispatch.InFlightRequest // nil for an answer through another gateway
	target                    *roster.Entry             // of the current attempt
	attempt                   *attempt                  // nil for an answer through another gateway
	// final is set if no other attempt may follow a failure that the current one relays.
	final bool
}

// mayGoOn reports whether the answer of another attempt may follow. Once a part of a body has reached the caller, only a stream goes on,
// and only after an event that it can name to the next target.
func (r *relay) mayGoOn() bool {
	return !r.headSent.Load() || r.q.route.Kind == routes.Stream && (r.bytes == 0 || r.lastEventID != "" && !r.unnamed)
}

// mayContinue reports whether an answer may be the rest of the stream whose head was sent: it has the same status, content type and
// encoding. An error or a page of another kind is not what the caller was told to expect.
func (r *relay) mayContinue(a *upstream.Answer) bool {
	sent := r.w.Header()
	return a.StatusCode == r.status && mediaType(a.Header) == mediaType(sent) &&
		a.Header.Get("Content-Encoding") == sent.Get("Content-Encoding")
}

// recordEventTime records the time of an event and the pause before it.
func (r *relay) recordEventTime(now time.Time) {
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	} else {
		pause := now.Sub(r.lastEventAt)
		r.maxEventPause = max(r.maxEventPause, pause)
		if r.inFlight != nil {
			r.g.loadTracker.Event(now, r.inFlight, pause)
		}
	}
	r.lastEventAt = now
}

// relayAnswer relays an answer, unless it is damaged or has to be replaced by that of another attempt.
func (r *relay) relayAnswer(a *upstream.Answer) (outcome, dispatch.RequestEnd) {
	r.events = 0
	success := a.StatusCode >= 200 && a.StatusCode < 300
	stream := r.q.route.Kind == routes.Stream && success
	switch {
	case success && a.Header.Get(r.g.opts.Headers.Seal) == "":
		// Targets seal their answers. One without a seal may be damaged or come from elsewhere.
		return mayHaveRun, dispatch.Failed
	case r.headSent.Load() && !r.mayContinue(a):
		return mayHaveRun, dispatch.Failed
	case stream:
		return r.relayStream(a)
	case a.ContentLength > maxBufferedBytes:
		return r.relayUnbuffered(a)
	}
	return r.relayBuffered(a, success)
}

// relayBuffered buffers a short answer completely before it relays it.
func (r *relay) relayBuffered(a *upstream.Answer, success bool) (outcome, dispatch.RequestEnd) {
	reserved := reservation{held: &r.g.held}
	defer reserved.release()
	body, err := readHeld(heardReader{a, r.attempt}, maxBufferedBytes, &reserved)
	if errors.Is(err, errHeldEnough) {
		r.sendHead(a)
		if err := r.write(body, false); err != nil {
			return abandoned, dispatch.Neutral
		}
		body = nil
		reserved.release()
		return r.copyBody(a)
	}
	if err != nil {
		return classifyBodyError(err)
	}
	end := dispatch.Complete
	if !success && a.StatusCode >= http.StatusInternalServerError {
		end = dispatch.Failed
		if r.q.route.Repeatable() && !r.final && r.q.sends+1 < r.q.maxRuns() && time.Now().Before(r.q.deadline.Add(-minTimeLeft)) {
			return mayHaveRun, end
		}
	}
	if r.q.method != http.MethodHead && bodyAllowed(a.StatusCode) {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.sendHead(a)
	if err := r.write(body, false); err != nil {
		return abandoned, dispatch.Neutral
	}
	r.recordAnswered(a)
	return delivered, end
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// relayUnbuffered relays a long answer while it arrives.
func (r *relay) relayUnbuffered(a *upstream.Answer) (outcome, dispatch.RequestEnd) {
	r.w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	r.sendHead(a)
	return r.copyBody(a)
}

func (r *relay) copyBody(a *upstream.Answer) (outcome, dispatch.RequestEnd) {
	buffer := make([]byte, copyBufferBytes)
	body := heardReader{a, r.attempt}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if writeErr := r.write(buffer[:n], false); writeErr != nil {
				return abandoned, dispatch.Neutral
			}
		}
		if errors.Is(err, io.EOF) {
			r.recordAnswered(a)
			return delivered, dispatch.Complete
		}
		if err != nil {
			return classifyBodyError(err)
		}
	}
}

// relayStream relays complete events as they arrive. An incomplete event at the end is dropped, so that the next target can
// resume after the last complete one.
func (r *relay) relayStream(a *upstream.Answer) (outcome, dispatch.RequestEnd) {
	rest := r.headSent.Load() // the answer goes on with one that broke off
	if !rest {
		r.g.recordStream(r.q, r.target)
		r.sendHead(a)
	}
	after := r.lastEventID
	if after == "" && r.q.route.Repeatable() {
		after = r.q.header.Get(r.g.opts.Headers.LastEvent) // the caller takes the stream up itself
	}
	resumed := rest || after != ""
	reserved := reservation{held: &r.g.held}
	defer reserved.release()
	var pending []byte
	empty := true
	buffer := make([]byte, streamBufferBytes)
	body := heardReader{a, r.attempt}
	for {
		n, err := body.Read(buffer)
		searchFrom := max(len(pending)-(maxEventEndBytes-1), 0) // what is before it was searched already
		var fits bool
		if pending, fits = reserved.append(pending, buffer[:n]); !fits {
			return mayHaveRun, dispatch.Failed
		}
		empty = empty && n == 0
		if end := completeEventsLen(pending[searchFrom:]); end > 0 {
			end += searchFrom
			foreign := false
			if resumed {
				follows := followingEventsLen(pending[:end], after)
				foreign, end = follows < end, follows
			}
			if end == 0 {
				return mayHaveRun, dispatch.Failed
			}
			r.recordLastEventID(pending[:end])
			if r.lastEventID != "" {
				after = r.lastEventID
			}
			if r.events += eventCount(pending[:end]); r.events >= soundEvents && !r.sound {
				r.sound = true
				r.g.recordSound(r.target, r.q.suspects[1:])
			}
			r.recordEventTime(time.Now())
			if writeErr := r.write(pending[:end], true); writeErr != nil {
				return abandoned, dispatch.Neutral
			}
			if foreign {
				return mayHaveRun, dispatch.Failed
			}
			pending = append(pending[:0], pending[end:]...)
			if cap(pending) > freeHeldBytes {
				pending = append([]byte(nil), pending...) // after an event of unusual size
				reserved.release()
			}
		}
		switch {
		case errors.Is(err, io.EOF) && rest && (len(pending) > 0 || r.events == 0):
			// The rest of a stream consists of events. An answer without any does not show that the stream had reached its end.
			return mayHaveRun, dispatch.Failed
		case errors.Is(err, io.EOF) && len(pending) > 0 && (isEventStream(a) || endsWithConnection(a)):
			return mayHaveRun, dispatch.Failed
		case errors.Is(err, io.EOF) && empty && endsWithConnection(a):
			return mayHaveRun, dispatch.Failed
		case errors.Is(err, io.EOF):
			if len(pending) > 0 {
				if writeErr := r.write(pending, true); writeErr != nil {
					return abandoned, dispatch.Neutral
				}
			}
			r.recordAnswered(a)
			return delivered, dispatch.Complete
		case err != nil:
			return classifyBodyError(err)
		case len(pending) > maxEventBytes:
			return mayHaveRun, dispatch.Failed
		}
	}
}

// isEventStream reports whether the body consists of events. One that ends inside an event was broken off, even if a length or
// a last chunk says that it is complete.
func isEventStream(a *upstream.Answer) bool { return mediaType(a.Header) == "text/event-stream" }

// mediaType returns the content type without its parameters, empty if there is none.
func mediaType(h http.Header) string {
	name, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}

// endsWithConnection reports whether the body is ended only by the end of the connection. A target that breaks off may
// close the connection too, so such a stream has to end with a complete event, and an answer of this kind does not show that
// its target went on.
func endsWithConnection(a *upstream.Answer) bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// maxEventEndBytes is the length of the longest end of an event that completeEventsLen knows.
const maxEventEndBytes = 3

// completeEventsLen returns the length of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// eventCount returns the number of complete events in b, which end with an empty line.
func eventCount(b []byte) int {
	return bytes.Count(b, []byte("\n\n")) + bytes.Count(b, []byte("\n\r\n"))
}

// followingEventsLen returns the length of the events at the start of b, all of which are complete, that may go on with a stream after the
// event with the id after, or begin it if after is empty. The others belong to another run, or are no events of a stream.
func followingEventsLen(b []byte, after string) int {
	end := 0
	for end < len(b) {
		n := firstEventLen(b[end:])
		id, content := parseEvent(b[end : end+n])
		if content && !follows(id, after) {
			return end
		}
		if content {
			after = id
		}
		end += n
	}
	return end
}

// firstEventLen returns the length of the first event in b, which consists of complete events.
func firstEventLen(b []byte) int {
	end := len(b)
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(b[:end], []byte("\n\r\n")); i >= 0 {
		end = i + 3
	}
	return end
}

// parseEvent returns the id of an event, empty if it has none, and whether it has any content beside comments and the time after which a
// caller connects again.
func parseEvent(b []byte) (id string, content bool) {
	for line := range bytes.Lines(b) {
		line = bytes.TrimRight(line, "\r\n")
		switch value, isID := bytes.CutPrefix(line, []byte("id:")); {
		case isID:
			id, content = string(bytes.TrimSpace(value)), true
		case len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")):
			content = true
		}
	}
	return id, content
}

// follows reports whether the event with the given id may come after another one. The ids of a stream increase. Those that are no
// numbers can't be ordered, and are only compared.
func follows(id, after string) bool {
	if id == "" || id == after {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(after, 10, 64)
	return err != nil || lastErr != nil || n > last
}

// recordLastEventID records the id of the last event in b, which consists of complete events.
func (r *relay) recordLastEventID(b []byte) {
	for len(b) > 0 {
		n := firstEventLen(b)
		id, content := parseEvent(b[:n])
		if id != "" {
			r.lastEventID = id
		}
		if content {
			r.unnamed = id == ""
		}
		b = b[n:]
	}
}

// sendHead sends the status and headers of an answer.
func (r *relay) sendHead(a *upstream.Answer) {
	header := r.w.Header()
	dropped := connectionOptions(a.Header)
	for name, values := range a.Header {
		if connectionHeaders[name] || dropped[name] {
			continue
		}
		header[name] = values
	}
	if r.q.handedOver {
		handoverTarget(header, r.target)
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	r.status = a.StatusCode
	r.w.WriteHeader(a.StatusCode)
	r.headSent.Store(true)
}

// write sends bytes to the caller. An error means that the caller closed the connection.
func (r *relay) write(b []byte, flush bool) error {
	n, err := r.w.Write(b)
	r.bytes += int64(n)
	if err == nil && flush {
		err = http.NewResponseController(r.w).Flush()
	}
	return err
}

// recordAnswered records an answer that was relayed completely.
func (r *relay) recordAnswered(a *upstream.Answer) {
	g, q := r.g, r.q
	r.w.whole = true
	if a.StatusCode >= 200 && a.StatusCode < 300 && !endsWithConnection(a) {
		suspects := q.suspects
		if r.sound {
			// The parts were answered earlier. In the meantime they may have begun to crash targets.
			suspects = suspects[:1]
		}
		g.recordSound(r.target, suspects)
	}
	took := time.Since(q.arrived)
	g.metrics.answered.Inc(1)
	g.metrics.totalMs.Update(took.Milliseconds())
	g.metrics.heldMs.Update(q.waited.Milliseconds())
	fields := events.Fields{
		"request": q.id, "route": q.route.Name, "version": q.table.Version(), "target": q.lastTarget, "status": a.StatusCode,
		"sends": q.sends + 1, "held_ms": q.waited.Milliseconds(), "took_ms": took.Milliseconds(), "bytes": r.bytes,
	}
	if q.prompt.Model != "" {
		fields["model"], fields["adapter"] = q.prompt.Model, q.prompt.Adapter
		fields["first_ms"], fields["max_gap_ms"] = r.firstEventAt.Sub(q.arrived).Milliseconds(), r.maxEventPause.Milliseconds()
	}
	if q.helper != "" {
		fields["helper"] = q.helper
	}
	g.recorder.Record(events.RequestAnswered, fields)
}

// classifyBodyError classifies an answer whose body broke off.
func classifyBodyError(err error) (outcome, dispatch.RequestEnd) {
	var failure *upstream.Error
	if errors.As(err, &failure) {
		switch failure.Failure {
		case upstream.Cancelled:
			return abandoned, dispatch.Neutral
		case upstream.TimedOut:
			return expired, dispatch.Failed
		}
	}
	return mayHaveRun, dispatch.Failed
}
