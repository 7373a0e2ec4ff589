package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

const (
	// maxBuffered is the size up to which an answer is buffered before it is relayed, so that the request can be sent
	// again when the answer breaks off.
	maxBuffered = 256 << 10
	// streamBuffer is the size of the read buffer of a stream.
	streamBuffer = 4 << 10
	// maxEventBytes bounds an event of a stream that is held back until it is complete.
	maxEventBytes = 1 << 20
)

// relay relays the answers of targets to one caller.
type relay struct {
	g *Gateway
	w http.ResponseWriter
	q *request
	// begun is set once the status and headers of an answer were sent to the caller.
	begun     bool
	lastEvent string // id of the last event that was relayed
	bytes     int64
	// firstAt and lastAt are the times of the first and the latest event of a stream, maxGap the longest pause.
	firstAt, lastAt time.Time
	maxGap          time.Duration
	ticket          *dispatch.Ticket
}

// noteTime records the time of an event and the pause before it.
func (r *relay) noteTime(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt = now
	} else {
		pause := now.Sub(r.lastAt)
		r.maxGap = max(r.maxGap, pause)
		r.g.board.Event(now, r.ticket, pause)
	}
	r.lastAt = now
}

// pass relays an answer, unless it is damaged or has to be replaced by that of another attempt.
func (r *relay) pass(a *upstream.Answer) (outcome, dispatch.End) {
	success := a.StatusCode >= 200 && a.StatusCode < 300
	stream := r.q.route.Kind == routes.Stream && success
	switch {
	case success && a.Header.Get(r.g.opts.Headers.Seal) == "":
		// Targets seal their answers. One without a seal may be damaged or come from elsewhere.
		return mayHaveRun, dispatch.Failed
	case r.begun && !success:
		return mayHaveRun, dispatch.Failed
	case stream:
		return r.passStream(a)
	case a.ContentLength > maxBuffered:
		return r.passLong(a)
	}
	return r.passWhole(a, success)
}

// passWhole buffers a short answer completely before it relays it.
func (r *relay) passWhole(a *upstream.Answer, success bool) (outcome, dispatch.End) {
	body, err := io.ReadAll(io.LimitReader(a, maxBuffered+1))
	if err != nil {
		return bodyFailed(err)
	}
	if len(body) > maxBuffered {
		r.begin(a)
		if err := r.write(body, false); err != nil {
			return abandoned, dispatch.Neutral
		}
		return r.copy(a)
	}
	end := dispatch.Complete
	if !success && a.StatusCode >= http.StatusInternalServerError {
		end = dispatch.Failed
		if r.q.route.Repeatable() && r.q.sends+1 < max(r.q.route.MaxAttempts, 1) && time.Now().Before(r.q.deadline.Add(-leastTimeLeft)) {
			return mayHaveRun, end
		}
	}
	if r.q.method != http.MethodHead && bodyAllowed(a.StatusCode) {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.begin(a)
	if err := r.write(body, false); err != nil {
		return abandoned, dispatch.Neutral
	}
	r.done(a)
	return delivered, end
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// passLong relays a long answer while it arrives.
func (r *relay) passLong(a *upstream.Answer) (outcome, dispatch.End) {
	r.w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	r.begin(a)
	return r.copy(a)
}

func (r *relay) copy(a *upstream.Answer) (outcome, dispatch.End) {
	buffer := make([]byte, maxBuffered/4)
	for {
		n, err := a.Read(buffer)
		if n > 0 {
			if writeErr := r.write(buffer[:n], false); writeErr != nil {
				return abandoned, dispatch.Neutral
			}
		}
		if errors.Is(err, io.EOF) {
			r.done(a)
			return delivered, dispatch.Complete
		}
		if err != nil {
			return bodyFailed(err)
		}
	}
}

// passStream relays complete events as they arrive. An incomplete event before a broken connection is dropped, so that the
// next target can resume after the last complete one.
func (r *relay) passStream(a *upstream.Answer) (outcome, dispatch.End) {
	if !r.begun {
		r.begin(a)
	}
	var held []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.Read(buffer)
		held = append(held, buffer[:n]...)
		if end := eventsEnd(held); end > 0 {
			r.noteEvents(held[:end])
			r.noteTime(time.Now())
			if writeErr := r.write(held[:end], true); writeErr != nil {
				return abandoned, dispatch.Neutral
			}
			held = append(held[:0], held[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(held) > 0 && untilClose(a):
			return mayHaveRun, dispatch.Failed
		case errors.Is(err, io.EOF):
			if len(held) > 0 {
				if writeErr := r.write(held, true); writeErr != nil {
					return abandoned, dispatch.Neutral
				}
			}
			r.done(a)
			return delivered, dispatch.Complete
		case err != nil:
			return bodyFailed(err)
		case len(held) > maxEventBytes:
			return mayHaveRun, dispatch.Failed
		}
	}
}

// untilClose reports whether the body is ended only by the end of the connection. A target that breaks off may close the
// connection too, so such a body has to end with a complete event.
func untilClose(a *upstream.Answer) bool { return a.ContentLength < 0 && len(a.TransferEncoding) == 0 }

// eventsEnd returns the length of the complete events at the start of b.
func eventsEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// noteEvents records the id of the last event.
func (r *relay) noteEvents(b []byte) {
	i := bytes.LastIndex(b, []byte("\nid:"))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(b, []byte("id:")):
		i = 0
	default:
		return
	}
	line := b[i+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	r.lastEvent = string(bytes.TrimSpace(line))
}

// begin sends the status and headers of an answer.
func (r *relay) begin(a *upstream.Answer) {
	header := r.w.Header()
	dropped := connectionOptions(a.Header)
	for name, values := range a.Header {
		if connectionHeaders[name] || dropped[name] {
			continue
		}
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	r.w.WriteHeader(a.StatusCode)
	r.begun = true
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

// done records an answer that was relayed completely.
func (r *relay) done(a *upstream.Answer) {
	g, q := r.g, r.q
	took := time.Since(q.arrived)
	g.metrics.answered.Inc(1)
	g.metrics.totalMs.Update(took.Milliseconds())
	g.metrics.heldMs.Update(q.held.Milliseconds())
	fields := events.Fields{
		"request": q.id, "route": q.route.Name, "version": q.version, "target": q.lastTarget, "status": a.StatusCode,
		"sends": q.sends + 1, "held_ms": q.held.Milliseconds(), "took_ms": took.Milliseconds(), "bytes": r.bytes,
	}
	if q.prompt.Model != "" {
		fields["model"], fields["adapter"] = q.prompt.Model, q.prompt.Adapter
		fields["first_ms"], fields["max_gap_ms"] = r.firstAt.Sub(q.arrived).Milliseconds(), r.maxGap.Milliseconds()
	}
	g.recorder.Record(events.RequestAnswered, fields)
}

// bodyFailed classifies an answer whose body broke off.
func bodyFailed(err error) (outcome, dispatch.End) {
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
