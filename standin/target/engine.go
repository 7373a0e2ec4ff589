package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

const (
	// DefaultMaxTokens is the number of tokens of an answer when the request sets no limit.
	DefaultMaxTokens = 16
	// maxTokens bounds the tokens of an answer, so that every request ends.
	maxTokens = 1 << 20
)

// words is the vocabulary of the generated tokens.
var words = []string{
	"alder", "basin", "cedar", "delta", "ember", "field", "grove", "harbor", "inlet", "juniper", "knoll", "lagoon",
	"meadow", "north", "orchard", "prairie", "quarry", "river", "summit", "terrace", "upland", "valley", "willow", "yarrow",
}

// Token returns the token at an offset of the answer to a request. It depends only on its arguments, so that every
// replica resumes an answer identically.
func Token(requestID string, offset int) string {
	h := xxhash.Sum64String(requestID + "#" + strconv.Itoa(offset))
	return words[h%uint64(len(words))] + " "
}

// attempt is a call in progress that can be cancelled.
type attempt struct{ cancel context.CancelFunc }

type chatCall struct {
	req       *api.ChatRequest
	requestID string
	attemptID string
	offset    int
	tokens    int
}

func (t *Target) handleChat(w http.ResponseWriter, r *http.Request) {
	// Instances check that a response belongs to their attempt.
	w.Header().Set(targetapi.HeaderAttemptID, r.Header.Get(targetapi.HeaderAttemptID))
	call, err := readChat(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, m := range call.req.Messages {
		if m.Content == CrashContent {
			t.crash()
		}
	}
	if began := r.Header.Get(targetapi.HeaderSoftwareVersion); call.offset > 0 && began != t.cfg.SoftwareVersion {
		http.Error(w, fmt.Sprintf("the answer began at software version %q", began), http.StatusServiceUnavailable)
		return
	}
	ctx, forget := t.register(r)
	defer forget()
	model, adapter := call.req.ModelAndAdapter()
	full, err := t.slots.acquire(ctx, releasenote.Priority(r.Header.Get(targetapi.HeaderPriority)))
	switch {
	case full:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "all slots are in use and the queue is full", http.StatusTooManyRequests)
		return
	case err != nil:
		http.Error(w, "request cancelled while queued", http.StatusServiceUnavailable)
		return
	}
	defer t.slots.release()
	// Checked after queuing, since the model may have been unloaded while the request was queued.
	release, ok := t.memory.acquire(model, adapter)
	if !ok {
		http.Error(w, fmt.Sprintf("model %q is not ready on this target", call.req.Model), http.StatusNotFound)
		return
	}
	defer release()
	t.cache.storePrefixes(call.req)
	t.streamTokens(ctx, w, call)
}

func readChat(w http.ResponseWriter, r *http.Request) (*chatCall, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the request body")
	}
	call := &chatCall{tokens: DefaultMaxTokens}
	call.requestID, call.attemptID = r.Header.Get(api.HeaderRequestID), r.Header.Get(targetapi.HeaderAttemptID)
	if call.req, err = api.ParseChatRequest(body); err != nil {
		return nil, err
	}
	if call.requestID == "" {
		call.requestID = uuid.NewString()
	}
	if n := call.req.TokenLimit(); n > 0 {
		call.tokens = min(n, maxTokens)
	}
	if h := r.Header.Get(targetapi.HeaderResumeOffset); h != "" {
		call.offset, err = strconv.Atoi(h)
		if err != nil || call.offset < 0 || call.offset > call.tokens {
			return nil, errors.Errorf("%s %q is not an offset from 0 to %d", targetapi.HeaderResumeOffset, h, call.tokens)
		}
	}
	return call, nil
}

// streamTokens sends one server-sent event per token. A cancelled stream ends without the end marker.
func (t *Target) streamTokens(ctx context.Context, w http.ResponseWriter, call *chatCall) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(api.HeaderRequestID, call.requestID)
	if t.cfg.SoftwareVersion != "" {
		w.Header().Set(targetapi.HeaderSoftwareVersion, t.cfg.SoftwareVersion)
	}
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	// The headers are sent before the first token, so that the client can distinguish a slow answer from a rejection.
	if err := control.Flush(); err != nil {
		return
	}
	pace := time.NewTicker(max(t.cfg.TokenInterval, time.Nanosecond))
	defer pace.Stop()
	created := time.Now().Unix()
	for offset := call.offset; offset < call.tokens; offset++ {
		select {
		case <-ctx.Done():
			return
		case <-pace.C:
		}
		data, err := json.Marshal(call.chunk(offset, created))
		if err != nil {
			t.cfg.Log.WithError(err).Error("stand-in target: cannot encode a stream chunk")
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (c *chatCall) chunk(offset int, created int64) api.ChatChunk {
	choice := api.ChunkChoice{Delta: api.ChunkDelta{Content: Token(c.requestID, offset)}}
	if offset == 0 {
		choice.Delta.Role = "assistant"
	}
	if offset == c.tokens-1 {
		reason := "stop"
		if c.req.TokenLimit() > 0 {
			reason = "length"
		}
		choice.FinishReason = &reason
	}
	return api.ChatChunk{
		ID: "chatcmpl-" + c.requestID, Object: "chat.completion.chunk", Created: created, Model: c.req.Model,
		Choices: []api.ChunkChoice{choice},
	}
}

// register makes a call cancellable by its attempt id until the returned function is called.
func (t *Target) register(r *http.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	id := r.Header.Get(targetapi.HeaderAttemptID)
	if id == "" {
		return ctx, cancel
	}
	a := &attempt{cancel: cancel}
	t.attemptsMu.Lock()
	defer t.attemptsMu.Unlock()
	if t.attempts[id] == nil {
		t.attempts[id] = make(map[*attempt]struct{})
	}
	t.attempts[id][a] = struct{}{}
	return ctx, func() {
		cancel()
		t.attemptsMu.Lock()
		defer t.attemptsMu.Unlock()
		delete(t.attempts[id], a)
		if len(t.attempts[id]) == 0 {
			delete(t.attempts, id)
		}
	}
}

// handleCancel cancels an attempt. An unknown attempt is not an error, since it may have ended before the cancellation
// arrived.
func (t *Target) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c targetapi.Cancel
	if !decodeBody(w, r, &c) {
		return
	}
	if c.Version != targetapi.Version || c.AttemptID == "" {
		http.Error(w, "a cancellation requires an attempt_id and protocol version 1", http.StatusBadRequest)
		return
	}
	t.attemptsMu.Lock()
	defer t.attemptsMu.Unlock()
	for a := range t.attempts[c.AttemptID] {
		a.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
