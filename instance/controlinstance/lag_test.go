package controlinstance

import (
	"io"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/events"
)

// Guards against a control instance short of processor time whose logs do not say so, or say so with each sample.
func TestLagIsReported(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	recorder := events.NewRecorder(log, "c1", "a", time.Now)
	reports := 0
	recorder.OnEvent(func(events.Definition) { reports++ })
	m := newLagMeter(recorder, metrics.NewRegistry())
	now := time.Unix(100, 0)
	for range 30 {
		m.sample(now, reportedLag)
		now = now.Add(100 * time.Millisecond)
	}
	if reports != 3 {
		t.Errorf("%d reports in 3 s of lag, want 3", reports)
	}
	if got := m.gauge.Value(); got != reportedLag.Milliseconds() {
		t.Errorf("lag %d ms, want %v", got, reportedLag)
	}
}
