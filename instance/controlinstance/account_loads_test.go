package controlinstance

import (
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Guards against an account whose quota counts requests being held back beside one whose quota counts tokens: the two rates are
// numbers of different units.
func TestFairSharesCompareQuotasOfDifferentUnits(t *testing.T) {
	g := newGatewayLoads()
	g.put(time.Unix(100, 0), &fleetapi.LoadReport{Gateway: "g", Accounts: []fleetapi.AccountLoad{
		{Name: "by requests", Running: 10, Waiting: 5}, {Name: "by tokens", Running: 10, Waiting: 5}}})
	document := &routes.Document{Accounts: []routes.Account{
		{Name: "by requests", Quota: routes.Quota{PerSecond: 50}},
		// 50 requests of about 1,000 tokens.
		{Name: "by tokens", Quota: routes.Quota{PerSecond: 50_000, Unit: routes.Tokens}},
	}}
	if over := g.overShare(document); len(over) > 0 {
		t.Errorf("accounts with quotas of 50 requests a second and with as many requests: %q are over their share", over)
	}
}
