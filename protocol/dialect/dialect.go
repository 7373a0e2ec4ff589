// Package dialect describes how the callers and targets of a deployment name what they tell in HTTP headers. An adapter
// fills it; the rest of the product only knows the meanings.
package dialect

import "net/http"

// Headers are the names of headers, in canonical form.
type Headers struct {
	// RequestID identifies one attempt of a caller; targets echo it.
	RequestID string
	// TimeLeftMs is how long the caller, or the gateway, waits for the answer.
	TimeLeftMs string
	// Seal is the signature of a target over its answer.
	Seal string
	// ExpectTarget makes every other target reject the request.
	ExpectTarget string
	// TargetID names the target that answered, in some answers.
	TargetID string
	// NotRun marks answers of targets that did not run the request.
	NotRun string
	// TargetPriority orders the requests of a target, 0 first.
	TargetPriority string
	// LastEvent is the id of the last event that the caller received.
	LastEvent string
	// RetryAfter is when to come back, in seconds.
	RetryAfter string
	// Owned are the headers that only the system sets. They are dropped from the requests of callers.
	Owned []string
}

// Rejected tells whether an answer says that the target did not run the request.
func (h *Headers) Rejected(r *http.Response) bool {
	return r.StatusCode == RejectedElsewhere || r.Header.Get(h.NotRun) != ""
}

// RejectedElsewhere is the status of a target that is not the expected one or lacks what the request needs.
const RejectedElsewhere = http.StatusMisdirectedRequest

// Prompt is what a request to a model tells of itself.
type Prompt struct {
	Model   string
	Adapter string // empty for the bare model
	// Tokens are those of the prompt, MaxOutput the most that may be generated.
	Tokens, MaxOutput int
	// Parts are the parts of the prompt in order; requests share leading parts.
	Parts []PromptPart
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// ReadPrompt decodes the prompt of a request; ok is false when the request names no model.
type ReadPrompt func(h http.Header) (p Prompt, ok bool)
