package gateway

import (
	"net/http"
)

// answer is what one caller gets. net/http would complete it when its handler returns, whatever has been written by then; so each
// answer is cut unless it was declared whole. A caller whose sending side ends gets no answer either: the end of a connection looks
// the same whether its caller still reads or is gone, and the targets of callers that are gone must be free at once.
type answer struct {
	http.ResponseWriter
	whole bool
	// endsWithConnection is set if the caller takes the end of its connection for that of the answer.
	endsWithConnection bool
	// rotation, if it is set, decides whether the answer closes the connection from the address remote.
	rotation *inRotation
	remote   string
}

// newAnswer returns the answer to a request.
func newAnswer(w http.ResponseWriter, r *http.Request) *answer {
	return &answer{ResponseWriter: w, endsWithConnection: !r.ProtoAtLeast(1, 1)} // HTTP/1.0 has no chunks
}

// WriteHeader sends the status and headers.
func (a *answer) WriteHeader(status int) {
	if a.rotation != nil && a.rotation.closes(a.remote) {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController flush the answer.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// sendStatus answers with a status of this gateway itself and no body.
func (a *answer) sendStatus(status int) {
	a.WriteHeader(status)
	a.whole = true
}

// cutUnlessWhole is deferred by the handlers. It closes the connection of an answer that is not whole.
func (a *answer) cutUnlessWhole() {
	failure := recover()
	if failure == nil && !a.whole {
		failure = http.ErrAbortHandler
	}
	if failure == nil {
		return
	}
	if a.endsWithConnection {
		a.reset()
	}
	panic(failure)
}

// reset resets the connection, so that its end is not taken for that of the answer.
func (a *answer) reset() {
	conn, _, err := http.NewResponseController(a.ResponseWriter).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
