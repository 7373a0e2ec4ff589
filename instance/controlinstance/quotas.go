package controlinstance

import (
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/quota"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// quotas holds the ledger of the quotas of accounts while this instance leads.
type quotas struct {
	opts quota.Options

	mu     sync.Mutex
	ledger *quota.Ledger
	// limits are those of table, by the name of the account.
	table  *routes.Table
	limits map[string]quota.Limit
}

// of returns the ledger of a term, or that of a later one: the caller may have waited since it read the term. A new one knows nothing
// of the grants of other leaders before.
func (q *quotas) of(now time.Time, term uint64) *quota.Ledger {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ledger == nil || q.ledger.Epoch() < term {
		q.ledger = quota.NewLedger(now, q.opts, term)
	}
	return q.ledger
}

// limitsOf returns the limits of the accounts of a table.
func (q *quotas) limitsOf(table *routes.Table) map[string]quota.Limit {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table != table {
		q.table, q.limits = table, make(map[string]quota.Limit)
		accounts := table.Document().Accounts
		for i := range accounts {
			if a := &accounts[i]; a.Quota.Limited() {
				q.limits[a.Name] = quota.Limit{PerSecond: a.Quota.PerSecond, Burst: a.Quota.Burst, Requests: a.Quota.Unit == routes.Requests}
			}
		}
	}
	return q.limits
}

// quotaLevels records what a gateway used of quotas. It returns nil if this instance may not give out grants.
func (d *Director) quotaLevels(now time.Time, r *fleetapi.LoadReport) *quota.Levels {
	if r.Quota == nil {
		return nil
	}
	term, ok := d.lease.PermitTerm()
	table := d.view.Table()
	if !ok || table == nil {
		return nil
	}
	limits := d.quotas.limitsOf(table)
	return d.quotas.of(now, term).Report(now, r.Gateway, r.Quota, func(account string) (quota.Limit, bool) {
		limit, ok := limits[account]
		return limit, ok
	})
}

// GrantQuota grants a gateway units of the quota of an account.
func (d *Director) GrantQuota(now time.Time, r quota.GrantRequest) (quota.Grant, error) {
	term, ok := d.lease.PermitTerm()
	table := d.view.Table()
	if !ok || table == nil {
		return quota.Grant{}, errNotLeader
	}
	limit, ok := d.quotas.limitsOf(table)[r.Account]
	if !ok {
		return quota.Grant{}, nil // the configuration here is another one
	}
	grant := d.quotas.of(now, term).Grant(now, r, limit)
	switch {
	case grant.OK:
		d.quotaGranted.Inc(1)
	case grant.Hold:
		d.quotaHeld.Inc(1)
	case grant.Ready:
		d.quotaDenied.Inc(1)
	}
	return grant, nil
}
