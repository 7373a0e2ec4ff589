package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

var errNoLeader = errors.New("no leader is known")

const (
	// strikeWindow is the longest time between a broken answer and a refused connection to the target for which the request
	// is suspected of having crashed the target.
	strikeWindow = 2 * time.Second
	// soundEvents is the number of events of an answer after which its prompt is sound: a target that a part of the prompt
	// crashes when it begins to write the answer may still have sent the first event.
	soundEvents = 2
	// crashCheckTimeout bounds the wait of a request for the attempt to connect to the target that broke it off, before it is
	// sent to another target. A crashed target refuses a connection within a round trip.
	crashCheckTimeout = 50 * time.Millisecond
	// confirmPeriod is the time within which a crashed target is back, under another start, and maxUnconfirmed bounds the requests
	// that are kept until then.
	confirmPeriod  = 10 * time.Second
	maxUnconfirmed = 256
)

// brokenRequest is a request whose answer from a target broke off.
type brokenRequest struct {
	sentAt   time.Time
	at       time.Time
	target   roster.Key
	version  crashes.Version
	suspects []crashes.Suspect
}

// crashSuspects finds requests that were running on targets when these crashed.
type crashSuspects struct {
	mu     sync.Mutex
	broken []brokenRequest
	// checks are the attempts to connect to targets that broke an answer off. A channel is closed when its attempt has ended.
	checks map[roster.Key]chan struct{}
	// unconfirmed are requests that broke off at targets that accept no connections while this gateway reached no other either.
	unconfirmed []unconfirmedCrash
}

// unconfirmedCrash is a request that broke off and may have crashed its target.
type unconfirmedCrash struct {
	brokenRequest
	failedAt time.Time // of the connection to the target
}

func newCrashSuspects() *crashSuspects {
	return &crashSuspects{checks: make(map[roster.Key]chan struct{})}
}

// recordBroken records a request whose answer from a target broke off. It reports whether the caller has to attempt a
// connection to the target now, to learn whether it crashed; check is closed when that attempt, or one in progress, has ended.
func (s *crashSuspects) recordBroken(b brokenRequest) (check chan struct{}, connect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(b.at)
	s.broken = append(s.broken, b)
	if check := s.checks[b.target]; check != nil {
		return check, false
	}
	check = make(chan struct{})
	s.checks[b.target] = check
	return check, true
}

// prune drops the requests that broke off more than strikeWindow ago.
func (s *crashSuspects) prune(now time.Time) {
	kept := s.broken[:0]
	for _, b := range s.broken {
		if now.Sub(b.at) <= strikeWindow {
			kept = append(kept, b)
		}
	}
	clear(s.broken[len(kept):])
	s.broken = kept
}

// endCheck ends the attempt to connect to a target.
func (s *crashSuspects) endCheck(target roster.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.checks[target])
	delete(s.checks, target)
}

// take returns the requests that broke off lately at a target, and forgets them.
func (s *crashSuspects) take(now time.Time, target roster.Key) []brokenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	var taken []brokenRequest
	kept := s.broken[:0]
	for _, b := range s.broken {
		if b.target == target {
			taken = append(taken, b)
		} else {
			kept = append(kept, b)
		}
	}
	clear(s.broken[len(kept):])
	s.broken = kept
	return taken
}

// addUnconfirmed keeps requests that broke off at a target until it is known whether the target has ended.
func (s *crashSuspects) addUnconfirmed(now time.Time, broken []brokenRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range broken {
		s.unconfirmed = append(s.unconfirmed, unconfirmedCrash{b, now})
	}
	s.unconfirmed = s.unconfirmed[max(len(s.unconfirmed)-maxUnconfirmed, 0):]
}

// takeConfirmed returns the requests at targets that have ended, and forgets these and those that are too old.
func (s *crashSuspects) takeConfirmed(now time.Time, ended func(roster.Key) bool) (confirmed []unconfirmedCrash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []unconfirmedCrash
	for _, c := range s.unconfirmed {
		switch {
		case ended(c.target):
			confirmed = append(confirmed, c)
		case now.Sub(c.failedAt) < confirmPeriod:
			kept = append(kept, c)
		}
	}
	s.unconfirmed = kept
	return confirmed
}

// mayHaveCrashed reports whether the end of an answer may be that of its target. A short stream that ends with its connection
// looks complete even if its target ended under it.
func (r *relay) mayHaveCrashed(a *upstream.Answer, result outcome) bool {
	switch result {
	case mayHaveRun:
		return !a.Complete() || endsWithConnection(a)
	case delivered:
		return endsWithConnection(a) && r.q.route.Kind == routes.Stream && r.events < soundEvents
	}
	return false
}

// recordBroken records a request that was sent at a time and whose answer broke off after a number of events, and finds out whether the
// target crashed.
func (g *Gateway) recordBroken(q *request, target *roster.Entry, sentAt time.Time, events int) {
	b := brokenRequest{sentAt: sentAt, at: time.Now(), target: target.Key, version: crashes.VersionOf(target.SoftwareVersion),
		suspects: q.suspects}
	if events >= soundEvents {
		b.suspects = q.suspects[:1] // only the whole request
	}
	check, connect := g.suspects.recordBroken(b)
	q.crashCheck = check
	if !connect {
		return
	}
	go func() {
		defer g.suspects.endCheck(target.Key)
		if err := g.client.Connect(context.Background(), target.Address); err != nil {
			g.loadTracker.RecordConnectFailure(time.Now(), target.ID)
			g.recordUnreachable(target.Key)
		}
	}()
}

// mayRepeat reports whether a request whose answer broke off may be sent to another target.
func (g *Gateway) mayRepeat(q *request) bool {
	if q.crashCheck != nil {
		timer := time.NewTimer(crashCheckTimeout)
		defer timer.Stop()
		select {
		case <-q.crashCheck:
		case <-timer.C:
		case <-q.ctx.Done():
		}
	}
	return g.view.MayRepeat(q.suspects)
}

// recordUnreachable records that a target accepts no connections any more: what it worked on when it broke off lately is
// suspected of having crashed it, unless this gateway reaches no other target either.
func (g *Gateway) recordUnreachable(target roster.Key) {
	now := time.Now()
	broken := g.suspects.take(now, target)
	switch {
	case len(broken) == 0:
	case g.reachesOthers(target.ID, now):
		for _, b := range broken {
			g.recordCrash(unconfirmedCrash{b, now})
		}
	default:
		g.suspects.addUnconfirmed(now, broken)
	}
}

func (g *Gateway) recordCrash(c unconfirmedCrash) {
	g.view.RecordCrash(time.Now(), crashes.Occurrence{Version: c.version, SentAt: c.sentAt, At: c.at},
		crashes.TargetID(c.target.ID, uint64(c.target.StartedAtMs)), c.suspects)
	g.metrics.crashStrikes.Inc(1)
	g.recorder.Record(events.CrashStrike, events.Fields{"fingerprint": c.suspects[0].Key, "target": c.target.ID,
		"parts": len(c.suspects) - 1, "after_ms": c.failedAt.Sub(c.at).Milliseconds()})
}

// confirmCrashes records the crashes of targets that have ended since: a partition does not end them.
func (g *Gateway) confirmCrashes(now time.Time) {
	ended := func(key roster.Key) bool {
		targets := g.view.Targets()
		i := slices.IndexFunc(targets, func(t roster.Entry) bool { return t.ID == key.ID })
		return i < 0 || targets[i].State == roster.Gone || targets[i].StartedAtMs > key.StartedAtMs
	}
	for _, c := range g.suspects.takeConfirmed(now, ended) {
		g.recordCrash(c)
	}
}

// recordSound records that a target answers suspects.
func (g *Gateway) recordSound(target *roster.Entry, suspects []crashes.Suspect) {
	g.view.RecordSound(time.Now(), crashes.VersionOf(target.SoftwareVersion), suspects)
}

// quarantineReason says why a request is refused, or is empty if it is not quarantined. left is how long the refusal lasts.
func (g *Gateway) quarantineReason(q *request) (reason string, left time.Duration) {
	s, left, found := g.view.Quarantined(time.Now(), q.suspects)
	switch {
	case !found:
		return "", 0
	case s.Depth == 0:
		return "request is quarantined: several targets crashed while they ran it", left
	}
	return "part " + q.prompt.Parts[s.Depth-1].ID + " of the prompt is quarantined: several targets crashed under requests with it", left
}

// suspectsOf returns what a request is suspected by when a target crashes under it: the request as a whole, which is the same
// when its caller sends it again, and then each part of its prompt that other requests may share.
func suspectsOf(q *request) []crashes.Suspect {
	suspects := make([]crashes.Suspect, 0, len(q.prompt.Parts)+1)
	suspects = append(suspects, crashes.Suspect{Key: crashes.Key(fingerprint(q))})
	for i, part := range sharedParts(q.prompt.Parts) {
		suspects = append(suspects, crashes.Suspect{Key: crashes.PartKey(part.ID), Depth: i + 1})
	}
	return suspects
}

// sharedParts leaves out the last part, which belongs to one request or session.
func sharedParts(parts []dialect.PromptPart) []dialect.PromptPart {
	return parts[:max(len(parts)-1, 0)]
}

// sharedPartIDs returns the ids of the prompt parts that a request may share with others.
func sharedPartIDs(q *request) string {
	ids := make([]string, 0, len(q.prompt.Parts))
	for _, part := range sharedParts(q.prompt.Parts) {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}
