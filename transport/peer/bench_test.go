package peer

import (
	"testing"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// BenchmarkCall measures the time, allocations and wire bytes of a small urgent call, such as a lease vote.
func BenchmarkCall(b *testing.B) {
	n := newNetwork()
	from := n.start(b, "a", func(o *Options) { o.BytesPerSecond = 1 << 30 })
	to := n.start(b, "b", func(o *Options) { o.BytesPerSecond = 1 << 30 })
	to.Handle(peerapi.MethodControlVote, from.handler("echo"))
	params := peerapi.Hello{Sender: "a"}
	b.ReportAllocs()
	for b.Loop() {
		if err := from.Call(b.Context(), "b", peerapi.MethodControlVote, params, nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(from.metrics.sentBytes.Count()+to.metrics.sentBytes.Count())/float64(b.N), "wire-B/op")
}
