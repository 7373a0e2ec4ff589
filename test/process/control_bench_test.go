package process

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/standin/cluster"
)

// resourceUsage is what an instance has used since its start; rssBytes is the current value.
type resourceUsage struct {
	cpu       time.Duration
	sentBytes float64
	rssBytes  float64
}

// clockTick is the unit of processor times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

func readUsage(b *testing.B, c *cluster.Cluster, name string) resourceUsage {
	b.Helper()
	pid := strconv.Itoa(c.Process(name).PID())
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	resp, err := http.Get(c.URL(name) + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var metrics map[string]struct {
		Count float64 `json:"count"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&metrics); err != nil {
		b.Fatal(err)
	}
	return resourceUsage{
		cpu: time.Duration(user+system) * clockTick, rssBytes: float64(pages * os.Getpagesize()),
		sentBytes: metrics["peer.sent_bytes"].Count,
	}
}

// BenchmarkControl measures the processor time, the memory and the bytes sent to peers of an instance that serves no
// requests. Run it with -benchtime 1x. The instance with the highest usage is usually the leader of both logs.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ instances, targets int }{{3, 4}, {6, 4}, {6, 24}, {12, 24}, {24, 24}} {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size.instances, size.targets), func(b *testing.B) {
			for range b.N {
				measureControl(b, size.instances, size.targets)
			}
		})
	}
}

const controlPeriod = 20 * time.Second

func measureControl(b *testing.B, instances, targets int) {
	ctx, c := startCluster(b, clusterSpec(instances/3, 1, "a", "b", "c"))
	for i := range targets {
		dc := []string{"a", "b", "c"}[i%3]
		startEngine(b, c, fmt.Sprintf("%s-e%d", dc, i), dc)
	}
	submitAccepted(ctx, b, c, "a1", twoReplicasNote)
	time.Sleep(10 * time.Second) // lets model loads, elections and the first gossip rounds finish
	names := make([]string, 0, instances)
	before := make(map[string]resourceUsage)
	for _, dc := range []string{"a", "b", "c"} {
		for i := 1; i <= instances/3; i++ {
			name := fmt.Sprintf("%s%d", dc, i)
			names = append(names, name)
			before[name] = readUsage(b, c, name)
		}
	}
	time.Sleep(controlPeriod)
	var sum, largest resourceUsage
	for _, name := range names {
		u := readUsage(b, c, name)
		u.cpu -= before[name].cpu
		u.sentBytes -= before[name].sentBytes
		sum.cpu, sum.sentBytes, sum.rssBytes = sum.cpu+u.cpu, sum.sentBytes+u.sentBytes, sum.rssBytes+u.rssBytes
		largest.cpu, largest.sentBytes = max(largest.cpu, u.cpu), max(largest.sentBytes, u.sentBytes)
		largest.rssBytes = max(largest.rssBytes, u.rssBytes)
	}
	seconds, n := controlPeriod.Seconds(), float64(instances)
	b.ReportMetric(100*sum.cpu.Seconds()/seconds/n, "mean-%core")
	b.ReportMetric(100*largest.cpu.Seconds()/seconds, "max-%core")
	b.ReportMetric(sum.sentBytes/seconds/n, "mean-bytes/s")
	b.ReportMetric(largest.sentBytes/seconds, "max-bytes/s")
	b.ReportMetric(sum.rssBytes/n/(1<<20), "mean-MiB")
	b.ReportMetric(largest.rssBytes/(1<<20), "max-MiB")
}
