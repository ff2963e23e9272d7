package caller

import (
	"context"
	"errors"
	"time"

	"olivetiller/core/signal"
	"olivetiller/internal/traffic"
	"olivetiller/io/endpoint"
)

// send sends the request to the endpoint of a slot and returns the head of its answer, after what it says of the
// endpoint was heard: a refusal counts as much as an answer.
func (s *Server) send(ctx context.Context, x *Exchange, slot *traffic.Slot, position string) (*endpoint.Response, error) {
	sent := s.Clock.Now()
	resp, err := s.Endpoints.Do(ctx, s.request(x, slot, position))
	var refused *endpoint.Error
	switch {
	case err == nil:
		s.hear(x, slot, resp.Said, sent)
	case errors.As(err, &refused):
		s.hear(x, slot, refused.Said, sent)
	}
	return resp, err
}

// hear takes in what an answer says of its endpoint, and logs what that changes.
func (s *Server) hear(x *Exchange, slot *traffic.Slot, said signal.Said, sent time.Time) {
	c := s.Dispatcher.Hear(slot.Endpoint, said, sent)
	for _, d := range c.Damaged {
		s.Metrics.DamagedSignals.Add(1)
		s.Logger.Warn("signal of an endpoint passed over", "endpoint", slot.Endpoint.Name, "born", slot.Endpoint.Start, "requestId", x.ID, "error", d.Error())
	}
	if !c.News() {
		return
	}
	s.Metrics.Signals.Add(1)
	s.Logger.Info("endpoint says what it takes", append(c.Fields(), "requestId", x.ID)...)
}
