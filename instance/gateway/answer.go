package gateway

import "net/http"

// answer is what one caller gets. net/http would complete it when its handler returns, whatever has been written by then; so each
// answer is cut unless it was declared whole. A caller whose sending side ends gets no answer either: the end of a connection looks
// the same whether its caller still reads or is gone, and the targets of callers that are gone must be free at once.
type answer struct {
	http.ResponseWriter
	whole bool
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
	if failure := recover(); failure != nil {
		panic(failure)
	}
	if !a.whole {
		panic(http.ErrAbortHandler)
	}
}
