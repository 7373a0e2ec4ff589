package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
)

// OperatorBackend handles requests from the operators' command line.
type OperatorBackend interface {
	Submit(ctx context.Context, operator, file string, note []byte) (catalog.Verdict, *api.Result)
	Check(ctx context.Context, file string, note []byte) (tomlfile.Findings, *api.Result)
	Verdict(number uint64) (catalog.Verdict, bool)
	History() []catalog.Verdict
	Status(ctx context.Context) Status
	Timeline(ctx context.Context, all bool) Timeline
}

// Timeline is the merged event list of one or more instances.
type Timeline struct {
	Events []events.Record `json:"events"`
	// Unreachable lists the instances whose events are missing because they did not answer.
	Unreachable []string `json:"unreachable,omitempty"`
}

// CheckAnswer is the answer to a check of a release note.
type CheckAnswer struct {
	Findings tomlfile.Findings `json:"findings"`
}

// maxTargetMessageBytes bounds the body of a message from a target; announcements are the largest ones.
const maxTargetMessageBytes = targetapi.MaxAnnouncementBytes

// HeaderNoteFile carries the file name that findings refer to.
const HeaderNoteFile = "Hoist-Note-File"

func (s *Server) operatorRoutes() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/hoist/v1").Consumes("*/*").Produces("*/*")
	ws.Route(ws.POST("/notes").To(s.submit))
	ws.Route(ws.POST("/notes/check").To(s.check))
	ws.Route(ws.GET("/notes").To(s.history))
	ws.Route(ws.GET("/notes/{number}").To(s.verdict))
	ws.Route(ws.GET("/status").To(s.status))
	ws.Route(ws.GET("/timeline").To(s.timeline))
	return ws
}

// authenticateOperator returns the name of the operator. If authentication fails, it writes the refusal and returns
// false.
func (s *Server) authenticateOperator(req *restful.Request, resp *restful.Response) (string, bool) {
	name, result := s.operators.identify(req.Request)
	if result != nil {
		writeResult(resp.ResponseWriter, result, requestID(req.Request))
		return "", false
	}
	return name, true
}

// readNote returns the name of the operator and the release note of a request. If it can't, it writes the refusal and
// returns false.
func (s *Server) readNote(req *restful.Request, resp *restful.Response) (operator string, note []byte, ok bool) {
	operator, ok = s.authenticateOperator(req, resp)
	if !ok {
		return "", nil, false
	}
	note, result := readBody(req.Request, releasenote.MaxNoteBytes)
	if result != nil {
		writeResult(resp.ResponseWriter, result, requestID(req.Request))
		return "", nil, false
	}
	return operator, note, true
}

func (s *Server) submit(req *restful.Request, resp *restful.Response) {
	operator, note, ok := s.readNote(req, resp)
	if !ok {
		return
	}
	verdict, result := s.backend.Submit(req.Request.Context(), operator, req.Request.Header.Get(HeaderNoteFile), note)
	if result != nil {
		writeResult(resp.ResponseWriter, result, requestID(req.Request))
		return
	}
	writeJSON(resp.ResponseWriter, http.StatusOK, verdict)
}

func (s *Server) check(req *restful.Request, resp *restful.Response) {
	_, note, ok := s.readNote(req, resp)
	if !ok {
		return
	}
	findings, result := s.backend.Check(req.Request.Context(), req.Request.Header.Get(HeaderNoteFile), note)
	if result != nil {
		writeResult(resp.ResponseWriter, result, requestID(req.Request))
		return
	}
	writeJSON(resp.ResponseWriter, http.StatusOK, CheckAnswer{Findings: findings})
}

func (s *Server) verdict(req *restful.Request, resp *restful.Response) {
	if _, ok := s.authenticateOperator(req, resp); !ok {
		return
	}
	number, err := strconv.ParseUint(req.PathParameter("number"), 10, 64)
	if err != nil {
		writeResult(resp.ResponseWriter, api.Refuse(api.ReasonMalformedRequest, "the number of a release note must be a non-negative integer"), requestID(req.Request))
		return
	}
	verdict, ok := s.backend.Verdict(number)
	if !ok {
		writeJSON(resp.ResponseWriter, http.StatusNotFound, api.ErrorBody{Error: api.ErrorDetail{
			Message: "this instance has no verdict for release note " + strconv.FormatUint(number, 10), Code: "no_verdict"}})
		return
	}
	writeJSON(resp.ResponseWriter, http.StatusOK, verdict)
}

func (s *Server) history(req *restful.Request, resp *restful.Response) {
	if _, ok := s.authenticateOperator(req, resp); ok {
		writeJSON(resp.ResponseWriter, http.StatusOK, s.backend.History())
	}
}

func (s *Server) status(req *restful.Request, resp *restful.Response) {
	if _, ok := s.authenticateOperator(req, resp); ok {
		writeJSON(resp.ResponseWriter, http.StatusOK, s.backend.Status(req.Request.Context()))
	}
}

func (s *Server) timeline(req *restful.Request, resp *restful.Response) {
	if _, ok := s.authenticateOperator(req, resp); ok {
		all := req.QueryParameter("scope") != "instance"
		writeJSON(resp.ResponseWriter, http.StatusOK, s.backend.Timeline(req.Request.Context(), all))
	}
}

func (s *Server) targetRoutes() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/hoist/v1/targets").Consumes("*/*").Produces("*/*")
	ws.Route(ws.POST("/announce").To(func(req *restful.Request, resp *restful.Response) {
		handleTargetMessage(req, resp, s.backend.Announce)
	}))
	ws.Route(ws.POST("/cache-events").To(func(req *restful.Request, resp *restful.Response) {
		handleTargetMessage(req, resp, s.backend.CacheEvents)
	}))
	return ws
}

// handleTargetMessage decodes a message from a target and passes it to handle.
func handleTargetMessage[M any](req *restful.Request, resp *restful.Response, handle func(M) error) {
	id := requestID(req.Request)
	body, result := readBody(req.Request, maxTargetMessageBytes)
	if result != nil {
		writeResult(resp.ResponseWriter, result, id)
		return
	}
	if result := reserveDecoded(req.Request, body, targetRecordBytes); result != nil {
		writeResult(resp.ResponseWriter, result, id)
		return
	}
	var message M
	err := json.Unmarshal(body, &message)
	if err == nil {
		err = handle(message)
	}
	if err != nil {
		writeResult(resp.ResponseWriter, api.Refuse(api.ReasonMalformedRequest, err.Error()), id)
		return
	}
	resp.WriteHeader(http.StatusNoContent)
}

func (s *Server) platformRoutes() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/").Produces("*/*")
	ws.Route(ws.GET("/healthz").To(func(_ *restful.Request, resp *restful.Response) {
		writeJSON(resp.ResponseWriter, http.StatusOK, map[string]string{"status": "alive"})
	}))
	ws.Route(ws.GET("/readyz").To(func(_ *restful.Request, resp *restful.Response) {
		if !s.backend.Ready() {
			writeJSON(resp.ResponseWriter, http.StatusServiceUnavailable, map[string]string{"status": "not ready"})
			return
		}
		writeJSON(resp.ResponseWriter, http.StatusOK, map[string]string{"status": "ready"})
	}))
	ws.Route(ws.GET("/metrics").To(func(_ *restful.Request, resp *restful.Response) {
		writeJSON(resp.ResponseWriter, http.StatusOK, s.backend.Metrics())
	}))
	return ws
}
