package routes

import "crypto/sha256"

// Account is a client account. Callers belong to the account that holds their key.
type Account struct {
	Name string
	Keys []KeyDigest
	// Rank goes before the rank of the route of a request; 0 is the most urgent, nil stands for no rank of its own.
	Rank  *int
	Quota Quota
}

// routeRanks is the number of ranks of routes that are kept apart within one rank of accounts. With it, three ranks of accounts fit
// into the ten priorities that targets know.
const routeRanks = 3

// RankOf returns the rank of the account's requests on a route: by the account first, and among accounts of one rank by the route.
func (a *Account) RankOf(r *Route) int {
	if a.Rank == nil {
		return r.Rank
	}
	return *a.Rank*routeRanks + min(max(r.Rank, 0), routeRanks-1)
}

// KeyDigest is the SHA-256 digest of a key. Tables hold no keys, so that neither a dump of the memory of a table nor the time of
// a lookup gives one away.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Quota limits what the requests of an account use, over all gateways together.
type Quota struct {
	// PerSecond and Burst are in units; PerSecond 0 means that the account has no limit.
	PerSecond, Burst float64
	Unit             QuotaUnit
	// DefaultTokens is what a request without token counts uses, if the unit is Tokens.
	DefaultTokens int
}

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// Units of quotas.
const (
	Requests QuotaUnit = iota
	// Tokens are the tokens of the prompt and the most tokens of the output.
	Tokens
)

// Limited reports whether the quota limits anything.
func (q *Quota) Limited() bool { return q.PerSecond > 0 }

// HasAccounts reports whether callers need a key, except for routes that allow anonymous callers.
func (t *Table) HasAccounts() bool { return len(t.document.Accounts) > 0 }

// AccountOf returns the account that holds a key, or nil. No account holds the empty key, which stands for none.
func (t *Table) AccountOf(key string) *Account {
	if key == "" {
		return nil
	}
	return t.accounts[DigestKey(key)]
}
