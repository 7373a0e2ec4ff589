package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/standin/loadgen"
)

const (
	requestPeriod  = 10 * time.Second
	answerTokens   = 100
	requestEngines = 4
)

// BenchmarkRequests measures the processor time and memory of three instances that serve streams of 100 tokens. Run it
// with -benchtime 1x. The difference between two rates gives the cost of one request.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []float64{20, 50, 100} {
		b.Run(fmt.Sprintf("requests-per-second=%g", rate), func(b *testing.B) {
			for range b.N {
				measureRequests(b, rate)
			}
		})
	}
}

func measureRequests(b *testing.B, rate float64) {
	names := []string{"a1", "a2", "a3"}
	ctx, c := startCluster(b, clusterSpec(3, 3, "a"))
	for i := range requestEngines {
		startEngine(b, c, fmt.Sprintf("e%d", i), "a", "--slots=64", "--token-interval=5ms")
	}
	submitAccepted(ctx, b, c, "a1", twoReplicasNote)
	for _, name := range names {
		waitReady(ctx, b, c, name, "m", 2)
	}
	before := make(map[string]resourceUsage)
	for _, name := range names {
		before[name] = readUsage(b, c, name)
	}
	report, err := loadgen.Run(ctx, loadgen.Config{
		URLs: c.DataCentreURLs("a"), Callers: []string{"crew"}, Models: []string{"m"}, StreamShare: 1, Rate: rate,
		Duration: requestPeriod, MaxTokens: answerTokens, PromptBytes: 400, CheckTokens: true, Seed: 1,
	})
	if err != nil {
		b.Fatal(err)
	}
	answered := float64(report.Count(api.Answered))
	if answered < 0.99*rate*requestPeriod.Seconds() {
		b.Fatalf("only %g requests were answered, fewer than 99%%: %+v", answered, report.Counts())
	}
	var cpu time.Duration
	var sent, rss float64
	for _, name := range names {
		u := readUsage(b, c, name)
		cpu += u.cpu - before[name].cpu
		sent += u.sentBytes - before[name].sentBytes
		rss = max(rss, u.rssBytes)
	}
	b.ReportMetric(float64(cpu.Microseconds())/answered, "cpu-us/request")
	b.ReportMetric(float64(cpu.Microseconds())/answered/answerTokens, "cpu-us/token")
	b.ReportMetric(sent/requestPeriod.Seconds()/float64(len(names)), "peer-bytes/s")
	b.ReportMetric(rss/(1<<20), "max-MiB")
}
