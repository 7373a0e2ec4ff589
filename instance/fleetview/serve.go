package fleetview

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// Control returns the leader and the members of the control group, as a control instance knows them.
type Control func() (leader string, members []string)

// ServeWatch answers a watch, which is a long poll: at once when something has changed, after beatPause when only heartbeats
// arrived, and after newsPause when nothing did.
func (v *View) ServeWatch(ctx context.Context, epoch uint64, control Control, r fleetapi.Watch) fleetapi.News {
	if r.Epoch != epoch {
		r.Change = 0 // change numbers of an earlier start of this instance do not apply
	}
	started := time.Now()
	leaderBefore, _ := control()
	for {
		now := time.Now()
		next, delta, news := v.Changes(now, r.Change)
		packed := v.Packed()
		leader, members := control()
		waited := now.Sub(started)
		if r.Epoch != epoch || news || packed.Version > r.Version || leader != leaderBefore ||
			waited >= newsPause || waited >= beatPause && len(delta.Beats) > 0 || ctx.Err() != nil {
			answer := fleetapi.News{Epoch: epoch, Roster: delta, Version: packed.Version, Leader: leader, Members: members}
			if packed.Version > r.Version {
				answer.Document = packed.Data
			}
			return answer
		}
		pause := beatPause - waited
		if pause <= 0 {
			pause = min(beatPause/2, newsPause-waited)
		}
		timer := time.NewTimer(pause)
		select {
		case <-next:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}
