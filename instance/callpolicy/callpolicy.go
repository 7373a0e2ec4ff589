// Package callpolicy connects the serving of calls to admission, routing, straggler detection and retry budgets.
package callpolicy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/coordination/quarantine"
	"github.com/tarragonhoist/tarragonhoist/coordination/retry"
	"github.com/tarragonhoist/tarragonhoist/coordination/routing"
	"github.com/tarragonhoist/tarragonhoist/coordination/straggler"
	"github.com/tarragonhoist/tarragonhoist/instance/admissionqueue"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// noTargetRetryAfter is the retry delay given to clients when no target is ready. It equals the announcement interval
// of targets.
const noTargetRetryAfter = time.Second

// Table looks up targets.
type Table interface {
	Target(name string) (*membership.Entry, bool)
	Sample(now time.Time, random *rand.Rand, limit int, model, adapter string) []*membership.Entry
	SampleServices(now time.Time, random *rand.Rand, limit int, name string) []*membership.Entry
	RemoteReplicas(now time.Time, model, adapter string) []membership.ModelSummary
}

// Policy decides on admission, targets, hedged requests and retries of calls. It is safe for concurrent use.
type Policy struct {
	table    Table
	admit    *admissionqueue.Waiter
	router   *routing.Router
	detector *straggler.Detector
	budget   *retry.Budget
	suspects Suspects
	remote   Remote
	now      func() time.Time
	pauses   pauses

	// rngPool pools random number generators, which are not safe for concurrent use.
	rngPool sync.Pool
}

// Neighbour is another instance of the data centre.
type Neighbour struct{ Name, Address string }

// Remote looks up instances of other data centres.
type Remote interface {
	// Neighbours returns the other instances of the data centre that accept forwarded requests.
	Neighbours() []Neighbour
	// Address returns the HTTP address of an instance of a data centre, or false if no instance there accepts requests.
	Address(dataCentre string, rng *rand.Rand) (address string, ok bool)
}

// Suspects looks up the requests that are suspected of crashing targets. Policy keeps them away from each other and from
// other requests.
type Suspects interface {
	// IsSuspect reports whether a request has a strike.
	IsSuspect(fingerprint quarantine.Fingerprint) bool
	// HasClaim reports whether a suspect runs on a target.
	HasClaim(target quarantine.Target) bool
}

// New returns the policy of one instance.
func New(table Table, waiter *admissionqueue.Waiter, router *routing.Router, detector *straggler.Detector, budget *retry.Budget,
	suspects Suspects, remote Remote, now func() time.Time) *Policy {
	p := &Policy{
		table: table, admit: waiter, router: router, detector: detector, budget: budget, suspects: suspects, remote: remote, now: now,
	}
	p.rngPool.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return p
}

// Acquire implements modelcalls.Admission.
func (p *Policy) Acquire(ctx context.Context, w *modelcalls.Work) (modelcalls.Permit, *api.Result) {
	admitted, refusal := p.admit.Acquire(ctx, admission.Request{
		ID: w.RequestID, Caller: w.Caller, Weight: w.Weight, Model: w.Model, Adapter: w.Adapter, Priority: w.Priority,
		PromptTokens: w.PromptTokens, TokenLimit: w.TokenLimit, AdapterResident: true, Deadline: w.Deadline,
	})
	if refusal == nil {
		estimate := admitted.Estimate()
		w.Units, w.Long = estimate.Units, estimate.Long
		return &admittedPermit{Permit: admitted, now: p.now, started: p.now()}, nil
	}
	if refusal.Reason != api.ReasonOverShare && p.hasRemoteRoom(w) {
		// The other data centre admits the request and counts it against the caller's share.
		w.Spilled = true
		return spilledPermit{}, nil
	}
	return nil, refusal
}

// admittedPermit implements modelcalls.Permit for a request that was admitted here. Its release reports the service
// time.
type admittedPermit struct {
	*admissionqueue.Permit
	now     func() time.Time
	started time.Time
}

// Release implements modelcalls.Permit.
func (p *admittedPermit) Release(tokens int, answered bool) {
	p.Permit.Release(admission.Completion{Answered: answered, OutputTokens: tokens, ServiceTime: p.now().Sub(p.started)})
}

// spilledPermit implements modelcalls.Permit for a request that another data centre admits.
type spilledPermit struct{}

// Interrupted implements modelcalls.Permit. The request is interrupted in the other data centre, not here.
func (spilledPermit) Interrupted() <-chan struct{} { return nil }

// Resume implements modelcalls.Permit.
func (spilledPermit) Resume(context.Context) *api.Result { return nil }

// Release implements modelcalls.Permit.
func (spilledPermit) Release(int, bool) {}

// Pick implements modelcalls.Picker.
func (p *Policy) Pick(w *modelcalls.Work, avoided func(string) bool) (modelcalls.PickedTarget, func(modelcalls.Result), *api.Result) {
	return p.pick(w, avoided, func(now time.Time, rng *rand.Rand) []*membership.Entry {
		if w.Spilled {
			return nil
		}
		return p.table.Sample(now, rng, sampleLimit, w.Model, w.Adapter)
	})
}

// PickService picks a target for a service call. The work's model is the name of the service.
func (p *Policy) PickService(w *modelcalls.Work, avoided func(string) bool) (modelcalls.PickedTarget, func(modelcalls.Result), *api.Result) {
	return p.pick(w, avoided, func(now time.Time, rng *rand.Rand) []*membership.Entry {
		return p.table.SampleServices(now, rng, sampleLimit, w.Model)
	})
}

func (p *Policy) pick(w *modelcalls.Work, avoided func(string) bool,
	sample func(now time.Time, rng *rand.Rand) []*membership.Entry) (modelcalls.PickedTarget, func(modelcalls.Result), *api.Result) {
	now := p.now()
	rng := p.rngPool.Get().(*rand.Rand)
	defer p.rngPool.Put(rng)
	local, pause := p.localCandidates(now, w, avoided, sample(now, rng))
	request := p.request(w)
	remote := p.remoteCandidates(now, w, avoided)
	chosen, scores, err := p.router.Pick(now, rng, request, routing.Candidates{Local: local, Remote: []routing.Set{remote}})
	if err == nil && scores.Remote {
		if address, ok := p.remote.Address(chosen.DataCentre, rng); ok {
			p.router.Started(now, chosen.Target, &request)
			picked := modelcalls.PickedTarget{Target: chosen.Target, Address: address, Remote: true}
			return picked, func(r modelcalls.Result) { p.finishedRemote(w, picked, r) }, nil
		}
		chosen, _, err = p.router.Pick(now, rng, request, routing.Candidates{Local: local})
	}
	if err != nil && len(local) == 0 && w.Unreached && w.MaySpill {
		if picked, ok := p.pickNeighbour(rng, avoided); ok {
			return picked, func(modelcalls.Result) {}, nil
		}
	}
	if err != nil {
		return modelcalls.PickedTarget{}, nil, api.RefuseWithRetry(api.ReasonNoTarget, max(pause, noTargetRetryAfter), "no ready target can accept a request for \""+w.Model+"\"")
	}
	entry := local.entry(chosen.Target)
	picked := modelcalls.PickedTarget{Target: entry.Announcement.Target, Incarnation: entry.Announcement.Incarnation, Address: entry.Announcement.Address}
	p.router.Started(now, chosen.Target, &request)
	return picked, func(r modelcalls.Result) { p.finished(w, picked, r) }, nil
}

// neighbourPrefix is the prefix of target names that stand for another instance of the data centre.
const neighbourPrefix = "instance:"

// pickNeighbour picks another instance of the data centre for a request for which this one reaches no target any more. That instance
// serves the request with its own targets only.
func (p *Policy) pickNeighbour(rng *rand.Rand, avoided func(string) bool) (modelcalls.PickedTarget, bool) {
	neighbours := p.remote.Neighbours()
	rng.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
	for _, n := range neighbours {
		picked := modelcalls.PickedTarget{Target: neighbourPrefix + n.Name, Address: n.Address, Remote: true}
		if !avoided(picked.ID()) {
			return picked, true
		}
	}
	return modelcalls.PickedTarget{}, false
}

func (p *Policy) request(w *modelcalls.Work) routing.Request {
	return routing.Request{
		Model: w.Model, Adapter: w.Adapter, Units: w.Units, Long: w.Long, PromptTokens: w.PromptTokens,
		PrefixHashes: w.PrefixHashes, BlockTokens: targetapi.PrefixBlockBytes / api.BytesPerToken, MayProbe: true,
	}
}

const (
	// promptTokensPerUnit is the number of prompt tokens that count as one work unit, which is one output token. Engines
	// process prompt tokens in parallel, about 20 times as fast as output tokens.
	promptTokensPerUnit = 20
	// sampleLimit is enough for the router's own sample and the targets that have a prefix cached.
	sampleLimit = 24
	// expectedFirstToken is the usual time to first token, without the time for the prompt.
	expectedFirstToken = 250 * time.Millisecond
)

// finished reports the end of an attempt to the router and the straggler detector.
func (p *Policy) finished(w *modelcalls.Work, picked modelcalls.PickedTarget, r modelcalls.Result) {
	now := p.now()
	id := picked.ID()
	p.router.Finished(now, routing.Finish{
		Target: id, Model: w.Model, Long: w.Long, Answered: r.Err == nil,
		Units: float64(w.PromptTokens)/promptTokensPerUnit + float64(r.Tokens), Service: r.Total,
	})
	var broken *targetclient.IncompleteError
	var notConnected *targetclient.ConnectError
	var overloaded *targetclient.OverloadedError
	switch {
	case errors.As(r.Err, &overloaded):
		p.pauses.add(now, id, overloaded.RetryAfter)
	case r.FirstToken > 0:
		p.detector.Observe(now, p.observation(w, id, r.FirstToken))
	case errors.As(r.Err, &broken), errors.As(r.Err, &notConnected):
		p.detector.ObserveFailure(now, id, firstTokenGroup)
	}
}

// firstTokenGroup is the group in which the straggler detector compares targets by their time to first token. It spans
// all models, since most models have too few replicas to detect a slow one among them.
const firstTokenGroup = "engine/first_token"

func (p *Policy) observation(w *modelcalls.Work, id string, took time.Duration) straggler.Observation {
	return straggler.Observation{Target: id, Group: firstTokenGroup, Expected: p.Expected(w), Actual: took}
}

// Expected implements modelcalls.Picker.
func (p *Policy) Expected(w *modelcalls.Work) time.Duration {
	return expectedFirstToken + time.Duration(w.PromptTokens)*2*time.Millisecond
}

// HedgeDelay implements modelcalls.Picker.
func (p *Policy) HedgeDelay(w *modelcalls.Work) time.Duration {
	p.detector.CountRequest()
	return p.detector.HedgeDelay(firstTokenGroup, p.Expected(w))
}

// ReportOverdue implements modelcalls.Picker.
func (p *Policy) ReportOverdue(w *modelcalls.Work, picked modelcalls.PickedTarget, waited time.Duration) {
	p.detector.ObserveOverdue(p.now(), p.observation(w, picked.ID(), waited))
}

// Hedge implements modelcalls.Picker. A suspect is never hedged, since it could crash two targets at once.
func (p *Policy) Hedge(w *modelcalls.Work, _ modelcalls.PickedTarget, waited time.Duration) bool {
	if p.suspects.IsSuspect(w.Fingerprint) {
		return false
	}
	now := p.now()
	return p.detector.AllowHedge(now, straggler.HedgeRequest{
		Group: firstTokenGroup, Idempotent: true, Short: !w.Long,
		Expected: p.Expected(w), Elapsed: waited, Remaining: w.Deadline.Sub(now),
	})
}

// RecordFirstAttempt implements modelcalls.Retries.
func (p *Policy) RecordFirstAttempt(w *modelcalls.Work, picked modelcalls.PickedTarget) {
	p.budget.CountRequest(p.now(), w.Caller, picked.Target)
}

// Allow implements modelcalls.Retries.
func (p *Policy) Allow(w *modelcalls.Work, next modelcalls.PickedTarget, attempts int, err error) (time.Duration, bool) {
	rng := p.rngPool.Get().(*rand.Rand)
	defer p.rngPool.Put(rng)
	now := p.now()
	attempt := retry.Attempt{
		Caller: w.Caller, NextTarget: next.Target, Number: attempts, Cause: retry.Failure,
		Remaining: w.Deadline.Sub(now), ExpectedDuration: p.Expected(w),
	}
	var overloaded *targetclient.OverloadedError
	if errors.As(err, &overloaded) {
		attempt.Cause, attempt.RetryAfter = retry.Overload, overloaded.RetryAfter
	}
	decision := p.budget.Allow(now, rng, attempt)
	return decision.Delay, decision.Denial == retry.Allowed
}

// TargetChanged discards the routing and straggler state of targets whose entry expired or that were replaced by a new
// incarnation.
func (p *Policy) TargetChanged(c membership.Change) {
	switch c.Kind {
	case membership.Replaced:
		p.forget(modelcalls.TargetID(c.Target, c.FailedIncarnation))
	case membership.Expired:
		p.forget(modelcalls.TargetID(c.Target, c.Incarnation))
	}
}

func (p *Policy) forget(id string) {
	p.router.Forget(id)
	p.detector.Forget(id)
}

// CacheEvents handles the prefix cache events of a target.
func (p *Policy) CacheEvents(e targetapi.CacheEvents) error {
	if e.Version != targetapi.Version {
		return errors.Errorf("cache events version %d is not supported, want %d", e.Version, targetapi.Version)
	}
	p.router.CacheEvents(p.now(), modelcalls.TargetID(e.Target, e.Incarnation), &e)
	return nil
}

// InFlight returns the number of requests in flight that this instance has sent to a target.
func (p *Policy) InFlight(name string, incarnation uint64) int {
	return p.router.InFlight(modelcalls.TargetID(name, incarnation))
}
