package gateway

import (
	"net/http"

	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// reasonUnknownKey is why a request is refused whose key no account holds, or holds no longer.
const reasonUnknownKey = "no account in force holds the key of the request"

// authorize returns the client account of a request, nil without one. ok is false if the route needs a key that an account holds.
func (g *Gateway) authorize(h http.Header, table *routes.Table, route *routes.Route) (account *routes.Account, ok bool) {
	if !table.HasAccounts() {
		return nil, true
	}
	account = table.AccountOf(h.Get(g.opts.Headers.Key))
	return account, account != nil || route.AllowAnonymous
}

// stillAuthorized reports whether the account of a request holds its key in the configuration in force. A key may be withdrawn
// while a request waits for a target or for a repeat.
func (g *Gateway) stillAuthorized(q *request) bool {
	if q.account == nil {
		return true
	}
	table := g.view.Table()
	if table == q.table || table == nil {
		return true
	}
	account := table.AccountOf(q.key)
	return account != nil && account.Name == q.account.Name
}

// cost is what a request uses of the quota of its account.
func (g *Gateway) cost(q *request) float64 {
	if q.account.Quota.Unit != routes.Tokens {
		return 1
	}
	if tokens, ok := g.opts.CountTokens(q.header); ok {
		return float64(tokens)
	}
	return float64(q.account.Quota.DefaultTokens)
}
