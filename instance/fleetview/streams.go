package fleetview

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	// streamReportTimeout bounds one report of streams, so that an unresponsive instance gets the next one soon after its return.
	streamReportTimeout = 500 * time.Millisecond
	// maxStreamsPerReport keeps a report far below the largest frame between processes.
	maxStreamsPerReport = 4096
	// originQueryTimeout bounds asking a control instance where a stream began.
	originQueryTimeout = 250 * time.Millisecond
	// originStragglerTime is how long the other instances are waited for once a majority leaves one version only. It is a multiple
	// of the round trip between data centres and of the scheduling pauses of a process.
	originStragglerTime = 80 * time.Millisecond
)

// RecordStream records where a stream of this process began, or goes on.
func (v *View) RecordStream(r streamorigin.Record) {
	v.origins.Put(r)
	v.ownStreams.Add(r)
}

// MergeStreams records where streams of another process began.
func (v *View) MergeStreams(records []streamorigin.Record) {
	for _, r := range records {
		v.origins.Put(r)
	}
}

// OriginOf returns where a stream began, if this process knows it.
func (v *View) OriginOf(now time.Time, stream streamorigin.ID) (streamorigin.Origin, bool) {
	return v.origins.Get(now, stream)
}

// reportStreams tells a control instance where the streams of this process began. It keeps them in memory only, so it is told
// again when it has restarted.
func (w *Watcher) reportStreams(ctx context.Context, name string, restarts <-chan struct{}) {
	var reported uint64
	for ctx.Err() == nil {
		now := time.Now()
		records, next, added := w.view.ownStreams.Since(now, reported, maxStreamsPerReport)
		if len(records) == 0 {
			reported = next
			select {
			case <-ctx.Done():
			case <-added:
			case <-restarts:
				reported = 0
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, streamReportTimeout)
		err := w.peers.Call(callCtx, name, peerapi.MethodFleetStreams, fleetapi.StreamReport{Groups: fleetapi.PackStreams(now, records)}, &peerapi.Empty{})
		cancel()
		pause := minRetryPause + rand.N(minRetryPause)
		if err == nil {
			reported = next
			// The streams of the pause are reported together.
			pause = fleetapi.StreamReportInterval(int(w.gateways.Load()))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		select {
		case <-restarts:
			reported = 0
		default:
		}
	}
}

// errOriginUnanswered is returned when control instances that may know where a stream began did not answer.
var errOriginUnanswered = errors.New("control instances that may know where the stream began did not answer")

// ErrOriginUnknown is returned when no control instance knows yet where a stream began.
var ErrOriginUnknown = errors.New("no control instance knows where the stream began")

// QueryOrigin asks all control instances where a stream of a service began. The error is ErrOriginUnknown if all of
// them have answered. Without a record of the stream it began at the sole version of the service, unless soleVersion is false.
func (v *View) QueryOrigin(ctx context.Context, peers PeerClient, service string, stream streamorigin.ID, soleVersion bool) (streamorigin.Origin, error) {
	_, members := v.LeaderAndMembers()
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	received := make(chan *fleetapi.StreamAnswer, len(members))
	for _, member := range members {
		go func() {
			var answer fleetapi.StreamAnswer
			if err := peers.Call(ctx, member, peerapi.MethodFleetOrigin, fleetapi.StreamQuery{Stream: stream, Service: service}, &answer); err != nil {
				received <- nil
				return
			}
			received <- &answer
		}()
	}
	var answers []streamorigin.Answer
	var stragglersUntil <-chan time.Time
	for range members {
		var a *fleetapi.StreamAnswer
		select {
		case a = <-received:
		case <-stragglersUntil:
			return resolveOrigin(service, len(members), answers, soleVersion)
		}
		if a == nil {
			continue
		}
		answers = append(answers, a.Answer())
		if a.Known {
			break
		}
		if _, verdict := streamorigin.Resolve(service, len(members), answers); verdict == streamorigin.Found && stragglersUntil == nil {
			stragglersUntil = time.After(originStragglerTime)
		}
	}
	return resolveOrigin(service, len(members), answers, soleVersion)
}

func resolveOrigin(service string, members int, answers []streamorigin.Answer, soleVersion bool) (streamorigin.Origin, error) {
	origin, verdict := streamorigin.Resolve(service, members, answers)
	recorded := func(a streamorigin.Answer) bool { return a.Known }
	switch {
	case verdict == streamorigin.Found && (soleVersion || slices.ContainsFunc(answers, recorded)):
		return origin, nil
	case verdict == streamorigin.Unknown, len(answers) >= max(members, 1):
		return streamorigin.Origin{}, ErrOriginUnknown
	}
	return streamorigin.Origin{}, errOriginUnanswered
}
