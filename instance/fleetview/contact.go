package fleetview

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

const (
	// maxContactAge is the age of the last contact with a majority from which a control instance says that it has lost it.
	// Followers hear from the leader every 120 ms, and an election takes 0.7 to 1.4 s, so a change of the leader is mostly
	// over by then. A leader without a majority passes for one for 0.8 s longer; what is left of the 2 s within which
	// gateways have to have an acknowledged version is for the probes.
	maxContactAge = time.Second
	// lostContactPoll is the interval at which a watch looks whether contact has been regained.
	lostContactPoll = 250 * time.Millisecond

	// maxSilence is the time without an answer after which a gateway does not rely on a watch for new versions.
	maxSilence = longPollTimeout + 300*time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// probeValidity is the time for which the answer to a probe allows a watch of the instance to begin.
	probeValidity = time.Second
	// probeInterval is the least time between two rounds of probes while no watched instance has contact; jitter adds up to
	// half of it. The first version that a new majority acknowledges arrives with a round.
	probeInterval = 600 * time.Millisecond
	// replaceDelay is the longest time after which one of two watched instances is replaced that has lost contact while the
	// other one has it. It spreads the complete lists of targets that new watches get.
	replaceDelay = 3 * time.Second
	// returnDelay is the least time after which an instance that had lost contact is probed for a watch again; jitter adds
	// up to twice the same. It spreads the watches that return after a cut.
	returnDelay = 5 * time.Second
)

// contactOf tells at now whether an instance that last had contact with a majority at a time has lost it.
func contactOf(now, at time.Time) fleetapi.Contact {
	if now.Sub(at) > maxContactAge {
		return fleetapi.ContactLost
	}
	return fleetapi.ContactRecent
}

// contactAge returns the age of a contact in the form in which answers name it.
func contactAge(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(1, now.Sub(at).Milliseconds())
}

// contactTime returns when an instance last had contact, by an answer received at now. It is zero if the answer does not
// tell.
func contactTime(now time.Time, response *fleetapi.WatchResponse) time.Time {
	if response.Contact == fleetapi.ContactUnknown || response.ContactAgeMs <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(response.ContactAgeMs) * time.Millisecond)
}

// standing is what a gateway knows of a control instance.
type standing struct {
	watched bool
	// heardAt is the time of the latest answer to a watch, or of its begin.
	heardAt time.Time
	// failedAt is the time of the latest failed watch or probe without an answer since.
	failedAt time.Time
	// lost is set while the latest answer said that contact is lost.
	lost bool
	// contactAt is the time of the latest answer that did not say so.
	contactAt time.Time
	// probing is set while a probe waits for its answer.
	probing bool
	// replaceAt is the time from which a watched instance that has lost contact may be replaced while another one has it, and
	// returnAt the time from which one that is not watched any more may be watched again.
	replaceAt, returnAt time.Time
}

// recordContact records what an answer said about contact. jitter returns a duration below its argument.
func (s *standing) recordContact(now time.Time, contact fleetapi.Contact, jitter func(time.Duration) time.Duration) {
	if contact != fleetapi.ContactLost {
		s.lost, s.contactAt = false, now
		return
	}
	if !s.lost {
		s.replaceAt = now.Add(jitter(replaceDelay))
	}
	s.lost = true
	s.returnAt = now.Add(returnDelay + jitter(2*returnDelay))
}

// informs reports whether the gateway gets new versions from the instance in time.
func (s *standing) informs(now time.Time) bool {
	return s.watched && s.rank(now) == rankContact && now.Sub(s.heardAt) <= maxSilence
}

// rank orders the instances to watch: those with contact first, those that do not answer last.
type rank int

const (
	rankContact rank = iota
	rankLost
	rankFailing
)

func (s *standing) rank(now time.Time) rank {
	switch {
	case s.watched && now.Sub(s.heardAt) > watchTimeout || now.Sub(s.failedAt) < failurePause:
		return rankFailing
	case s.lost:
		return rankLost
	}
	return rankContact
}

// candidate is a control instance that may be watched. Its weight orders instances of the same rank.
type candidate struct {
	name   string
	weight uint64
	local  bool // in the own data centre
	standing
}

// selectInstances selects the instances that a gateway watches: one in the own data centre and one elsewhere. A gateway
// whose instances have all been cut off from the majority still gets answers from them, but no versions; it turns to
// instances with contact, and keeps those that it watches while there is none.
func selectInstances(now time.Time, candidates []candidate) []string {
	list := slices.Clone(candidates)
	slices.SortFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(a.rank(now), b.rank(now)); c != 0 {
			return c
		}
		if a.rank(now) == rankLost && a.watched != b.watched {
			if a.watched {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.weight, b.weight), strings.Compare(a.name, b.name))
	})
	names := func(chosen ...candidate) []string {
		var names []string
		for i := range chosen {
			names = append(names, chosen[i].name)
		}
		return names
	}
	if len(list) <= watchedInstances {
		return names(list...)
	}
	local := slices.IndexFunc(list, func(c candidate) bool { return c.local && c.rank(now) == rankContact })
	if local < 0 {
		return names(list[:watchedInstances]...)
	}
	first := list[local]
	list = slices.Delete(list, local, local+1)
	remote := slices.IndexFunc(list, func(c candidate) bool { return !c.local })
	if remote < 0 || list[remote].rank(now) > list[0].rank(now) {
		// Contact counts for more than a second data centre.
		return names(first, list[0])
	}
	return names(first, list[remote])
}

// probesDue returns the instances to probe: some of those that the gateway does not watch, when it has to know whether they
// have contact. nextRound is the earliest time of the next round.
//
//   - No watched instance informs the gateway, as all are cut off from the majority or silent: all, in rounds, since
//     versions may be acknowledged elsewhere. The probe brings the version by itself.
//   - One of the watched instances has lost contact: all without a recent answer, after a delay, to replace it.
//   - An instance that had lost contact is due to be watched again.
func probesDue(now, nextRound time.Time, candidates []candidate) (due []string, round bool) {
	watched, informed, replace := 0, 0, false
	for i := range candidates {
		c := &candidates[i]
		if c.watched {
			watched++
		}
		if c.informs(now) {
			informed++
		}
		replace = replace || c.watched && c.rank(now) == rankLost && !now.Before(c.replaceAt)
	}
	replace = replace && informed > 0
	round = watched > 0 && informed == 0 && !now.Before(nextRound)
	for i := range candidates {
		c := &candidates[i]
		if c.watched || c.probing {
			continue
		}
		if round || replace && c.rank(now) == rankContact && now.Sub(c.contactAt) > probeValidity || c.lost && !now.Before(c.returnAt) {
			due = append(due, c.name)
		}
	}
	return due, round
}

// mayReplace reports whether the instance may be watched instead of one that has lost contact: only if it has just said that
// it has contact, since the complete list of targets that a new watch gets is large.
func (s *standing) mayReplace(now time.Time) bool { return now.Sub(s.contactAt) <= probeValidity }
