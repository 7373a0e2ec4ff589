package fleetview

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	// crashReportTimeout bounds one report of crashes, so that an unresponsive instance gets the next one soon after its return.
	crashReportTimeout = 500 * time.Millisecond
	// answerDelayPerGateway is, for each gateway of the deployment, the longest delay of a report of answers, up to maxAnswerDelay. Most
	// gateways know an answer on a part that many prompts share. What the first ones report reaches the others within some 0.4 s,
	// which then have nothing to report.
	answerDelayPerGateway = 4 * time.Millisecond
	maxAnswerDelay        = 1200 * time.Millisecond
	// answerDelayShape has few gateways report early: the part x of the longest delay is over for x^4 of them.
	answerDelayShape = 1.0 / 4
)

// Quarantined returns the first of the suspects that is quarantined, and for how much longer.
func (v *View) Quarantined(now time.Time, suspects []crashes.Suspect) (s crashes.Suspect, left time.Duration, found bool) {
	return v.crashes.Quarantined(now, suspects)
}

// MayRepeat reports whether a request that was on a crashed target may be sent to another one.
func (v *View) MayRepeat(suspects []crashes.Suspect) bool { return v.crashes.MayRepeat(suspects) }

// QuarantineEvidence returns the evidence about all that is quarantined.
func (v *View) QuarantineEvidence(now time.Time) []crashes.Evidence {
	var suspects []crashes.Suspect
	for _, key := range v.crashes.Keys(now) {
		suspects = append(suspects, crashes.Suspect{Key: key})
	}
	return v.crashes.Of(now, suspects)
}

// LogQuarantines records what was quarantined and what is no longer since the last call, and reports whether there was any.
// It is called by one goroutine.
func (v *View) LogQuarantines(now time.Time, recorder *events.Recorder) (changed bool) {
	keys := v.crashes.Keys(now)
	for _, key := range keys {
		if !slices.Contains(v.loggedQuarantines, key) {
			recorder.Record(events.Quarantined, events.Fields{"key": key})
		}
	}
	for _, key := range v.loggedQuarantines {
		if !slices.Contains(keys, key) {
			recorder.Record(events.QuarantineEnded, events.Fields{"key": key})
		}
	}
	changed = !slices.Equal(keys, v.loggedQuarantines)
	v.loggedQuarantines = keys
	return changed
}

// RecordCrash records that a target crashed while it worked on suspects for this process.
func (v *View) RecordCrash(now time.Time, crash crashes.Occurrence, target uint64, suspects []crashes.Suspect) {
	if v.crashes.RecordCrash(now, crash, target, suspects) {
		v.notifyCrashes()
	}
}

// RecordSound records that a target of a version goes on with an answer on parts, or has completed the answer to a request.
func (v *View) RecordSound(now time.Time, version crashes.Version, suspects []crashes.Suspect) {
	if v.crashes.RecordSound(now, version, suspects) {
		v.notifyCrashes()
	}
}

// MergeCrashes applies what another process knows about crashes. Answers that this process passed on may be news to others.
func (v *View) MergeCrashes(now time.Time, evidence []crashes.Evidence) {
	if v.crashes.Merge(now, evidence) {
		v.notifyCrashes()
	}
}

// notifyCrashes wakes watches and reports.
func (v *View) notifyCrashes() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notifyLocked(true, false)
	close(v.crashChange)
	v.crashChange = make(chan struct{})
}

// nextCrashChange returns a channel that is closed at the next change of crashes.
func (v *View) nextCrashChange() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.crashChange
}

// awaitOthersAnswers waits for answers that others may report, unless this process has observed a crash after a change number. It
// reports whether it has waited.
func (w *Watcher) awaitOthersAnswers(ctx context.Context, reported uint64) bool {
	longest := min(time.Duration(w.gateways.Load())*answerDelayPerGateway, maxAnswerDelay)
	if longest <= 0 {
		return false
	}
	timer := time.NewTimer(time.Duration(math.Pow(rand.Float64(), answerDelayShape) * float64(longest)))
	defer timer.Stop()
	for {
		next := w.view.nextCrashChange()
		if w.view.crashes.OwnCrashAfter(reported) {
			return true
		}
		select {
		case <-ctx.Done():
			return true
		case <-timer.C:
			return true
		case <-next:
		}
	}
}

// reportCrashes sends a control instance the crashes that this process observes. At first, and whenever the instance has
// started again, it sends all that it knows: a control instance keeps crashes in memory only, and when all of them restart
// the gateways still know what must not run.
func (w *Watcher) reportCrashes(ctx context.Context, name string, restarts <-chan struct{}) {
	var reported uint64
	pick := w.view.crashes.Since
	for ctx.Err() == nil {
		next := w.view.nextCrashChange()
		evidence, change := pick(time.Now(), reported)
		if len(evidence) == 0 {
			reported, pick = change, w.view.crashes.OwnSince
			select {
			case <-ctx.Done():
			case <-next:
			case <-restarts:
				reported, pick = 0, w.view.crashes.Since
			}
			continue
		}
		if reported > 0 && w.awaitOthersAnswers(ctx, reported) {
			if evidence, change = pick(time.Now(), reported); len(evidence) == 0 {
				continue
			}
		}
		callCtx, cancel := context.WithTimeout(ctx, crashReportTimeout)
		err := w.peers.Call(callCtx, name, peerapi.MethodFleetCrashes, fleetapi.CrashReport{Crashes: evidence}, &peerapi.Empty{})
		cancel()
		if err == nil {
			reported = change
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(minRetryPause + rand.N(minRetryPause)):
		}
	}
}
