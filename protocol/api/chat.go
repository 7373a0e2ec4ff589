package api

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of an OpenAI-compatible chat completion request that the system reads. The body is
// forwarded to the target unchanged.
type ChatRequest struct {
	Model               string        `json:"model"`
	Messages            []ChatMessage `json:"messages"`
	Stream              bool          `json:"stream,omitempty"`
	MaxTokens           int           `json:"max_tokens,omitempty"`
	MaxCompletionTokens int           `json:"max_completion_tokens,omitempty"`
}

// AdapterSeparator separates model and adapter in the model field of a request.
const AdapterSeparator = ":"

// ParseChatRequest decodes and validates a request body.
func ParseChatRequest(body []byte) (*ChatRequest, error) {
	var req ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errors.Wrap(err, "request body is not a chat completion request")
	}
	if req.Model == "" {
		return nil, errors.New("field \"model\" is missing")
	}
	if len(req.Messages) == 0 {
		return nil, errors.New("field \"messages\" is missing or empty")
	}
	if req.MaxTokens < 0 || req.MaxCompletionTokens < 0 {
		return nil, errors.New("fields \"max_tokens\" and \"max_completion_tokens\" must not be negative")
	}
	return &req, nil
}

// ModelAndAdapter splits the model field, for example "net-assistant:crew-7".
func (r *ChatRequest) ModelAndAdapter() (model, adapter string) {
	model, adapter, _ = strings.Cut(r.Model, AdapterSeparator)
	return model, adapter
}

// TokenLimit is the caller's limit on output tokens, or 0 when there is none.
func (r *ChatRequest) TokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// BytesPerToken is the average number of bytes per token in English text.
const BytesPerToken = 4

// PromptTokens estimates the number of prompt tokens from the length in bytes, since the system has no tokenizer.
func (r *ChatRequest) PromptTokens() int {
	contentBytes := 0
	for _, m := range r.Messages {
		contentBytes += len(m.Content)
	}
	return contentBytes/BytesPerToken + 1
}

// ChatChunk is one chunk of a streamed response.
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
}

// ChunkChoice is the delta of one choice.
type ChunkChoice struct {
	Index        int        `json:"index"`
	Delta        ChunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

// ChunkDelta is the content that a chunk adds to a choice.
type ChunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatCompletion is a response that is not streamed.
type ChatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is one choice of a ChatCompletion.
type CompletionChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// Usage holds the token counts of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail duplicates the outcome headers for clients that only read the body.
type ErrorDetail struct {
	Message       string      `json:"message"`
	Type          string      `json:"type"`
	Code          Reason      `json:"code"`
	Outcome       Outcome     `json:"outcome"`
	Repeat        RetryAdvice `json:"repeat"`
	RepeatAfterMs int64       `json:"repeat_after_ms,omitempty"`
	RequestID     string      `json:"request_id,omitempty"`
}

// Body returns the error body for the result.
func (r *Result) Body(requestID string) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message: r.Message, Type: "tarragonhoist_error", Code: r.Reason, Outcome: r.Outcome, Repeat: r.Retry,
		RepeatAfterMs: r.RetryAfter.Milliseconds(), RequestID: requestID,
	}}
}

// ModelList is the response of GET /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelInfo `json:"data"`
}

// ModelInfo is one model or adapter of the configuration in force.
type ModelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
