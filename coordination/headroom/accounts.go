package headroom

import (
	"cmp"
	"slices"
)

// overShareMargin is how far the running requests of an account may exceed its fair share. Below it, single large requests and
// reports of different ages would decide.
const overShareMargin = 1.25

// AccountLoad is what one client account has running and waiting at all gateways.
type AccountLoad struct {
	Name             string
	Running, Waiting int
	// Weight is the part of the account in what is shared, in proportion to that of the others.
	Weight float64
}

func (a *AccountLoad) demand() float64 { return float64(a.Running + a.Waiting) }

// OverShare returns the accounts that have more running requests than their fair share while requests of others wait. The running
// requests of all accounts are shared by weight, and what an account does not ask for goes to the others (max-min fairness).
func OverShare(loads []AccountLoad) []string {
	waiting, left := 0, 0.0
	for i := range loads {
		waiting += loads[i].Waiting
		left += float64(loads[i].Running)
	}
	if waiting == 0 {
		return nil
	}
	byDemand := slices.Clone(loads)
	slices.SortFunc(byDemand, func(a, b AccountLoad) int { return cmp.Compare(a.demand()*b.Weight, b.demand()*a.Weight) })
	weights := 0.0
	for i := range byDemand {
		weights += byDemand[i].Weight
	}
	var over []string
	for i := range byDemand {
		a := &byDemand[i]
		fair := min(a.demand(), left*a.Weight/max(weights, 1e-9))
		left, weights = left-fair, weights-a.Weight
		if othersWait := waiting > a.Waiting; othersWait && float64(a.Running) > overShareMargin*fair+1 {
			over = append(over, a.Name)
		}
	}
	return over
}
