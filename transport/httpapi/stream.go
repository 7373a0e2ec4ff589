package httpapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// streamWriter sends an answer as server-sent events. Nothing is sent before the first event, so that a refusal can
// still have its own HTTP status.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration // for an event to be taken
	started bool
}

func newStreamWriter(w http.ResponseWriter, timeout time.Duration) *streamWriter {
	return &streamWriter{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// Begin names the software version in the header of the answer.
func (s *streamWriter) Begin(softwareVersion string) {
	if !s.started && softwareVersion != "" {
		s.w.Header().Set(targetapi.HeaderSoftwareVersion, softwareVersion)
	}
}

// WriteEvent sends one chunk. It fails when the caller doesn't read it in time.
func (s *streamWriter) WriteEvent(offset int, chunk []byte) error {
	s.start()
	return s.send(fmt.Sprintf("id: %d\ndata: %s\n\n", offset, chunk))
}

func (s *streamWriter) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(api.HeaderOutcome, string(api.Answered))
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) send(text string) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write event to the caller")
	}
	return errors.Wrap(s.control.Flush(), "flush event to the caller")
}

// finish ends the stream with the end marker or an error event. A failure before the first event is sent as a plain
// error response.
func (s *streamWriter) finish(result *api.Result, id string) {
	if result.Outcome == api.Answered {
		s.start()
		_ = s.send("data: [DONE]\n\n")
		return
	}
	if !s.started {
		writeResult(s.w, result, id)
		return
	}
	body, err := json.Marshal(result.Body(id))
	if err != nil {
		return
	}
	_ = s.send("event: error\ndata: " + string(body) + "\n\n")
}

// completionCollector assembles the chunks of an answer into one completion, for requests that don't stream.
type completionCollector struct {
	text         strings.Builder
	tokens       int
	finishReason string
}

// Begin does nothing: an answer that does not stream is not resumed.
func (c *completionCollector) Begin(string) {}

// WriteEvent appends the content of one chunk.
func (c *completionCollector) WriteEvent(_ int, data []byte) error {
	var chunk api.ChatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errors.Wrap(err, "decode chunk of the answer")
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			c.tokens++
			c.text.WriteString(choice.Delta.Content)
		}
		if choice.FinishReason != nil {
			c.finishReason = *choice.FinishReason
		}
	}
	return nil
}

func (c *completionCollector) completion(call *ChatCall) api.ChatCompletion {
	finishReason := c.finishReason
	if finishReason == "" {
		finishReason = "stop"
	}
	prompt := call.Request.PromptTokens()
	return api.ChatCompletion{
		ID: call.RequestID, Object: "chat.completion", Created: time.Now().Unix(), Model: call.Request.Model,
		Choices: []api.CompletionChoice{{Message: api.ChatMessage{Role: "assistant", Content: c.text.String()}, FinishReason: finishReason}},
		Usage:   api.Usage{PromptTokens: prompt, CompletionTokens: c.tokens, TotalTokens: prompt + c.tokens},
	}
}
