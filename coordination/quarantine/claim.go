package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Claim reserves a target for one suspect on all instances of the data centre. It is sent to the connected ones before
// the suspect starts, when it starts, and then again before half of its lease has passed. A claim with Ended set
// withdraws it.
type Claim struct {
	AttemptID   string      `json:"attempt_id"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Target      Target      `json:"target"`
	// Started is set once the request may have been sent to the target.
	Started bool `json:"started,omitempty"`
	Ended   bool `json:"ended,omitempty"`
}

// heldClaim is a claim as stored by one instance; own is set on the instance that made it.
type heldClaim struct {
	Claim
	own     bool
	expires time.Time
	// yielded is set when an own claim lost to a competing one. It is kept so that EndAttempt can still withdraw it on
	// the other instances.
	yielded bool
}

// Claim reserves a target for a suspect on this instance. Package crashsuspects then sends the claim to the other
// instances and starts the attempt only if none of them refuses it. Otherwise it calls EndAttempt and retries after a
// short delay.
func (t *Table) Claim(now time.Time, a Attempt) (Claim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, _ := t.verdict(now, a.Fingerprint); v != Suspect {
		return Claim{}, false
	}
	if _, used := t.claims[a.ID]; used {
		return Claim{}, false
	}
	c := Claim{AttemptID: a.ID, Fingerprint: a.Fingerprint, Target: a.Target}
	if t.busy(now, &c) || len(t.competing(now, &c)) > 0 {
		return Claim{}, false
	}
	t.claims[a.ID] = &heldClaim{Claim: c, own: true, expires: now.Add(t.opts.ClaimLease)}
	return c, true
}

// HandleClaim applies a claim of another instance and reports whether this instance agrees to it. Of two competing
// claims that have not started, the one with the lower attempt id wins: its holder refuses the other claim, and the
// holder of the other claim yields. So at most one of them gets the agreement of all instances, and one of them
// proceeds.
func (t *Table) HandleClaim(now time.Time, c Claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.claims[c.AttemptID]
	if held != nil && held.own {
		return false
	}
	if c.Ended {
		delete(t.claims, c.AttemptID)
		return true
	}
	if !c.Started {
		if t.busy(now, &c) {
			return false
		}
		competing := t.competing(now, &c)
		for _, other := range competing {
			if other.Started || other.AttemptID < c.AttemptID {
				return false
			}
		}
		for _, other := range competing {
			other.yielded = other.own
		}
	}
	t.claims[c.AttemptID] = &heldClaim{Claim: c, expires: now.Add(t.opts.ClaimLease)}
	return true
}

// busy reports whether the claimed request is in flight here, or a suspect is in flight from here on the target.
func (t *Table) busy(now time.Time, c *Claim) bool {
	if t.byRequest[c.Fingerprint] > 0 {
		return true
	}
	for _, fingerprint := range t.byTarget[c.Target] {
		if v, _ := t.verdict(now, fingerprint); v != Clean {
			return true
		}
	}
	return false
}

// competing returns the other valid claims of the same request or the same target.
func (t *Table) competing(now time.Time, c *Claim) []*heldClaim {
	var list []*heldClaim
	for id, held := range t.claims {
		if id != c.AttemptID && !held.yielded && now.Before(held.expires) && (held.Fingerprint == c.Fingerprint || held.Target == c.Target) {
			list = append(list, held)
		}
	}
	return list
}

// HasClaim reports whether a suspect has claimed a target. Other requests should be sent to other targets, because they
// would get a strike too if the suspect crashes this one.
func (t *Table) HasClaim(now time.Time, target Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.claims {
		if held.Target == target && !held.yielded && now.Before(held.expires) {
			return true
		}
	}
	return false
}

// Renew extends the claims of attempts in flight, returns them to be sent again, and removes claims whose lease has
// ended. It has to be called every third of the claim lease.
func (t *Table) Renew(now time.Time) []Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	var renewed []Claim
	for id, held := range t.claims {
		_, running := t.inFlight[id]
		switch {
		case held.own && running:
			held.expires = now.Add(t.opts.ClaimLease)
			renewed = append(renewed, held.Claim)
		case !now.Before(held.expires):
			delete(t.claims, id)
		}
	}
	slices.SortFunc(renewed, func(a, b Claim) int { return cmp.Compare(a.AttemptID, b.AttemptID) })
	return renewed
}
