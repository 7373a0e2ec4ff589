package fleetview

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// ControlStatus returns the leader and the members of the control group, as a control instance knows them.
type ControlStatus func() (leader string, members []string)

// ContactTime returns when this instance last had contact with a majority of the group, so that its view held every version
// acknowledged by then; the zero time if it never had.
type ContactTime func() time.Time

// ServeWatch answers a watch, which is a long poll: at once when something has changed, after a while when only heartbeats
// arrived, and after longPollTimeout when nothing did. Gateways get changes of what targets hold in batches.
// It is answered at once, too, when contact with the majority is lost or regained, and when only that is asked for.
func (v *View) ServeWatch(ctx context.Context, epoch uint64, control ControlStatus, lastContact ContactTime, request fleetapi.WatchRequest) fleetapi.WatchResponse {
	if request.ContactOnly {
		return v.contactResponse(epoch, lastContact(), &request)
	}
	if request.Epoch != epoch {
		request.ChangeNumber, request.CrashChange, request.Departures = 0, 0, 0 // change numbers of an earlier start of this instance do not apply
	}
	started := time.Now()
	leaderBefore, _ := control()
	delays := controlDelays
	if request.Gateway {
		watches := v.gatewayWatches.Add(1)
		defer v.gatewayWatches.Add(-1)
		delays = gatewayDelays(watches)
		if watches > manyWatches {
			delays.content, delays.heartbeats = v.untilAligned(started, delays.content), v.untilAligned(started, delays.heartbeats)
		}
	}
	for {
		now := time.Now()
		leader, members := control()
		waited, contactAt := now.Sub(started), lastContact()
		contact := contactOf(now, contactAt)
		changes := v.changesSince(&request, waited >= delays.content)
		if request.Epoch != epoch || changes.version > request.Version || leader != leaderBefore || ctx.Err() != nil ||
			request.Contact != fleetapi.ContactUnknown && request.Contact != contact ||
			changes.lifecycle || request.Standby && changes.departures || waited >= delays.idle || waited >= delays.content && (changes.content || changes.crashes) ||
			waited >= delays.heartbeats && changes.heartbeats {
			// The time of the contact was read before the version, which is therefore at least as new.
			response := v.watchResponse(epoch, leader, members, now, &request)
			response.Contact, response.ContactAgeMs = contact, contactAge(now, contactAt)
			return response
		}
		pause := delays.idle - waited
		if contact == fleetapi.ContactLost {
			pause = min(pause, lostContactPoll)
		} else {
			pause = min(pause, maxContactAge-now.Sub(contactAt)+time.Millisecond)
		}
		if waited < delays.content {
			pause = min(pause, delays.content-waited)
		}
		if waited < delays.heartbeats {
			pause = min(pause, delays.heartbeats-waited)
		} else {
			pause = min(pause, delays.heartbeats/2)
		}
		timer := time.NewTimer(pause)
		select {
		case <-changes.next:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// watchDelays are the times for which changes are collected before a watch is answered.
type watchDelays struct {
	content    time.Duration // changes of what a target holds, and crashes
	heartbeats time.Duration // heartbeats without a change
	idle       time.Duration // nothing
}

// Control instances that are no members of the group know the age of their contact from these answers. It stays below
// maxContactAge between two of them.
var controlDelays = watchDelays{heartbeats: 400 * time.Millisecond, idle: longPollTimeout / 2}

const (
	// gatewayHeartbeatDelay is long, since heartbeats count as overdue after several seconds only.
	gatewayHeartbeatDelay = 800 * time.Millisecond
	// contentDelayPerWatch is the delay of changes of what targets hold for each gateway that watches the instance, and
	// contentDelayPerManyWatches that for each one beyond manyWatches. The work of the instance and its bytes grow with watches times
	// answers, while a gateway that learns of a model later than its load ends lets requests wait.
	contentDelayPerWatch       = time.Millisecond
	contentDelayPerManyWatches = 4 * time.Millisecond
	manyWatches                = 40
	// contentDelayStep and maxContentDelay bound the delays. Those of all watches are multiples of the step, so that their answers can be
	// shared.
	contentDelayStep = 100 * time.Millisecond
	maxContentDelay  = 300 * time.Millisecond
)

// gatewayDelays returns the delays of a gateway while a number of gateways watches the instance.
func gatewayDelays(watches int64) watchDelays {
	content := time.Duration(watches) * contentDelayPerWatch
	if watches > manyWatches {
		content += time.Duration(watches-manyWatches) * (contentDelayPerManyWatches - contentDelayPerWatch)
		content = min((content+contentDelayStep-1)/contentDelayStep*contentDelayStep, maxContentDelay)
	}
	return watchDelays{content: content, heartbeats: gatewayHeartbeatDelay, idle: longPollTimeout}
}

// untilAligned returns the time from the start of a watch until the next multiple of a delay. Gateways that are answered at the same
// time get the same answers.
func (v *View) untilAligned(started time.Time, delay time.Duration) time.Duration {
	return delay - started.Sub(v.started)%delay
}

func (v *View) watchResponse(epoch uint64, leader string, members []string, now time.Time, request *fleetapi.WatchRequest) fleetapi.WatchResponse {
	var content []byte
	if request.Packed && !request.Standby {
		content = v.packContent(now, request)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	response := fleetapi.WatchResponse{Epoch: epoch, Version: v.packed.Version, Leader: leader, Members: members,
		DataCentre: v.ownDataCentre, Content: content}
	switch {
	case request.Standby:
		response.Standby, response.Departures = true, v.roster.DepartureChange()
		response.Departed = v.roster.DeparturesSince(now, request.Departures)
	case content != nil:
	case request.Gateway:
		response.Crashes, response.CrashChange = v.crashes.SuspectsSince(now, request.CrashChange)
		response.Roster = v.roster.CompactSince(now, request.ChangeNumber)
	default:
		response.Crashes, response.CrashChange = v.crashes.Since(now, request.CrashChange)
		response.Roster = v.roster.Since(now, request.ChangeNumber)
	}
	if request.Gateway {
		for _, m := range members {
			response.MemberDataCentres = append(response.MemberDataCentres, v.dataCentres[m])
		}
	}
	if v.packed.Version > request.Version {
		response.Document = v.packed.Data
	}
	return response
}

// contentKey is what a gateway knows already of an instance.
type contentKey struct{ change, crashChange uint64 }

// packedContent is a content that is shared by the gateways that know the same.
type packedContent struct {
	data []byte
	at   time.Time
	// lifecycleChange is that of the roster at the time.
	lifecycleChange uint64
}

// contentSharing is the time within which a packed content is used again. It is below the least time between two answers with which
// gateways get changes in batches.
const contentSharing = contentDelayStep / 2

// packContent returns the content for a request, nil if it cannot be packed. Gateways that are answered together get the same one, as
// long as no target has appeared or left since.
func (v *View) packContent(now time.Time, request *fleetapi.WatchRequest) []byte {
	v.contentMu.Lock()
	defer v.contentMu.Unlock()
	key := contentKey{request.ChangeNumber, request.CrashChange}
	for k, c := range v.contents {
		if now.Sub(c.at) > contentSharing {
			delete(v.contents, k)
		}
	}
	v.mu.Lock()
	lifecycleChange := v.roster.LifecycleChange()
	if c := v.contents[key]; c != nil && c.lifecycleChange == lifecycleChange {
		v.mu.Unlock()
		return c.data
	}
	content := fleetapi.WatchContent{Roster: v.roster.GatewaySince(now, request.ChangeNumber)}
	v.mu.Unlock()
	content.Crashes, content.CrashChange = v.crashes.SuspectsSince(now, request.CrashChange)
	data, err := content.Pack()
	if err != nil {
		return nil // the caller sends it unpacked
	}
	v.contents[key] = &packedContent{data: data, at: now, lifecycleChange: lifecycleChange}
	return data
}

// contactResponse answers a request for the contact and a newer document only.
func (v *View) contactResponse(epoch uint64, contactAt time.Time, request *fleetapi.WatchRequest) fleetapi.WatchResponse {
	now, packed := time.Now(), v.Packed()
	response := fleetapi.WatchResponse{Epoch: epoch, Version: packed.Version, Contact: contactOf(now, contactAt),
		ContactAgeMs: contactAge(now, contactAt)}
	if packed.Version > request.Version {
		response.Document = packed.Data
	}
	return response
}

func rendezvousHash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}
