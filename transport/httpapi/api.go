// Package httpapi is the HTTP server of an instance. It serves callers, targets, operators and the probes of the
// deployment platform.
package httpapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
)

// MaxBodyBytes bounds the body of a caller's request.
const MaxBodyBytes = 4 << 20

// Size limits, mainly against clients that hold memory.
const (
	maxHeaderBytes    = 32 << 10
	maxRequestIDBytes = 128
)

// Backend is the part of the instance that the HTTP server calls.
type Backend interface {
	CallerBackend
	TargetBackend
	OperatorBackend
	PlatformBackend
}

// TargetBackend handles messages from targets.
type TargetBackend interface {
	Announce(a targetapi.Announcement) error
	CacheEvents(e targetapi.CacheEvents) error
}

// PlatformBackend answers the probes of the deployment platform.
type PlatformBackend interface {
	// Ready reports whether the load balancer should send new requests to this instance.
	Ready() bool
	// Metrics returns the current metrics in a form that encoding/json can encode.
	Metrics() any
}

// Server routes HTTP requests to the backend.
type Server struct {
	backend   Backend
	instance  string
	callers   identities
	operators identities
	clients   *intake.Pool
	times     settings.InterfaceTimes
}

// New returns the HTTP server of the instance that the settings describe. clients counts what its clients hold; the server runs it.
func New(s *settings.Settings, backend Backend, clients *intake.Pool) *Server {
	return &Server{
		backend: backend, instance: s.Instance,
		callers: newIdentities(s.Callers), operators: newIdentities(s.Operators),
		clients: clients, times: s.Clients.WithDefaults(),
	}
}

// Handler returns the handler for all routes.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	container.EnableContentEncoding(false)
	for _, ws := range []*restful.WebService{s.callerRoutes(), s.serviceRoutes(), s.targetRoutes(), s.operatorRoutes(), s.platformRoutes()} {
		container.Add(ws)
	}
	return s.limitBody(container)
}

// Serve accepts connections on the listener until ctx is cancelled or the server fails. After a cancellation it returns
// when all handlers have finished.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: s.times.HeadTimeout.Duration, IdleTimeout: s.times.IdleTimeout.Duration, MaxHeaderBytes: maxHeaderBytes,
	}
	serveErr := make(chan error, 1)
	pooled, stop := context.WithCancel(context.Background())
	defer stop()
	go s.clients.Run(pooled)
	go func() { serveErr <- s.clients.Serve(server, listener) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
		return errors.Wrap(server.Shutdown(context.Background()), "shut down the HTTP server")
	}
}

// limitBody reads each request body into memory before the handler runs, within MaxBodyBytes and its time.
func (s *Server) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderInstance, s.instance)
		control := http.NewResponseController(w)
		// The error is ignored, since not every writer supports deadlines; httptest.ResponseRecorder doesn't.
		_ = control.SetReadDeadline(time.Now().Add(s.times.BodyTimeout.Duration))
		body, err := intake.ReadBody(r, MaxBodyBytes)
		if errors.Is(err, intake.ErrFull) {
			intake.Refuse(w)
			return
		}
		if err == nil {
			// net/http keeps reading to detect a closed connection, so that an expired deadline would cancel a long
			// stream. After an error the deadline stays, since net/http would wait for the rest of the body without it.
			_ = control.SetReadDeadline(time.Time{})
		} else {
			w.Header().Set("Connection", "close")
		}
		r.Body = &bufferedBody{Reader: bytes.NewReader(body), data: body, err: err}
		next.ServeHTTP(w, r)
	})
}

// bufferedBody is a request body in memory, with the error that ended its reading, if any.
type bufferedBody struct {
	*bytes.Reader
	data []byte
	err  error
}

// Close implements io.Closer. It does nothing, since the body is in memory.
func (b *bufferedBody) Close() error { return nil }

// readBody returns the body that limitBody has buffered, or a refusal when it is incomplete or larger than the limit.
func readBody(r *http.Request, limit int64) ([]byte, *api.Result) {
	buffered, ok := r.Body.(*bufferedBody)
	if !ok {
		return nil, api.Refuse(api.ReasonMalformedRequest, "the request has no body")
	}
	if errors.Is(buffered.err, intake.ErrTooLarge) || buffered.Size() > limit {
		return nil, api.Refuse(api.ReasonBodyTooLarge, "the request body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if buffered.err != nil {
		return nil, api.Refuse(api.ReasonMalformedRequest, "the request body is incomplete: "+buffered.err.Error())
	}
	return buffered.data, nil
}

// identities maps the SHA-256 hashes of bearer tokens, in hex, to names. Without entries senders are not authenticated.
type identities map[string]string

func newIdentities(list []settings.Identity) identities {
	m := make(identities, len(list))
	for _, id := range list {
		m[strings.ToLower(id.TokenSHA256)] = id.Name
	}
	return m
}

// identify returns the name of the sender of a request. Looking up the hash of the token needs no constant-time
// comparison, since a client can't choose tokens whose hashes come closer to a stored one.
func (ids identities) identify(r *http.Request) (string, *api.Result) {
	if len(ids) == 0 {
		if name := r.Header.Get(api.HeaderCaller); name != "" {
			return name, nil
		}
		return "anonymous", nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", api.Refuse(api.ReasonUnauthenticated, "header Authorization must hold a bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	name, ok := ids[hex.EncodeToString(sum[:])]
	if !ok {
		return "", api.Refuse(api.ReasonUnauthenticated, "unknown bearer token")
	}
	return name, nil
}

// requestID returns the request ID that the client sent, or a new one when it is missing or too long.
func requestID(r *http.Request) string {
	if id := r.Header.Get(api.HeaderRequestID); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return uuid.NewString()
}

func writeResult(w http.ResponseWriter, result *api.Result, id string) {
	result.SetHeaders(w.Header())
	w.Header().Set(api.HeaderRequestID, id)
	writeJSON(w, result.HTTPStatus(), result.Body(id))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status has already been sent, so a failed write can't be reported to the client.
	_ = json.NewEncoder(w).Encode(body)
}
