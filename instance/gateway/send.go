package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

// mostUrgent and leastUrgent bound the priorities that targets accept.
const (
	mostUrgent  = 0
	leastUrgent = 9
)

// send sends a request to one target and relays the answer, unless the request may have to be sent again.
// ran is the number of earlier sends that may have run it.
func (g *Gateway) send(r *relay, q *request, target *roster.Entry, ran int) outcome {
	now := time.Now()
	inFlight := g.loadTracker.Start(now, target.ID, q.prompt.Model, q.prompt.Tokens)
	end := dispatch.Neutral
	paced := g.beginPaced(now, q, target)
	r.inFlight, r.target, r.final, r.sound = inFlight, target, false, false
	g.demand.addRunning(q, target.ID, 1)
	defer func() {
		g.demand.addRunning(q, target.ID, -1)
		ended := time.Now()
		g.loadTracker.Finish(ended, inFlight, end)
		paced.finish(ended, end)
		if end == dispatch.Complete {
			g.observeServiceTime(q, target, ended.Sub(now))
		}
	}()
	g.recordResumption(r, q, target)
	ctx, cancel := context.WithCancelCause(q.ctx)
	defer cancel(nil)
	r.attempt = &attempt{target: target.ID, repeatable: q.route.Repeatable() && ran+1 < q.maxRuns(), cancel: cancel}
	g.attempts.add(r.attempt)
	defer g.attempts.remove(r.attempt)
	answer, err := g.client.Do(ctx, target.Address, g.upstreamRequest(q, target, now, r.lastEventID))
	if err != nil {
		var result outcome
		result, end = g.classifySendError(ctx, q, target, now, err)
		return result
	}
	defer answer.Close()
	firstByte := time.Now()
	r.attempt.recordHeard(firstByte)
	g.observeLimit(now, target, answer.Response)
	g.observeBrittle(now, target, answer.Response)
	g.observeLeaving(target, answer.Response)
	g.loadTracker.FirstByte(firstByte, inFlight, q.route.Objective)
	g.observeRetryAfter(target, answer.Response)
	paced.firstByte(firstByte, answer.Response)
	if g.opts.Headers.Rejected(answer.Response) {
		end = g.handleRejection(q, target, answer)
		return notRun
	}
	g.metrics.firstByteMs.Update(firstByte.Sub(q.arrived).Milliseconds())
	var result outcome
	result, end = r.relayAnswer(answer)
	if result == abandoned && isSilent(ctx) {
		result, end = mayHaveRun, dispatch.Unreachable
	}
	if result == mayHaveRun || result == expired {
		g.recorder.Record(events.AttemptBroken, events.Fields{
			"request": q.id, "target": target.ID, "software": target.SoftwareVersion, "status": answer.StatusCode, "bytes": r.bytes, "events": r.events,
			"parts": sharedPartIDs(q),
		})
	}
	if r.mayHaveCrashed(answer, result) && !isSilent(ctx) {
		g.recordBroken(q, target, now, r.events)
	}
	return result
}

// isSilent reports whether an attempt was ended because its target is silent.
func isSilent(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errTargetSilent) }

// maxRejectionBytes and rejectionTimeout bound the body of a rejection. The request goes on to another target after that.
const (
	maxRejectionBytes = 64 << 10
	rejectionTimeout  = 50 * time.Millisecond
)

// handleRejection records a rejection and reads its body to the end, so that the connection can be reused.
func (g *Gateway) handleRejection(q *request, target *roster.Entry, answer *upstream.Answer) dispatch.RequestEnd {
	answer.Discard(maxRejectionBytes, rejectionTimeout)
	g.recorder.Record(events.TargetRejectedRequest, events.Fields{
		"request": q.id, "target": target.ID, "status": answer.StatusCode, "model": q.prompt.Model, "adapter": q.prompt.Adapter,
	})
	if answer.StatusCode != dialect.StatusMisdirected {
		g.loadTracker.RecordRejection(time.Now(), target.Service, target.ID)
		return dispatch.Neutral
	}
	if id := answer.Header.Get(g.opts.Headers.TargetID); id != "" && id != target.ID {
		return dispatch.Unreachable // another target uses the address
	}
	if q.prompt.Model != "" {
		g.loadTracker.MarkNotHeld(time.Now(), target.ID, q.prompt.Model, q.prompt.Adapter)
	}
	return dispatch.Neutral
}

// classifySendError classifies a send at a time that got no answer.
func (g *Gateway) classifySendError(ctx context.Context, q *request, target *roster.Entry, sentAt time.Time, err error) (outcome, dispatch.RequestEnd) {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return mayHaveRun, dispatch.Failed
	}
	silent := isSilent(ctx)
	if failure.Failure == upstream.Cancelled && !silent {
		return abandoned, dispatch.Neutral
	}
	g.recorder.Record(events.AttemptBroken, events.Fields{
		"request": q.id, "target": target.ID, "failure": string(failure.Failure), "sent": failure.Sent, "error": failure.Cause.Error(),
		"parts": sharedPartIDs(q),
	})
	switch {
	case silent && !failure.Sent:
		return unsent, dispatch.Unreachable
	case silent:
		return mayHaveRun, dispatch.Unreachable
	case failure.Failure == upstream.ConnectFailed:
		go g.recordUnreachable(target.Key)
		return unsent, dispatch.Unreachable
	case failure.Failure == upstream.TimedOut:
		return expired, dispatch.Failed
	}
	g.recordBroken(q, target, sentAt, 0)
	return mayHaveRun, dispatch.Failed
}

// upstreamRequest builds the request to a target. lastEventID is the id of the event after which a stream resumes.
func (g *Gateway) upstreamRequest(q *request, target *roster.Entry, now time.Time, lastEventID string) *upstream.Request {
	headerNames := &g.opts.Headers
	header := make(http.Header, len(q.header)+4)
	for name, values := range q.header {
		header[name] = values
	}
	header[headerNames.TimeLeftMs] = []string{strconv.FormatInt(max(q.deadline.Sub(now).Milliseconds(), 1), 10)}
	header[headerNames.ExpectTarget] = []string{target.ID}
	g.setAccountHeaders(header, &q.credentials)
	if q.service.Engine != nil {
		header[headerNames.TargetPriority] = []string{strconv.Itoa(min(max(q.rank, mostUrgent), leastUrgent))}
	}
	if lastEventID != "" {
		header[headerNames.LastEvent] = []string{lastEventID}
	}
	return &upstream.Request{
		Method: q.method, URI: q.uri, Host: q.host, Header: header, Body: q.body, ID: q.id,
		EchoHeader: headerNames.RequestID, AcceptUnechoed: headerNames.Rejected, Deadline: q.deadline,
	}
}
