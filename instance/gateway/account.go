package gateway

import (
	"net/http"
	"strings"

	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// reasonUnknownKey is why a request is refused whose key no account holds, or holds no longer.
const reasonUnknownKey = "no account in force holds the key of the request"

// credentials are what a request says about its client account. Targets get it only while the configuration has no accounts.
type credentials struct {
	key string
	// headers are the headers as sent, by name.
	headers http.Header
	// table is the configuration by which account was found.
	table *routes.Table
	// account is the client account of the caller, nil without one.
	account *routes.Account
}

// readCredentials reads what a request says about its account.
func (g *Gateway) readCredentials(h http.Header) credentials {
	c := credentials{key: h.Get(g.opts.Headers.Key)}
	for _, name := range []string{g.opts.Headers.Key, g.opts.Headers.Account} {
		if values, ok := h[name]; ok {
			if c.headers == nil {
				c.headers = make(http.Header, 2)
			}
			c.headers[name] = values
		}
	}
	return c
}

// authorize finds the client account by a configuration. It returns false if the route needs a key that an account holds.
func (c *credentials) authorize(table *routes.Table, route *routes.Route) bool {
	c.table, c.account = table, nil
	if !table.HasAccounts() {
		return true
	}
	c.account = table.AccountOf(c.key)
	return c.account != nil || route.AllowAnonymous
}

// stillAuthorized looks the account of a request up again if another configuration has come into force, and reports whether the
// request may be served. Keys may be withdrawn, and the first accounts may appear, while it waits for a target or for a repeat.
func (g *Gateway) stillAuthorized(q *request) bool {
	table := g.view.Table()
	if table == nil || table == q.credentials.table {
		return true
	}
	path, _, _ := strings.Cut(q.uri, "?")
	route := table.Match(q.host, path)
	if route == nil {
		route = q.route
	}
	if !q.credentials.authorize(table, route) {
		return false
	}
	q.setRank()
	return true
}

// setRank sets the rank with which targets schedule a request.
func (q *request) setRank() {
	q.rank = q.route.Rank
	if q.credentials.account != nil {
		q.rank = q.credentials.account.RankOf(q.route)
	}
}

// setAccountHeaders sets what a target is told about the client account.
func (g *Gateway) setAccountHeaders(header http.Header, c *credentials) {
	if c.account != nil {
		header[g.opts.Headers.Account] = []string{c.account.Name}
		return
	}
	if !c.table.HasAccounts() {
		for name, values := range c.headers {
			header[name] = values
		}
	}
}

// cost is what a request uses of the quota of its account.
func (g *Gateway) cost(q *request) float64 {
	quota := &q.credentials.account.Quota
	if quota.Unit != routes.Tokens {
		return 1
	}
	if tokens, ok := g.opts.CountTokens(q.header); ok {
		return float64(tokens)
	}
	return float64(quota.DefaultTokens)
}
