package fleetview

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// ControlStatus returns the leader and the members of the control group, as a control instance knows them.
type ControlStatus func() (leader string, members []string)

// ServeWatch answers a watch, which is a long poll: at once when something has changed, after heartbeatBatchDelay when only
// heartbeats arrived, and after longPollTimeout when nothing did.
func (v *View) ServeWatch(ctx context.Context, epoch uint64, control ControlStatus, request fleetapi.WatchRequest) fleetapi.WatchResponse {
	if request.Epoch != epoch {
		request.ChangeNumber = 0 // change numbers of an earlier start of this instance do not apply
	}
	started := time.Now()
	leaderBefore, _ := control()
	for {
		now := time.Now()
		changed, delta, contentChanged := v.ChangesSince(now, request.ChangeNumber)
		packed := v.Packed()
		leader, members := control()
		waited := now.Sub(started)
		if request.Epoch != epoch || contentChanged || packed.Version > request.Version || leader != leaderBefore ||
			waited >= longPollTimeout || waited >= heartbeatBatchDelay && len(delta.Heartbeats) > 0 || ctx.Err() != nil {
			answer := fleetapi.WatchResponse{Epoch: epoch, Roster: delta, Version: packed.Version, Leader: leader, Members: members}
			if packed.Version > request.Version {
				answer.Document = packed.Data
			}
			return answer
		}
		pause := heartbeatBatchDelay - waited
		if pause <= 0 {
			pause = min(heartbeatBatchDelay/2, longPollTimeout-waited)
		}
		timer := time.NewTimer(pause)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func rendezvousHash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}
