package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"olivetiller/core/catalog"
	"olivetiller/core/ledger"
	"olivetiller/core/view"
	pb "olivetiller/proto/olivetiller/v1"
	"olivetiller/proto/olivetiller/v1/olivetillerv1connect"
)

// publishTimeout bounds the wait until the log decides a proposed change.
const publishTimeout = 8 * time.Second

// Errors of the operator API.
var (
	ErrFaults    = eris.New("the configuration has faults; correct each one listed")
	ErrConflict  = eris.New("another configuration was published first; read it and base the change on it")
	ErrNoID      = eris.New("the publish has no change ID; send a new one with each change, and the same one with a repeat")
	ErrUndecided = eris.New("the log did not decide in time; repeat the call with the same change ID to learn the outcome")
	ErrNotReady  = eris.New("this node does not know the configuration in force yet; call another node")
	ErrRejected  = eris.New("the change does not fit the state of the log and was rejected")
)

// Control is the part of the node's controller that the operator API uses.
type Control interface {
	Propose(ctx context.Context, r *pb.Record, late func(ledger.Outcome)) (ledger.Outcome, error)
	View() *view.View
	LastContact() time.Time
	Changed() <-chan struct{}
	Status(ctx context.Context) *pb.StatusResponse
}

// Service implements the operator API.
type Service struct {
	Clock   clockwork.Clock
	Control Control
	// Stop starts the planned stop of the node.
	Stop func()
}

var _ olivetillerv1connect.OperatorServiceHandler = (*Service)(nil)

// Handler returns the HTTP handler of the API, which answers only the given operators.
func (s *Service) Handler(operators []Operator) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(olivetillerv1connect.NewOperatorServiceHandler(s, connect.WithInterceptors(&authInterceptor{operators})))
	return mux
}

// Publish checks a configuration and puts it in force through the log. A dry run only performs the checks.
func (s *Service) Publish(ctx context.Context, req *connect.Request[pb.PublishRequest]) (*connect.Response[pb.PublishResponse], error) {
	m := req.Msg
	if faults := catalog.Check(m.GetConfig()); len(faults) > 0 {
		return nil, faultsError(faults)
	}
	v := s.Control.View()
	if !v.Ready {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotReady)
	}
	upsert, remove := catalog.Diff(v.Catalog.Config, m.GetConfig())
	changed := uint32(catalog.ChangedItems(upsert, remove))
	if m.GetDryRun() {
		if m.GetBaseRevision() != v.Revision {
			return nil, conflictError(v.Revision)
		}
		return connect.NewResponse(&pb.PublishResponse{Revision: v.Revision, Changed: changed}), nil
	}
	if m.GetChangeId() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrNoID)
	}
	change := &pb.ConfigChange{ChangeId: m.GetChangeId(), BaseRevision: m.GetBaseRevision(), Upsert: upsert, Remove: remove}
	pctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	o, err := s.Control.Propose(pctx, &pb.Record{Body: &pb.Record_ConfigChange{ConfigChange: change}}, nil)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.Wrap(ErrUndecided, err.Error()))
	}
	switch o.Reason {
	case ledger.Accepted:
		return connect.NewResponse(&pb.PublishResponse{Revision: o.Revision, Changed: changed}), nil
	case ledger.RevisionMoved:
		return nil, conflictError(o.Revision)
	}
	return nil, connect.NewError(connect.CodeFailedPrecondition, eris.Wrap(ErrRejected, o.Reason.String()))
}

func faultsError(faults []catalog.Fault) error {
	err := connect.NewError(connect.CodeInvalidArgument, ErrFaults)
	for _, f := range faults {
		d, derr := connect.NewErrorDetail(&pb.Fault{Path: f.Path, Problem: f.Problem, Remedy: f.Remedy})
		if derr == nil {
			err.AddDetail(d)
		}
	}
	return err
}

func conflictError(current uint64) error {
	err := connect.NewError(connect.CodeAborted, ErrConflict)
	if d, derr := connect.NewErrorDetail(&pb.Conflict{CurrentRevision: current}); derr == nil {
		err.AddDetail(d)
	}
	return err
}

// GetConfig returns the configuration in force at the node, with its revision and age.
func (s *Service) GetConfig(context.Context, *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	return connect.NewResponse(s.config()), nil
}

func (s *Service) config() *pb.GetConfigResponse {
	v := s.Control.View()
	return &pb.GetConfigResponse{
		Revision: v.Revision, Config: v.Catalog.Config,
		AgeMs: s.Clock.Now().Sub(s.Control.LastContact()).Milliseconds(),
	}
}

// WatchConfig sends the configuration in force, and then each later revision, until the caller cancels.
func (s *Service) WatchConfig(ctx context.Context, _ *connect.Request[pb.WatchConfigRequest], stream *connect.ServerStream[pb.GetConfigResponse]) error {
	sent := false
	var last uint64
	for {
		changed := s.Control.Changed()
		if cfg := s.config(); !sent || cfg.GetRevision() != last {
			if err := stream.Send(cfg); err != nil {
				return err
			}
			sent, last = true, cfg.GetRevision()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Status returns the node's view of endpoints, units and the log.
func (s *Service) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return connect.NewResponse(s.Control.Status(ctx)), nil
}

// DrainEndpoint drains an endpoint through the log, or resumes it.
func (s *Service) DrainEndpoint(ctx context.Context, req *connect.Request[pb.DrainEndpointRequest]) (*connect.Response[pb.DrainEndpointResponse], error) {
	drain := &pb.EngineDrain{Engine: req.Msg.GetEndpoint(), Draining: !req.Msg.GetResume()}
	pctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	o, err := s.Control.Propose(pctx, &pb.Record{Body: &pb.Record_EngineDrain{EngineDrain: drain}}, nil)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.Wrap(ErrUndecided, err.Error()))
	}
	if !o.OK() {
		return nil, connect.NewError(connect.CodeNotFound, eris.Wrap(ErrRejected, o.Reason.String()))
	}
	return connect.NewResponse(&pb.DrainEndpointResponse{}), nil
}

// StopNode starts the planned stop of the node and returns immediately.
func (s *Service) StopNode(context.Context, *connect.Request[pb.StopNodeRequest]) (*connect.Response[pb.StopNodeResponse], error) {
	s.Stop()
	return connect.NewResponse(&pb.StopNodeResponse{}), nil
}
