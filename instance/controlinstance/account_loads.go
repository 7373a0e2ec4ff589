package controlinstance

import (
	"github.com/tarragonhoist/tarragonhoist/coordination/headroom"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

func (g *gatewayLoads) addAccount(a fleetapi.AccountLoad, sign int) {
	sum := g.accounts[a.Name]
	if sum == nil {
		sum = &fleetapi.AccountLoad{Name: a.Name}
		g.accounts[a.Name] = sum
	}
	sum.Running += sign * a.Running
	sum.Waiting += sign * a.Waiting
	if sum.Running == 0 && sum.Waiting == 0 {
		delete(g.accounts, a.Name)
	}
}

// overShare returns the client accounts that are above their fair share. Accounts count by the rate of their quota, which is what
// operators have granted them, relative to the mean rate of the quotas in the same unit. One without a quota counts as the mean.
func (g *gatewayLoads) overShare(document *routes.Document) []string {
	if len(g.accounts) == 0 {
		return nil
	}
	rates, numbers := make(map[routes.QuotaUnit]float64), make(map[routes.QuotaUnit]float64)
	quotas := make(map[string]*routes.Quota, len(document.Accounts))
	for i := range document.Accounts {
		if a := &document.Accounts[i]; a.Quota.Limited() {
			quotas[a.Name] = &a.Quota
			rates[a.Quota.Unit] += a.Quota.PerSecond
			numbers[a.Quota.Unit]++
		}
	}
	loads := make([]headroom.AccountLoad, 0, len(g.accounts))
	for name, l := range g.accounts {
		weight := 1.0
		if q := quotas[name]; q != nil {
			weight = q.PerSecond * numbers[q.Unit] / rates[q.Unit]
		}
		loads = append(loads, headroom.AccountLoad{Name: name, Running: l.Running, Waiting: l.Waiting, Weight: weight})
	}
	return headroom.OverShare(loads)
}

// hasDeferrableRequests reports whether gateways share the slots of a service, see headroom.MinDeferrableObjective.
func (d *Director) hasDeferrableRequests(service string) bool {
	table := d.view.Table()
	return table != nil && table.MaxObjective(service) >= headroom.MinDeferrableObjective
}
