package fleetapi

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/tarragonhoist/tarragonhoist/coordination/speed"
)

// The leader decodes at most two such reports per second from each gateway.
func BenchmarkDecodeSpeedReport(b *testing.B) {
	report := SpeedReport{Change: 1 << 62}
	for i := range speed.MaxSamples {
		report.Samples = append(report.Samples, speed.Sample{Target: fmt.Sprint("core-ridge-b-", i), StartedAtMs: 1_700_000_000_000,
			Model: fmt.Sprint("model-", i), GapMs: 45.12, Count: 31})
	}
	data, err := json.Marshal(report)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportMetric(float64(len(data)), "bytes")
	for range b.N {
		var decoded SpeedReport
		if err := json.Unmarshal(data, &decoded); err != nil {
			b.Fatal(err)
		}
	}
}
