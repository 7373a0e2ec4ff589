package httpapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/targetclient"
)

// maxIdempotencyKeyBytes bounds an idempotency key.
const maxIdempotencyKeyBytes = 256

// CallerBackend handles requests from callers.
type CallerBackend interface {
	Chat(ctx context.Context, call ChatCall, out EventWriter) *api.Result
	Models(caller string) api.ModelList
	CallService(ctx context.Context, call ServiceCall) (*ServiceAnswer, *api.Result)
}

// ChatCall is one model call.
type ChatCall struct {
	RequestID string
	Caller    string
	Priority  releasenote.Priority
	// Timeout is the time that the caller allows for the call, or 0 if it set none.
	Timeout time.Duration
	Request *api.ChatRequest
	Body    []byte
	// ResumeOffset is the number of tokens that the sender has already received.
	ResumeOffset uint64
	// SoftwareVersion is the version of the targets that began an answer that is resumed at an offset.
	SoftwareVersion string
	// SpilledFrom is the instance of another data centre that forwarded the request, or empty.
	SpilledFrom string
	// Identity holds the request headers that identify the caller.
	Identity http.Header
}

// EventWriter receives the events of an answer in order. An error usually means that the caller disconnected or reads
// too slowly.
type EventWriter interface {
	// Begin is called before the first event with the software version of the targets that write the answer.
	Begin(softwareVersion string)
	WriteEvent(offset int, chunk []byte) error
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	RequestID      string
	Caller         string
	Service        string
	Timeout        time.Duration
	IdempotencyKey string
	Call           targetclient.ServiceCall
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	targetclient.ServiceAnswer
	// Replayed is set when the answer was recorded by an earlier call with the same idempotency key.
	Replayed bool
}

func (s *Server) callerRoutes() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/v1").Consumes("*/*").Produces("*/*")
	ws.Route(ws.POST("/chat/completions").To(s.chat))
	ws.Route(ws.GET("/models").To(s.models))
	return ws
}

func (s *Server) serviceRoutes() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/services").Consumes("*/*").Produces("*/*")
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		ws.Route(ws.Method(method).Path("/{service}/{path:*}").To(s.service))
	}
	return ws
}

func (s *Server) chat(req *restful.Request, resp *restful.Response) {
	r, w := req.Request, resp.ResponseWriter
	id := requestID(r)
	call, result := s.chatCall(r, id)
	if result != nil {
		writeResult(w, result, id)
		return
	}
	w.Header().Set(api.HeaderRequestID, id)
	if attempt := r.Header.Get(targetapi.HeaderAttemptID); attempt != "" {
		w.Header().Set(targetapi.HeaderAttemptID, attempt)
	}
	if call.Request.Stream || call.SpilledFrom != "" {
		s.streamChat(w, r, call)
		return
	}
	s.nonStreamingChat(w, r, call)
}

func (s *Server) chatCall(r *http.Request, id string) (ChatCall, *api.Result) {
	caller, body, result := s.callerAndBody(r)
	if result != nil {
		return ChatCall{}, result
	}
	if result := reserveDecoded(r, body, messageBytes); result != nil {
		return ChatCall{}, result
	}
	parsed, err := api.ParseChatRequest(body)
	if err != nil {
		return ChatCall{}, api.Refuse(api.ReasonMalformedRequest, err.Error())
	}
	timeout, result := callTimeout(r)
	if result != nil {
		return ChatCall{}, result
	}
	priority := releasenote.Priority(r.Header.Get(api.HeaderPriority))
	if priority != "" && !priority.Valid() {
		return ChatCall{}, api.Refuse(api.ReasonMalformedRequest, "header "+api.HeaderPriority+" must be one of interactive, standard, batch")
	}
	offset, result := resumeOffset(r)
	if result != nil {
		return ChatCall{}, result
	}
	return ChatCall{
		RequestID: id, Caller: caller, Priority: priority, Timeout: timeout, Request: parsed, Body: body,
		ResumeOffset: offset, SoftwareVersion: r.Header.Get(targetapi.HeaderSoftwareVersion), SpilledFrom: r.Header.Get(api.HeaderForwardedFrom), Identity: identityHeaders(r),
	}, nil
}

// callerAndBody authenticates the caller before it checks the body.
func (s *Server) callerAndBody(r *http.Request) (caller string, body []byte, result *api.Result) {
	if caller, result = s.callers.identify(r); result != nil {
		return "", nil, result
	}
	body, result = readBody(r, MaxBodyBytes)
	return caller, body, result
}

func resumeOffset(r *http.Request) (uint64, *api.Result) {
	text := r.Header.Get(targetapi.HeaderResumeOffset)
	if text == "" {
		return 0, nil
	}
	offset, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, api.Refuse(api.ReasonMalformedRequest, "header "+targetapi.HeaderResumeOffset+" must be a number of tokens")
	}
	return offset, nil
}

// identityHeaders returns the request headers by which another instance identifies the caller.
func identityHeaders(r *http.Request) http.Header {
	h := make(http.Header)
	for _, name := range []string{"Authorization", api.HeaderCaller} {
		if value := r.Header.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	return h
}

func callTimeout(r *http.Request) (time.Duration, *api.Result) {
	text := r.Header.Get(api.HeaderDeadlineMs)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, api.Refuse(api.ReasonMalformedRequest, "header "+api.HeaderDeadlineMs+" must be a positive number of milliseconds")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (s *Server) streamChat(w http.ResponseWriter, r *http.Request, call ChatCall) {
	stream := newStreamWriter(w, s.times.EventTimeout.Duration)
	result := s.backend.Chat(r.Context(), call, stream)
	stream.finish(result, call.RequestID)
}

func (s *Server) nonStreamingChat(w http.ResponseWriter, r *http.Request, call ChatCall) {
	collected := &completionCollector{}
	result := s.backend.Chat(r.Context(), call, collected)
	if result.Outcome != api.Answered {
		writeResult(w, result, call.RequestID)
		return
	}
	result.SetHeaders(w.Header())
	writeJSON(w, http.StatusOK, collected.completion(&call))
}

func (s *Server) models(req *restful.Request, resp *restful.Response) {
	caller, result := s.callers.identify(req.Request)
	if result != nil {
		writeResult(resp.ResponseWriter, result, requestID(req.Request))
		return
	}
	writeJSON(resp.ResponseWriter, http.StatusOK, s.backend.Models(caller))
}

func (s *Server) service(req *restful.Request, resp *restful.Response) {
	r, w := req.Request, resp.ResponseWriter
	id := requestID(r)
	call, result := s.serviceCall(req, id)
	if result != nil {
		writeResult(w, result, id)
		return
	}
	answer, result := s.backend.CallService(r.Context(), call)
	if answer == nil {
		writeResult(w, result, id)
		return
	}
	result.SetHeaders(w.Header())
	w.Header().Set(api.HeaderRequestID, id)
	if answer.Replayed {
		w.Header().Set(api.HeaderReplayed, "true")
	}
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	writePieces(w, answer.Body)
}

// writePieceBytes is how much of an answer is written at once. A write that is blocked is counted for the client, beside the answer itself.
const writePieceBytes = 64 << 10

func writePieces(w io.Writer, body []byte) {
	for len(body) > 0 {
		n, err := w.Write(body[:min(writePieceBytes, len(body))])
		if err != nil {
			return
		}
		body = body[n:]
	}
}

func (s *Server) serviceCall(req *restful.Request, id string) (ServiceCall, *api.Result) {
	r := req.Request
	caller, body, result := s.callerAndBody(r)
	if result != nil {
		return ServiceCall{}, result
	}
	timeout, result := callTimeout(r)
	if result != nil {
		return ServiceCall{}, result
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return ServiceCall{}, api.Refuse(api.ReasonMalformedRequest, "header "+api.HeaderIdempotencyKey+" is longer than "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	service := req.PathParameter("service")
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return ServiceCall{
		RequestID: id, Caller: caller, Service: service, Timeout: timeout, IdempotencyKey: key,
		Call: targetclient.ServiceCall{Method: r.Method, PathAndQuery: path, Header: forwardedHeaders(r, id, caller), Body: body},
	}, nil
}

// forwardedHeaders returns the headers to forward to a plain service. The bearer token is not among them.
func forwardedHeaders(r *http.Request, id, caller string) http.Header {
	h := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", api.HeaderIdempotencyKey} {
		if value := r.Header.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	h.Set(api.HeaderRequestID, id)
	h.Set(api.HeaderCaller, caller)
	return h
}
