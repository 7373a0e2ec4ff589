package routes

import "math"

func (w *warner) checkAccount(i int) {
	a, location := &w.document.Accounts[i], w.document.accountLocation(i)
	if len(a.Keys) == 0 {
		w.add("account-without-keys", location, "the account has no keys, so that no request belongs to it")
	}
	first := make(map[KeyDigest]int, len(a.Keys))
	empty := DigestKey("")
	for n, digest := range a.Keys {
		earlier, twice := first[digest]
		switch {
		case digest == empty:
			w.add("key-empty", location, "key %d is empty, which no request can carry", n)
		case twice:
			w.add("key-twice", location, "key %d is the same as key %d", n, earlier)
		default:
			first[digest] = n
		}
	}
	w.checkQuota(&a.Quota, location)
}

func (w *warner) checkQuota(q *Quota, location string) {
	switch {
	case q.PerSecond < 0:
		w.add("quota-negative", location, "the rate %g is negative, which means that the account has no limit", q.PerSecond)
		return
	case q.PerSecond == 0 && q.Burst != 0:
		w.add("burst-without-rate", location, "the burst %g has no effect, because the account has no rate and thus no limit", q.Burst)
	case q.Burst < 0:
		w.add("quota-negative", location, "the burst %g is negative", q.Burst)
	}
	if !q.Limited() {
		return
	}
	if q.Unit == Tokens && q.DefaultTokens <= 0 {
		w.add("quota-without-default", location, "requests without token counts use nothing of the quota in tokens")
	}
	if allowed, size := q.inWindow(), q.typicalRequest(); allowed < size {
		w.add("quota-below-request", location, "burst and one window of %v allow %.4g %s, less than one request, which uses %.4g",
			quotaWindow, allowed, q.Unit.name(), size)
	}
}

// inWindow returns the units that the quota allows in one window.
func (q *Quota) inWindow() float64 { return q.PerSecond*quotaWindow.Seconds() + math.Max(q.Burst, 0) }

// typicalRequest returns the units that a request uses, as far as the document tells.
func (q *Quota) typicalRequest() float64 {
	if q.Unit == Tokens {
		return float64(q.DefaultTokens)
	}
	return 1
}

func (u QuotaUnit) name() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}
