// Package shareusage exchanges the usage of admission shares among the instances of a data centre.
package shareusage

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

const (
	reportInterval = 500 * time.Millisecond
	// budgetBytesPerSecond is the part of an instance's bandwidth limit that usage reports may take. In a data centre with
	// many instances reports are sent less often, so that they stay within it.
	budgetBytesPerSecond = 6_000
)

// Peers notifies other instances.
type Peers interface {
	Notify(peer, method string, params any) error
}

// Exchange sends and receives usage reports.
type Exchange struct {
	controller *admission.Controller
	peers      Peers
	localPeers []string
	now        func() time.Time
}

// New returns an exchange with the other instances of the data centre.
func New(controller *admission.Controller, peers Peers, local []string, now func() time.Time) *Exchange {
	return &Exchange{controller: controller, peers: peers, localPeers: local, now: now}
}

// Run sends reports until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(e.sendReport())
		}
	}
}

// sendReport sends one report to all other instances of the data centre and returns the time until the next one.
func (e *Exchange) sendReport() time.Duration {
	report := e.controller.Usage(e.now())
	if len(e.localPeers) == 0 || len(report.Callers)+len(report.Models) == 0 {
		return reportInterval
	}
	data, err := json.Marshal(report)
	if err != nil {
		return reportInterval
	}
	for _, peer := range e.localPeers {
		// If a report is lost, the next one restores only the counts of requests in flight.
		_ = e.peers.Notify(peer, peerapi.MethodUsage, json.RawMessage(data))
	}
	return reportPause(len(data), len(e.localPeers))
}

// reportPause returns the time between two reports that keeps them within budgetBytesPerSecond.
func reportPause(reportBytes, peers int) time.Duration {
	needed := time.Duration(reportBytes*peers) * time.Second / budgetBytesPerSecond
	return max(reportInterval, needed)
}

// Handle merges the report of another instance.
func (e *Exchange) Handle(u admission.Usage) { e.controller.MergeUsage(e.now(), u) }
