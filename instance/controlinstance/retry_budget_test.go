package controlinstance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/dispatch"
	"github.com/tarragonhoist/tarragonhoist/coordination/gatewaycount"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// Guards against gateways that use more than the retry budget of all, because a leader that has just started, or has just
// been elected, tells them that they are few.
func TestGatewaysThatRestartWithTheirLeaderStayWithinTheRetryBudget(t *testing.T) {
	const (
		slack          = 200
		ratio          = 0.2
		requestsPerSec = 400 // all of them fail
		step           = 10 * time.Millisecond
		newLeaderAt    = 20 * time.Second
		length         = 40 * time.Second
	)
	for _, gateways := range []int{80, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(gateways)))
			start := time.Unix(1000, 0)
			leader := newGatewayLoads()
			counts := make([]gatewaycount.Counter, gateways)
			budgets := make([]*dispatch.Budget, gateways)
			nextReport := make([]time.Time, gateways)
			for i := range gateways {
				budgets[i] = dispatch.NewBudget(dispatch.BudgetLimits{Ratio: ratio, Slack: slack, Window: 10 * time.Second, Share: 0.6})
				nextReport[i] = start.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
			var requests, repeats []int // by step
			for now := start; now.Sub(start) < length; now = now.Add(step) {
				if now.Sub(start) == newLeaderAt {
					leader = newGatewayLoads()
				}
				leader.expire(now)
				for i := range gateways {
					if now.Before(nextReport[i]) {
						continue
					}
					leader.put(now, &fleetapi.LoadReport{Gateway: fmt.Sprint("g", i)})
					counts[i].Observe(now, leader.live)
					interval := fleetapi.ReportInterval(counts[i].Gateways(now, 0))
					nextReport[i] = now.Add(interval - time.Duration(rng.Int64N(int64(interval)/4)))
				}
				sent, repeated := 0, 0
				for range int(requestsPerSec * step / time.Second) {
					i := rng.IntN(gateways)
					budgets[i].Request(now, "s")
					sent++
					for budgets[i].AllowRepeat(now, "s", counts[i].Gateways(now, gatewaycount.Planned)) {
						repeated++
					}
				}
				requests, repeats = append(requests, sent), append(repeats, repeated)
			}
			window := int(10 * time.Second / step)
			for end := window; end <= len(requests); end++ {
				sent, repeated := 0, 0
				for i := end - window; i < end; i++ {
					sent, repeated = sent+requests[i], repeated+repeats[i]
				}
				if allowed := ratio*float64(sent) + slack; float64(repeated) > allowed {
					t.Fatalf("%d repeated sends in the 10 s until %v, %.0f are allowed", repeated, time.Duration(end)*step, allowed)
				}
			}
		})
	}
}
