// Package crashsuspects shares strikes and claims of requests that may crash targets among the instances.
package crashsuspects

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/crashes"
	"github.com/tarragonhoist/tarragonhoist/coordination/quarantine"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	// acknowledgeTimeout bounds how long the report of a failure waits until the other instances have acknowledged the
	// strike, and how long a suspect waits until they have answered its claim.
	acknowledgeTimeout = 200 * time.Millisecond
	gossipInterval     = time.Second
	gossipBytes        = quarantine.MinDeltaBytes
	renewInterval      = quarantine.DefaultClaimLease / 3
	// gossipParts is the number of message parts in a gossip message.
	gossipParts = 16
)

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(peer, method string, params any) error
}

// Message carries strikes, crashes under shared messages or a claim to another instance.
type Message struct {
	Claim *quarantine.Claim `json:"claim,omitempty"`
	Frame []byte            `json:"frame,omitempty"`
	// Parts are the crashes under requests that share messages.
	Parts []crashes.Evidence `json:"parts,omitempty"`
}

// Answer says whether the other instance agrees to a claim.
type Answer struct {
	Agreed bool `json:"agreed"`
}

// Table tracks the requests in flight and those suspected of crashing targets.
type Table struct {
	core       *quarantine.Table
	parts      *crashes.Table
	peers      Peers
	localPeers []string
	allPeers   []string
	recorder   *events.Recorder
	now        func() time.Time

	mu sync.Mutex
	// broadcasts holds, for each failed target, the broadcasts of its strikes in progress. A channel is closed when its
	// broadcast ends.
	broadcasts map[quarantine.Target][]chan struct{}
	// unanswered holds, by attempt id, the attempts whose target has not gone on after it began an answer.
	unanswered map[string]unansweredAttempt
}

// unansweredAttempt is what its target is suspected to crash under.
type unansweredAttempt struct {
	sentAt time.Time
	target quarantine.Target
	parts  []crashes.Suspect
}

// New returns a table. Local are the other instances of the data centre, all those of the deployment.
func New(peers Peers, local, all []string, recorder *events.Recorder, now func() time.Time) *Table {
	return &Table{
		core: quarantine.NewTable(quarantine.Options{}), peers: peers, localPeers: local, allPeers: all, recorder: recorder, now: now,
		broadcasts: make(map[quarantine.Target][]chan struct{}), parts: crashes.NewTable(), unanswered: make(map[string]unansweredAttempt),
	}
}

// Verdict refuses a request that is quarantined, or that shares a quarantined message with others.
func (t *Table) Verdict(fingerprint quarantine.Fingerprint, parts []crashes.Suspect) *api.Result {
	if verdict, left := t.core.Verdict(t.now(), fingerprint); verdict == quarantine.Quarantined {
		return api.RefuseWithRetry(api.ReasonQuarantined, left, "this request is quarantined because two targets crashed while they ran it")
	}
	if part, left, found := t.parts.Quarantined(t.now(), parts); found {
		return api.RefuseWithRetry(api.ReasonQuarantined, left,
			fmt.Sprintf("message %d of this request is quarantined because targets crashed while they ran requests with it", part.Depth))
	}
	return nil
}

// MayRepeat reports whether a request that was on a crashed target may be sent to another one.
func (t *Table) MayRepeat(parts []crashes.Suspect) bool { return t.parts.MayRepeat(parts) }

// IsSuspect reports whether a request has a strike.
func (t *Table) IsSuspect(fingerprint quarantine.Fingerprint) bool {
	verdict, _ := t.core.Verdict(t.now(), fingerprint)
	return verdict != quarantine.Clean
}

// HasClaim reports whether a suspect runs on a target or is about to run there.
func (t *Table) HasClaim(target quarantine.Target) bool { return t.core.HasClaim(t.now(), target) }

// Begin registers an attempt and reports whether it may be sent now. A suspect needs the agreement of all instances of
// the data centre that answer, so that no two suspects run on one target at the same time.
func (t *Table) Begin(ctx context.Context, a quarantine.Attempt, parts []crashes.Suspect) bool {
	if t.IsSuspect(a.Fingerprint) && !t.claim(ctx, a) {
		return false
	}
	started, ok := t.core.Start(t.now(), a)
	if started != nil {
		for _, peer := range t.localPeers {
			_ = t.peers.Notify(peer, peerapi.MethodStrike, Message{Claim: started})
		}
	}
	if !ok {
		t.RemoveAttempt(a.ID)
		return false
	}
	if len(parts) > 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.unanswered[a.ID] = unansweredAttempt{sentAt: t.now(), target: a.Target, parts: parts}
	}
	return true
}

// takeUnanswered removes an unanswered attempt and returns its parts.
func (t *Table) takeUnanswered(attemptID string) []crashes.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.unanswered[attemptID]
	delete(t.unanswered, attemptID)
	return a.parts
}

// Answering records that the target of an attempt goes on after it began the answer.
func (t *Table) Answering(attemptID string) {
	t.parts.RecordSound(t.now(), crashes.UnknownVersion, t.takeUnanswered(attemptID))
}

func (t *Table) claim(ctx context.Context, a quarantine.Attempt) bool {
	claim, ok := t.core.Claim(t.now(), a)
	if !ok {
		return false
	}
	var refused atomic.Bool
	t.broadcast(ctx, Message{Claim: &claim}, func(answer Answer) {
		if !answer.Agreed {
			refused.Store(true)
		}
	})
	if refused.Load() {
		t.RemoveAttempt(a.ID)
		return false
	}
	return true
}

// broadcast calls all other instances of the data centre and returns when they have answered or acknowledgeTimeout has
// passed. Unreachable instances receive strikes by gossip.
func (t *Table) broadcast(ctx context.Context, m Message, onAnswer func(Answer)) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, peer := range t.localPeers {
		wg.Go(func() {
			var answer Answer
			if err := t.peers.Call(ctx, peer, peerapi.MethodStrike, m, &answer); err == nil {
				onAnswer(answer)
			}
		})
	}
	wg.Wait()
}

// Succeeded clears the strikes of a request that was answered completely.
func (t *Table) Succeeded(attemptID string) {
	t.Answering(attemptID)
	updates, err := t.core.CompleteAttempt(t.now(), attemptID)
	t.notifyUpdates(updates, err)
}

// RemoveAttempt removes an attempt whose end is no evidence about the request.
func (t *Table) RemoveAttempt(attemptID string) {
	t.takeUnanswered(attemptID)
	t.notifyUpdates(t.core.EndAttempt(attemptID), nil)
}

// Failed gives a strike to every request in flight on a target that broke a connection. It returns when the other
// instances have acknowledged the strikes or acknowledgeTimeout has passed, so that a caller that retries finds the
// strike known on every instance that answers.
func (t *Table) Failed(ctx context.Context, attemptID string, target quarantine.Target) {
	updates, parts, done, earlier, err := t.strike(target)
	for _, fingerprint := range updates.StruckRequests {
		t.recorder.Record(events.CrashStrike, events.Fields{"target": target.Name, "fingerprint": fingerprint.String()})
	}
	if len(updates.Frame) > 0 {
		// The strike is broadcast even if the caller has disconnected.
		t.broadcast(context.WithoutCancel(ctx), Message{Frame: updates.Frame, Parts: parts}, func(Answer) {})
		t.endBroadcast(target, done)
	}
	for _, other := range earlier {
		<-other // bounded by acknowledgeTimeout
	}
	updates.Frame = nil
	t.notifyUpdates(updates, err)
	t.RemoveAttempt(attemptID)
}

// strike gives a strike to the requests in flight on a target. The first failure on a target strikes all of them; later
// ones have no strikes of their own to broadcast and wait for the broadcasts in progress, which strike returns as earlier.
func (t *Table) strike(target quarantine.Target) (updates quarantine.Updates, parts []crashes.Evidence, done chan struct{},
	earlier []chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	earlier = slices.Clone(t.broadcasts[target])
	updates, err = t.core.TargetFailed(t.now(), target)
	parts = t.blameParts(target)
	if len(updates.Frame) > 0 {
		done = make(chan struct{})
		t.broadcasts[target] = append(t.broadcasts[target], done)
	}
	return updates, parts, done, earlier, err
}

// blameParts records the failure of a target against the parts of its unanswered attempts, and returns the evidence.
func (t *Table) blameParts(target quarantine.Target) []crashes.Evidence {
	now := t.now()
	var blamed []crashes.Suspect
	for id, a := range t.unanswered {
		if a.target == target {
			blamed = append(blamed, a.parts...)
			t.parts.RecordCrash(now, crashes.Occurrence{SentAt: a.sentAt, At: now}, crashes.TargetID(target.Name, target.Incarnation), a.parts)
			delete(t.unanswered, id)
		}
	}
	return t.parts.Of(now, blamed)
}

func (t *Table) endBroadcast(target quarantine.Target, done chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(done)
	t.broadcasts[target] = slices.DeleteFunc(t.broadcasts[target], func(other chan struct{}) bool { return other == done })
	if len(t.broadcasts[target]) == 0 {
		delete(t.broadcasts, target)
	}
}

// notifyUpdates notifies the other instances without waiting for an acknowledgement.
func (t *Table) notifyUpdates(updates quarantine.Updates, err error) {
	if err != nil {
		t.recorder.Record(events.InternalError, events.Fields{"task": "crash suspects", "error": err.Error()})
	}
	if len(updates.Frame) > 0 {
		t.notify(Message{Frame: updates.Frame})
	}
	for _, claim := range updates.WithdrawnClaims {
		t.notify(Message{Claim: &claim})
	}
}

func (t *Table) notify(m Message) {
	for _, peer := range t.localPeers {
		_ = t.peers.Notify(peer, peerapi.MethodStrike, m)
	}
}

// Handle handles a message of another instance.
func (t *Table) Handle(m Message) (Answer, error) {
	if len(m.Frame) > 0 {
		if err := t.core.Merge(t.now(), acknowledgeTimeout, m.Frame); err != nil {
			return Answer{}, err
		}
	}
	t.parts.Merge(t.now(), m.Parts)
	if m.Claim != nil {
		return Answer{Agreed: t.core.HandleClaim(t.now(), *m.Claim)}, nil
	}
	return Answer{Agreed: true}, nil
}

// Run renews claims and gossips strikes until ctx ends.
func (t *Table) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	gossip := time.NewTicker(gossipInterval)
	defer gossip.Stop()
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-renew.C:
			for _, claim := range t.core.Renew(t.now()) {
				t.notify(Message{Claim: &claim})
			}
		case <-gossip.C:
			t.gossip(rng)
		}
	}
}

func (t *Table) gossip(rng *rand.Rand) {
	if len(t.allPeers) == 0 {
		return
	}
	frame, err := t.core.Delta(t.now(), gossipBytes)
	parts := t.parts.Latest(t.now(), gossipParts)
	if err != nil || len(frame) == 0 && len(parts) == 0 {
		return
	}
	_ = t.peers.Notify(t.allPeers[rng.IntN(len(t.allPeers))], peerapi.MethodStrike, Message{Frame: frame, Parts: parts})
}
