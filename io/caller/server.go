package caller

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/answerlimit"
	"olivetiller/core/keepalive"
	"olivetiller/core/refusal"
	"olivetiller/core/view"
	"olivetiller/internal/isolation"
	"olivetiller/internal/once"
	"olivetiller/internal/traffic"
	"olivetiller/io/boottime"
	"olivetiller/io/endpoint"
)

// Limits bound what callers may send and hold.
type Limits struct {
	// BodyBytes and AnswerBytes are the maximum sizes of a body and of an answer that is not streamed.
	BodyBytes, AnswerBytes int64
	// HeaderBytes is the maximum size of a request's head.
	HeaderBytes int
	// DefaultTimeout is the time allowed to a request without HeaderTimeout, and MaxTimeout the longest allowed time.
	DefaultTimeout, MaxTimeout time.Duration
	// ReadTimeout limits the time a caller takes to send the head of a request from its first byte, and again the body.
	ReadTimeout time.Duration
	// IdleTimeout limits how long a connection stays open without a request. If there are too many connections, those that
	// have had none the longest are closed before.
	IdleTimeout time.Duration
	// HeldBytes limits the total bytes of request and answer bodies in memory, beyond which new requests are refused.
	// HeldAnswerBytes limits those of answers, beyond which answers are given up; 0 for no limit.
	HeldBytes, HeldAnswerBytes int64
	// Connections limits the open connections; 0 for no limit. Where all of them have requests, further ones are closed
	// unread.
	Connections int
}

// Server serves callers over HTTP. The exported fields must be set before it is used, except where their comments
// name a default.
type Server struct {
	Clock      clockwork.Clock
	Logger     hclog.Logger
	Limits     Limits
	Dispatcher *traffic.Dispatcher
	Endpoints  *endpoint.Client
	Once       *once.Coordinator
	// Isolation keeps requests that crash engines away from them; nil selects a guard that exchanges nothing with
	// other nodes.
	Isolation *isolation.Guard
	Metrics   *Metrics
	// Extra decides on extra attempts beside late ones; nil for none.
	Extra *ExtraAttempts
	// Limiter enforces customers' rate limits; nil for none.
	Limiter Limiter
	// Origins knows where streams began; nil if streams may go on at any endpoint.
	Origins Origins
	// Processes tells whether endpoints have started again since they were chosen; nil if they never do under one name.
	Processes Processes
	// View returns the current view.
	View func() *view.View
	// Stopping reports whether a planned shutdown has begun. Answers then ask the load balancer to close its
	// connection.
	Stopping func() bool
	// Timeouts returns the timeouts that the configuration in force states for connections; 0 selects those of Limits. nil
	// if the configuration states none.
	Timeouts func() keepalive.Timeouts
	// TakeConnection reports whether a new connection is taken; otherwise it is closed unread. nil to take all.
	TakeConnection func() bool
	// Starting tells whether a node that is not ready is about to be; nil to refuse requests until it is.
	Starting Starting
	// TLS configures TLS; nil to serve plain HTTP.
	TLS *tls.Config
	// Protocol replaces the default protocol of this product; nil selects the default.
	Protocol Protocol

	callers   *callerLimits
	heldBytes heldBytes
	// initOnce guards init, since a server may be closed while it starts to serve.
	initOnce sync.Once
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelCauseFunc
	http           *http.Server
	connections    connections
	// closed is set once Close has begun to close connections.
	closed atomic.Bool
}

// init creates the HTTP server. It sets no http.Server.ReadTimeout, which would end requests that wait long for a
// model; readBody sets a read deadline instead. It sets neither http.Server.ReadHeaderTimeout, which would also end
// connections that have carried nothing yet, nor http.Server.IdleTimeout: the configuration may change while connections
// are open, and s.connections closes them.
func (s *Server) init() {
	s.callers = newCallerLimits()
	s.connections.clock, s.connections.limit, s.connections.timeouts = s.Clock, s.Limits.Connections, s.timeouts
	s.connections.refused = s.connectionRefused
	base, cancelRequests := context.WithCancelCause(context.Background())
	s.cancelRequests = cancelRequests
	s.http = &http.Server{
		BaseContext:    func(net.Listener) context.Context { return base },
		Handler:        s.Handler(),
		MaxHeaderBytes: s.Limits.HeaderBytes,
		TLSConfig:      s.TLS,
		ConnState:      s.connections.stateChanged,
		ErrorLog:       s.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Serve accepts callers' connections on l until Shutdown or Close. It always returns a non-nil error.
func (s *Server) Serve(l net.Listener) error {
	s.initOnce.Do(s.init)
	if s.TakeConnection != nil {
		l = &shedListener{Listener: l, take: s.TakeConnection, closed: &s.Metrics.ConnectionsClosed}
	}
	return s.connections.serve(l, func(l net.Listener) error {
		if s.TLS != nil {
			l = tls.NewListener(l, s.TLS)
		}
		return s.http.Serve(l)
	})
}

// timeouts returns the timeouts in force.
func (s *Server) timeouts() keepalive.Timeouts {
	t := keepalive.Timeouts{Idle: s.Limits.IdleTimeout, Head: s.Limits.ReadTimeout}
	if s.Timeouts != nil {
		stated := s.Timeouts()
		t.Idle, t.Head = cmp.Or(stated.Idle, t.Idle), cmp.Or(stated.Head, t.Head)
	}
	return t
}

// connectionRefused counts a connection that was closed unread since the others all carry requests, and logs the first one.
func (s *Server) connectionRefused(n keepalive.Counts, first bool) {
	s.Metrics.ConnectionsRefused.Add(1)
	if !first {
		return
	}
	s.Logger.Warn("connection closed unread, since all others have requests; this node is not ready until fewer have",
		"limit", s.Limits.Connections, "active", n.Active, "headIncomplete", n.Heading, "closing", n.Closing)
}

// Connections returns the numbers of callers' connections.
func (s *Server) Connections() keepalive.Counts { return s.connections.counts() }

// Full reports whether the server takes no further connections because nearly all that it may have carry requests.
func (s *Server) Full() bool { return s.connections.full() }

// Active returns the number of requests in progress, whose answers are not written yet.
func (s *Server) Active() int { return s.connections.active() }

// RefuseRequests refuses all further requests. It still takes connections, so that new ones are told so.
func (s *Server) RefuseRequests() {
	s.initOnce.Do(s.init)
	s.connections.refuse()
}

// Shutdown closes the listener and waits until every request has ended or ctx ends. Requests that come on open connections
// meanwhile are refused.
func (s *Server) Shutdown(ctx context.Context) error {
	s.initOnce.Do(s.init)
	if err := s.connections.drain(ctx); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

// CancelRequests cancels all requests in progress. Those whose answer has not begun are refused.
func (s *Server) CancelRequests() {
	s.initOnce.Do(s.init)
	s.cancelRequests(errStopped)
}

// Close closes every connection at once.
func (s *Server) Close() error {
	s.initOnce.Do(s.init)
	s.closed.Store(true)
	return s.http.Close()
}

// Handler returns the handler for the server's routes.
func (s *Server) Handler() http.Handler {
	if s.callers == nil {
		s.callers = newCallerLimits()
	}
	s.heldBytes.limit = s.Limits.HeldBytes
	s.heldBytes.answerLimits = answerlimit.Limits{Answer: s.Limits.AnswerBytes, Total: s.Limits.HeldAnswerBytes}
	if s.Isolation == nil {
		s.Isolation = isolation.New(isolation.Options{Clock: s.Clock, Logger: s.Logger, Refuses: s.Endpoints.Refuses})
	}
	if s.Protocol != nil {
		return s.serve(Chain(s.dispatch, s.refuse, s.recoverPanic, s.ready, s.accept, s.readBody, s.charge))
	}
	common := []Filter{s.refuse, s.recoverPanic, s.ready, s.identify, s.limit, s.deadline, s.readBody}
	models := Chain(s.dispatch, append(common[:len(common):len(common)], s.resolveModel)...)
	services := Chain(s.dispatch, append(common[:len(common):len(common)], s.resolveService)...)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serve(models))
	mux.HandleFunc("POST /v1/completions", s.serve(models))
	mux.HandleFunc("GET /v1/models", s.serve(Chain(s.listModels, s.refuse, s.recoverPanic, s.ready, s.identify)))
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("/", s.serve(Chain(notFound, s.refuse)))
	toService := s.serve(services)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if name, path, ok := serviceTarget(r.RequestURI); ok {
			// The mux would redirect paths with empty segments and dots.
			r.SetPathValue(serviceName, name)
			r.SetPathValue(servicePath, path)
			toService(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// serve returns an HTTP handler that creates an exchange for each request and passes it to h.
func (s *Server) serve(h Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setWriteTimeout(http.NewResponseController(w), 0)
		x := &Exchange{W: &callerWriter{ResponseWriter: w, clock: s.Clock, stopping: s.Stopping}, R: r, ID: requestID(), Start: s.Clock.Now(), View: s.View()}
		if s.Protocol == nil {
			w.Header().Set(HeaderRequestID, x.ID)
		}
		_ = h(r.Context(), x)
	}
}

// protocol returns the protocol in use.
func (s *Server) protocol() Protocol {
	if s.Protocol != nil {
		return s.Protocol
	}
	return defaultProtocol{}
}

// accept lets the protocol read the request's head, and limits the rest of the processing to the deadline it set.
func (s *Server) accept(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		if err := s.protocol().Accept(x); err != nil {
			return err
		}
		writerOf(x.W).until = x.Deadline
		ctx, cancel := boottime.WithTimeout(ctx, s.Clock, x.Deadline.Sub(s.Clock.Now()))
		defer cancel()
		return next(ctx, x)
	}
}

// requestID returns a new request id. A caller's own id is not used, since those of two callers could collide.
func requestID() string { return uuid.NewString() }

// health answers a load balancer's health check: 204 if the node takes requests, 503 if not.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.View().Ready || s.Full() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// notFound refuses a request that matches no route.
func notFound(_ context.Context, x *Exchange) error {
	return refusal.New(refusal.BadRequest, "there is no route %s %s", x.R.Method, x.R.URL.Path)
}

// modelEntry is one model in the list of models, in the OpenAI style.
type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Base is the base model of an adapter.
	Base string `json:"base,omitempty"`
	// Loaded is true if an endpoint has the model ready, so that a request needs no cold start.
	Loaded bool `json:"loaded"`
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// listModels answers with the models that are not banned, in the order of names.
func (s *Server) listModels(_ context.Context, x *Exchange) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for name, u := range x.View.Catalog.Units {
		if !u.Banned {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", Base: u.Base, Loaded: len(x.View.Endpoints[name]) > 0})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	x.Began = true
	x.W.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(x.W).Encode(list)
	return nil
}
