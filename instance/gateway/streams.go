package gateway

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

const (
	// originRetryInterval is the pause before control instances are asked again where a stream began.
	originRetryInterval = 60 * time.Millisecond
	// originReportTime is the time, beside the interval of reports, after which a control instance knows of a stream that
	// another gateway began.
	originReportTime = 100 * time.Millisecond
	// originWaitShare is the share of the time that a caller waits for the next event for which they are asked. The rest is
	// for the target.
	originWaitShare = 0.5
)

// takesUpStream reports whether a request goes on with a stream that another attempt of its caller began.
func (g *Gateway) takesUpStream(q *request) bool {
	return q.route.Kind == routes.Stream && q.header.Get(g.opts.Headers.LastEvent) != ""
}

// streamOf returns the id of the stream that a request begins or takes up.
func (g *Gateway) streamOf(q *request) streamorigin.ID {
	if began := q.header.Get(g.opts.Headers.Resumes); began != "" {
		return streamorigin.IDOf(began)
	}
	return streamorigin.IDOf(q.id)
}

// findOrigin finds out where the stream began that a request takes up, and has the request served there. It refuses the request
// and returns false if the stream can't go on.
func (g *Gateway) findOrigin(w *answer, q *request) bool {
	origin, err := g.awaitOrigin(q)
	if q.ctx.Err() != nil {
		g.recordCallerLeft(q)
		return false
	}
	if err == nil && origin.Service != q.service.Name {
		err = g.changeService(q, origin.Service)
	}
	if err != nil {
		g.metrics.streamsNotTakenUp.Inc(1)
		g.giveUp(&relay{g: g, w: w, q: q}, q, 0, "stream can't go on: "+err.Error())
		return false
	}
	q.softwareVersion = &origin.SoftwareVersion
	return true
}

// awaitOrigin asks this process and then the control instances where a stream began. It asks again while some of them do not
// answer, and until a report of another gateway must have arrived.
func (g *Gateway) awaitOrigin(q *request) (streamorigin.Origin, error) {
	if origin, ok := g.view.OriginOf(q.arrived, q.stream); ok {
		return origin, nil
	}
	wait := min(time.Duration(float64(maxStreamWait(q.route))*originWaitShare), q.deadline.Sub(q.arrived)/2)
	reported := min(wait, fleetapi.StreamReportInterval(g.gatewayCount.Gateways(q.arrived, 0))+originReportTime)
	for {
		origin, err := g.view.QueryOrigin(q.ctx, g.peers, q.service.Name, q.stream, q.route.LeadsToOneService())
		if err == nil {
			return origin, nil
		}
		if errors.Is(err, fleetview.ErrOriginUnknown) {
			wait = reported
		}
		if !g.endsBeforeExit(q.deadline) {
			return origin, errors.New(reasonShuttingDown)
		}
		if time.Since(q.arrived)+originRetryInterval > wait || !sleep(q, originRetryInterval) {
			return origin, err
		}
	}
}

// changeService has a request served by the service at which its stream began, if its route still leads there.
func (g *Gateway) changeService(q *request, name string) error {
	leads := func(s routes.WeightedService) bool { return s.Service == name && s.Weight > 0 }
	if !slices.ContainsFunc(q.route.Split, leads) {
		return errors.Errorf("its route no longer leads to the service %s, which began it", name)
	}
	q.service = q.table.Service(name)
	return nil
}

// recordStream records that a target begins a stream or goes on with it. From then on the request may run only at its version.
func (g *Gateway) recordStream(q *request, target *roster.Entry) {
	q.softwareVersion = &target.SoftwareVersion
	if !q.route.Resumable || q.id == "" {
		return
	}
	g.view.RecordStream(streamorigin.Record{Stream: q.stream, ExpiresAt: q.abandonedAt,
		Origin: streamorigin.Origin{Service: target.Service, SoftwareVersion: target.SoftwareVersion}})
}

// mayRunAt reports whether a request may run at the software version of a target.
func (q *request) mayRunAt(t *roster.Entry) bool {
	return q.softwareVersion == nil || *q.softwareVersion == t.SoftwareVersion
}

// recordResumption records that a stream goes on at a target, in the answer that began it or in another attempt of its caller.
func (g *Gateway) recordResumption(r *relay, q *request, target *roster.Entry) {
	fields := events.Fields{"request": q.id, "target": target.ID, "software": target.SoftwareVersion, "after_event": r.lastEventID}
	switch lastEvent := q.header.Get(g.opts.Headers.LastEvent); {
	case r.lastEventID != "":
		g.metrics.streamsResumed.Inc(1)
	case lastEvent != "":
		g.metrics.streamsTakenUp.Inc(1)
		fields["after_event"], fields["resumes"] = lastEvent, q.header.Get(g.opts.Headers.Resumes)
	default:
		return
	}
	g.recorder.Record(events.StreamResumed, fields)
}
