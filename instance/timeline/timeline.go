// Package timeline merges the events of all instances.
package timeline

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
)

const (
	// eventsPerInstance bounds the answer of one instance, so that it fits into a frame of a peer link.
	eventsPerInstance = 2000
	readTimeout       = 2 * time.Second
	// parallelReads bounds the instances that are asked at the same time.
	parallelReads = 16
)

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Reader reads the events of all instances.
type Reader struct {
	recorder       *events.Recorder
	peers          Peers
	otherInstances []string
}

// New returns a reader. Others are the names of the other instances.
func New(recorder *events.Recorder, peers Peers, others []string) *Reader {
	return &Reader{recorder: recorder, peers: peers, otherInstances: others}
}

// Local returns the latest events of this instance.
func (r *Reader) Local() []events.Record { return r.recorder.Since(0, eventsPerInstance) }

// Read returns the events of this instance or, merged by time, of all reachable instances. Clocks of instances differ, so
// events of different instances that are close in time may be out of order; those of one instance never are.
func (r *Reader) Read(ctx context.Context, all bool) httpapi.Timeline {
	lists := [][]events.Record{r.Local()}
	var unreachable []string
	if all {
		others, missing := r.readOthers(ctx)
		lists, unreachable = append(lists, others...), missing
	}
	return httpapi.Timeline{Events: Merge(lists), Unreachable: unreachable}
}

// Merge orders the events of several instances by time and keeps the order of each instance, even if its clock was set
// back.
func Merge(lists [][]events.Record) []events.Record {
	type sortableEvent struct {
		atUs   int64
		record events.Record
	}
	var all []sortableEvent
	for _, list := range lists {
		latestUs := int64(0)
		for _, record := range list {
			latestUs = max(latestUs, record.AtUs)
			all = append(all, sortableEvent{atUs: latestUs, record: record})
		}
	}
	slices.SortStableFunc(all, func(a, b sortableEvent) int {
		return cmp.Or(cmp.Compare(a.atUs, b.atUs), cmp.Compare(a.record.Instance, b.record.Instance),
			cmp.Compare(a.record.Sequence, b.record.Sequence))
	})
	merged := make([]events.Record, len(all))
	for i := range all {
		merged[i] = all[i].record
	}
	return merged
}

func (r *Reader) readOthers(ctx context.Context) (lists [][]events.Record, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	readSlots := make(chan struct{}, parallelReads)
	for _, peer := range r.otherInstances {
		wg.Go(func() {
			readSlots <- struct{}{}
			defer func() { <-readSlots }()
			var answer peerapi.TimelineResponse
			err := r.peers.Call(ctx, peer, peerapi.MethodTimeline, peerapi.Empty{}, &answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, peer)
				return
			}
			lists = append(lists, answer.Events)
		})
	}
	wg.Wait()
	slices.Sort(unreachable)
	return lists, unreachable
}
