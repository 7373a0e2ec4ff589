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
// operators have granted them; one without a quota counts as one with the mean rate of the others.
func (g *gatewayLoads) overShare(document *routes.Document) []string {
	if len(g.accounts) == 0 {
		return nil
	}
	rates, sum := make(map[string]float64, len(document.Accounts)), 0.0
	for i := range document.Accounts {
		if a := &document.Accounts[i]; a.Quota.Limited() {
			rates[a.Name] = a.Quota.PerSecond
			sum += a.Quota.PerSecond
		}
	}
	mean := 1.0
	if len(rates) > 0 {
		mean = sum / float64(len(rates))
	}
	loads := make([]headroom.AccountLoad, 0, len(g.accounts))
	for name, l := range g.accounts {
		weight, ok := rates[name]
		if !ok {
			weight = mean
		}
		loads = append(loads, headroom.AccountLoad{Name: name, Running: l.Running, Waiting: l.Waiting, Weight: weight})
	}
	return headroom.OverShare(loads)
}
