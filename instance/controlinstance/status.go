package controlinstance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Status returns what this instance knows as the leader, or nil if it does not hold the lease. It contains no keys: accounts are
// listed by name, and nothing else is taken from their configuration but the quota.
func (d *Director) Status(now time.Time) *fleetapi.Status {
	term, ok := d.lease.PermitTerm()
	table := d.view.Table()
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateways.expire(now)
	s := &fleetapi.Status{Instance: d.opts.Name, Gateways: d.gateways.live, Speeds: d.speeds.estimator.All(), OutOfRotation: d.gatewaysOut(now),
		Waiting: d.waitingStatus()}
	if d.opts.SlowStart {
		for _, p := range d.starts.sums.Status() {
			s.Starting = append(s.Starting, fleetapi.StartingStatus{Target: p.Target, Window: p.Window, Full: p.Full, ForMs: now.Sub(p.BeganAt).Milliseconds()})
		}
	}
	if table != nil {
		s.ConfigVersion = int64(table.Version())
		s.Accounts = d.accountStatus(now, term, table)
		s.Models = d.modelStatus(now, table.Document())
	}
	return s
}

func (d *Director) accountStatus(now time.Time, term uint64, table *routes.Table) []fleetapi.AccountStatus {
	accounts := table.Document().Accounts
	limits := d.quotas.limitsOf(table)
	list := make([]fleetapi.AccountStatus, 0, len(accounts))
	for i := range accounts {
		name := accounts[i].Name
		s := fleetapi.AccountStatus{Name: name}
		if load := d.gateways.accounts[name]; load != nil {
			s.Running, s.Waiting = load.Running, load.Waiting
		}
		if limit, ok := limits[name]; ok {
			q := d.quotas.of(now, term).Status(now, name, limit)
			s.PerSecond, s.Unit = limit.PerSecond, "tokens"
			if limit.Requests {
				s.Unit = "requests"
			}
			s.Limit, s.Used, s.Withheld = roundToTenth(q.Limit), roundToTenth(q.Used), roundToTenth(q.Withheld)
			s.Outstanding, s.RefusedShare = roundToTenth(q.Outstanding), q.RefusedShare()
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b fleetapi.AccountStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// modelStatus returns the models with copies, loads in progress or demand.
func (d *Director) modelStatus(now time.Time, document *routes.Document) []fleetapi.ModelStatus {
	models := make(map[modelKey]*fleetapi.ModelStatus)
	of := func(key modelKey) *fleetapi.ModelStatus {
		if models[key] == nil {
			models[key] = &fleetapi.ModelStatus{Service: key.service, Model: key.model}
		}
		return models[key]
	}
	for i := range document.Services {
		service := &document.Services[i]
		if service.Engine == nil {
			continue
		}
		for _, c := range d.targets {
			if c.service != service.Name {
				continue
			}
			t := c.plannerTarget(now, service.Engine, d.sizes)
			for _, model := range t.Models {
				if model == t.Loading {
					of(modelKey{service.Name, model}).Loading++
				} else {
					of(modelKey{service.Name, model}).Copies++
				}
			}
		}
		for key, demand := range d.smoothed {
			if key.service == service.Name {
				of(key).Demand = roundToTenth(demand)
			}
		}
	}
	var list []fleetapi.ModelStatus
	for _, m := range models {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(a, b fleetapi.ModelStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Model, b.Model))
	})
	return list
}

func (d *Director) waitingStatus() []fleetapi.WaitingStatus {
	var list []fleetapi.WaitingStatus
	for q := range maps.Values(d.gateways.queues) {
		if q.Waiting > 0 {
			list = append(list, fleetapi.WaitingStatus{Service: q.Service, Model: q.Model, Waiting: q.Waiting})
		}
	}
	slices.SortFunc(list, func(a, b fleetapi.WaitingStatus) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return list
}
