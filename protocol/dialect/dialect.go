// Package dialect holds the names of the HTTP headers that the callers and targets of a deployment use. Package
// platform provides the names; the rest of the system refers to the headers by their meaning only.
package dialect

import "net/http"

// Headers are header names in canonical form.
type Headers struct {
	// RequestID identifies one attempt of a caller; targets copy it to the response.
	RequestID string
	// TimeLeftMs is how long the sender (the caller or the gateway) waits for the response, in milliseconds.
	TimeLeftMs string
	// Seal holds the signature of the target over its response.
	Seal string
	// ExpectTarget names the target that the request is meant for; other targets reject the request.
	ExpectTarget string
	// TargetID names the target that sent the response; not every response has it.
	TargetID string
	// NotExecuted marks the responses of targets that did not run the request.
	NotExecuted string
	// TargetPriority is the priority with which the target schedules the request; 0 is the highest.
	TargetPriority string
	// LastEvent holds the id of the last event of the stream that the caller received.
	LastEvent string
	// Resumes names, in a request that takes up a broken stream, the RequestID of the caller's attempt that began it.
	Resumes string
	// RetryAfter holds the delay before a retry, in seconds.
	RetryAfter string
	// Limit is the number of requests a second that the target that sent the response takes from all gateways together.
	Limit string
	// Brittle is how many requests the target that sent the response bears to reject in a second for want of room; it falls over
	// if it has to reject more.
	Brittle string
	// Leaving is set in the responses of a target that leaves and takes no new requests.
	Leaving string
	// Key holds the key of the caller, and Account the name of the client account for targets. Both are removed from the requests of
	// callers if the configuration has accounts.
	Key, Account string
	// Reserved are the request headers that only the system may set. They are removed from the requests of callers.
	Reserved []string
}

// Rejected reports whether a response says that the target did not run the request.
func (h *Headers) Rejected(r *http.Response) bool {
	return r.StatusCode == StatusMisdirected || r.Header.Get(h.NotExecuted) != ""
}

// StatusMisdirected is the HTTP status with which a target responds when it is not the expected target or does not hold
// what the request needs.
const StatusMisdirected = http.StatusMisdirectedRequest

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Model   string
	Adapter string // empty for the base model
	// Tokens is the number of prompt tokens, MaxOutput the limit on output tokens.
	Tokens, MaxOutput int
	// Parts are the parts of the prompt in order. Requests with equal leading parts can use the same prefix cache entry.
	Parts []PromptPart
}

// PromptPart is one part of a prompt, with its token count.
type PromptPart struct {
	ID     string
	Tokens int
}

// PromptDecoder decodes the description of the prompt from the headers of a request; ok is false when the headers name
// no model.
type PromptDecoder func(h http.Header) (p Prompt, ok bool)

// TokenCounter reads how many tokens the prompt and the output of a request have at most; ok is false when the headers do not say
// that.
type TokenCounter func(h http.Header) (tokens int, ok bool)
