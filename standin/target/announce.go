package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// announceTimeout bounds one announcement. It is half of the default interval, so that an instance that does not respond
// does not delay the announcement to the next one.
const announceTimeout = 500 * time.Millisecond

// Announcement returns the current announcement. Every call increments the sequence number.
func (t *Target) Announcement(now time.Time) targetapi.Announcement {
	residents, orders, lastFence := t.memory.report()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return targetapi.Announcement{
		Version: targetapi.Version, Target: t.cfg.Name, Incarnation: t.cfg.Incarnation, Sequence: t.sequence,
		DataCentre: t.cfg.DataCentre, FailureDomain: t.cfg.FailureDomain, Address: t.address, Kind: t.cfg.Kind,
		Service: t.cfg.Service, CapacityBytes: t.cfg.CapacityBytes, ReserveBytes: t.cfg.ReserveBytes, Slots: t.cfg.Slots,
		ChecksFencing: t.cfg.ChecksFencing, LastFence: lastFence, Leaving: t.leaving, Residents: residents,
		Orders: orders, Load: t.slots.loadAt(now.Add(-t.cfg.ReportLag)),
	}
}

// announceLoop announces periodically until ctx ends. When leaving ends it announces at once that the target leaves, and closes announced
// after that.
func (t *Target) announceLoop(ctx, leaving context.Context, announced chan<- struct{}) {
	ticker := time.NewTicker(t.cfg.AnnounceInterval)
	defer ticker.Stop()
	leavingDone := leaving.Done()
	for round := 0; ; round++ {
		t.announce(ctx, round)
		if leavingDone == nil && announced != nil {
			close(announced)
			announced = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-leavingDone:
			t.setLeaving()
			leavingDone = nil
		case <-ticker.C:
		}
	}
}

func (t *Target) setLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

func (t *Target) announce(ctx context.Context, round int) {
	if len(t.cfg.Balancers) == 0 {
		return
	}
	base := strings.TrimSuffix(t.cfg.Balancers[round%len(t.cfg.Balancers)], "/")
	if err := t.post(ctx, base+targetapi.PathAnnounce, t.Announcement(time.Now())); err != nil {
		t.cfg.Log.WithError(err).Warn("stand-in target: announcement failed")
		return
	}
	if events := t.cache.takeEvents(); len(events) > 0 {
		batch := targetapi.CacheEvents{
			Version: targetapi.Version, Target: t.cfg.Name, Incarnation: t.cfg.Incarnation, Events: events,
		}
		// A lost batch is not retried: receivers must tolerate gaps in the sequence.
		if err := t.post(ctx, base+targetapi.PathCacheEvents, batch); err != nil {
			t.cfg.Log.WithError(err).Warn("stand-in target: cannot send cache events; this batch is lost")
		}
	}
}

func (t *Target) post(ctx context.Context, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s answered %d: %s", url, resp.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}
