package intake

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"
)

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	pool *Pool
	peer bool
}

// Listener returns a listener whose connections the pool counts.
func (p *Pool) Listener(l net.Listener) net.Listener { return &listener{l, p, false} }

// admitTries is how often a connection for which there is no room is tried again, every admitPause. Others wait to be accepted meanwhile.
const (
	admitTries = 10
	admitPause = 10 * time.Millisecond
)

// Accept implements net.Listener. Connections for which there are no descriptors are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		for range admitTries {
			if c := l.pool.admit(tcp, l.peer); c != nil {
				return c, nil
			}
			time.Sleep(admitPause)
		}
		l.pool.limits[limitConnections].act()
		_ = conn.Close()
	}
}

type connKey struct{}

// Serve has a server serve a listener whose connections the pool counts. The handler, which is wrapped, reads bodies with ReadBody.
func (p *Pool) Serve(server *http.Server, l net.Listener) error {
	return p.serve(server, p.Listener(l))
}

// ServePeers is Serve for a listener of other processes. Up to a part of the pool, their connections are not closed for those of callers.
func (p *Pool) ServePeers(server *http.Server, l net.Listener) error {
	return p.serve(server, &listener{l, p, true})
}

func (p *Pool) serve(server *http.Server, l net.Listener) error {
	server.Handler = p.handler(server.Handler)
	server.ReadHeaderTimeout = cmp.Or(server.ReadHeaderTimeout, p.opts.Times.Head)
	server.IdleTimeout = cmp.Or(server.IdleTimeout, p.opts.Times.Idle)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return server.Serve(l)
}

// NewServer returns a server for a handler. The pool that serves it sets its time-outs for heads and idle connections.
func NewServer(handler http.Handler) *http.Server { return &http.Server{Handler: handler} }

// handler counts requests from their head to their response.
func (p *Pool) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.begin(len(r.Header), r.ContentLength != 0) != nil {
			Refuse(w)
			return
		}
		defer c.end()
		next.ServeHTTP(w, r)
	})
}

// Refuse answers a request for which there is no room, before it runs.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}
