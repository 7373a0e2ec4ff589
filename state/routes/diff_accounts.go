package routes

import "fmt"

func (d *differ) accounts(inForce, next []Account) {
	switch {
	case len(inForce) == 0 && len(next) > 0:
		d.add("accounts", "callers need a key from now on, except for routes that allow anonymous callers")
	case len(inForce) > 0 && len(next) == 0:
		d.add("accounts", "callers need no key any more")
	}
	for _, p := range pairs(inForce, next, func(a *Account) string { return a.Name }) {
		switch {
		case p.next == nil:
			d.add(accountPlace(p.inForce), "removed, with %s", count(len(p.inForce.Keys), "key"))
		case p.inForce == nil:
			d.add(accountPlace(p.next), "added, with %s, rank %s, quota %s", count(len(p.next.Keys), "key"), rankText(p.next.Rank), p.next.Quota.text())
		default:
			d.account(p.inForce, p.next)
		}
	}
}

func accountPlace(a *Account) string { return "account " + a.Name }

func (d *differ) account(inForce, next *Account) {
	place := accountPlace(next)
	if added, removed := lacking(inForce.Keys, next.Keys), lacking(next.Keys, inForce.Keys); added+removed > 0 {
		d.add(place, "%s added, %s removed", count(added, "key"), count(removed, "key"))
	}
	field(d, place, "rank", rankText(inForce.Rank), rankText(next.Rank))
	field(d, place, "quota", inForce.Quota.text(), next.Quota.text())
}

// lacking returns how many of the keys a list of others lacks.
func lacking(others, keys []KeyDigest) int {
	known := make(map[KeyDigest]bool, len(others))
	for _, k := range others {
		known[k] = true
	}
	n := 0
	for _, k := range keys {
		if !known[k] {
			n++
			known[k] = true // a key that is listed twice counts once
		}
	}
	return n
}

func rankText(rank *int) string {
	if rank == nil {
		return "of the route"
	}
	return fmt.Sprint(*rank)
}

func (q Quota) text() string {
	if !q.Limited() {
		return "without limit"
	}
	text := fmt.Sprintf("%g %s/s with a burst of %g", q.PerSecond, q.Unit.name(), q.Burst)
	if q.Unit == Tokens {
		text += fmt.Sprintf(", %d without token counts", q.DefaultTokens)
	}
	return text
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
