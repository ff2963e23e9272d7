package caller

import (
	"context"
	"errors"
	"time"

	"olivetiller/core/signal"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// send sends the request to the endpoint of a slot and returns the head of the answer. If the slot is that of a standby,
// which was sent already, it returns the standby's answer.
func (s *Server) send(ctx context.Context, x *Exchange, slot *traffic.Slot, position string) (*endpoint.Response, error) {
	var resp *endpoint.Response
	var err error
	if sb := x.standby; sb != nil && sb.slot == slot {
		x.standby = nil
		resp, err = sb.await(ctx)
		if sb.extra {
			s.countExtra(x, err == nil)
		}
	} else {
		resp, err = s.request(ctx, x, slot, position, x.trial)
	}
	var failed *endpoint.Error
	switch {
	case err == nil:
		x.Progress.Gateway = resp.Gateway
	case errors.As(err, &failed):
		x.Progress.Gateway = failed.Gateway
	}
	return resp, err
}

// request sends the request to the endpoint of a slot and returns the head of the answer. It records the endpoint's
// signals in an answer as well as in a refusal. trial marks the trial run of a quarantined request.
func (s *Server) request(ctx context.Context, x *Exchange, slot *traffic.Slot, position string, trial bool) (*endpoint.Response, error) {
	sent := s.Clock.Now()
	resp, err := s.Endpoints.Do(ctx, s.endpointRequest(x, slot, position, trial))
	var refused *endpoint.Error
	switch {
	case err == nil:
		s.recordSignals(x, slot, resp.Signals, sent)
	case errors.As(err, &refused):
		s.recordSignals(x, slot, refused.Signals, sent)
	}
	return resp, err
}

// recordSignals records the signals in an answer and logs what they change. sent is when the request was sent.
func (s *Server) recordSignals(x *Exchange, slot *traffic.Slot, signals signal.Signals, sent time.Time) {
	c := s.Dispatcher.ObserveSignals(slot.Endpoint, signals, sent)
	for _, d := range c.Malformed {
		s.Metrics.DamagedSignals.Add(1)
		s.Logger.Warn("ignored an invalid endpoint signal", "endpoint", slot.Endpoint.Name, "born", slot.Endpoint.Start, "requestId", x.ID, "error", d.Error())
	}
	if !c.Changed() {
		return
	}
	s.Metrics.Signals.Add(1)
	s.Logger.Info("endpoint signals changed", append(c.Fields(), "requestId", x.ID)...)
}
