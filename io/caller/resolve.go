package caller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"

	"olivetiller/core/refusal"
	"olivetiller/core/view"
	"olivetiller/io/endpoint"
)

// readBody reads the body within the limits of size and time. It removes the time limit afterwards, since net/http
// would otherwise end the request when it expires.
func (s *Server) readBody(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		setReadTimeout(x.W, s.Limits.ReadTimeout)
		limit := cmp.Or(x.BodyLimit, s.Limits.BodyBytes)
		if x.R.ContentLength > limit {
			x.incomplete = true
			return tooLarge(limit)
		}
		body, err := s.heldBytes.readAll(http.MaxBytesReader(writerOf(x.W).ResponseWriter, x.R.Body, limit), x.R.ContentLength)
		if err != nil {
			x.incomplete = true
			var exceeded *http.MaxBytesError
			var refused *refusal.Error
			switch {
			case errors.As(err, &exceeded):
				return tooLarge(exceeded.Limit)
			case errors.As(err, &refused):
				return err
			}
			return refusal.New(refusal.BadRequest, "the body could not be read: %v", err)
		}
		defer s.heldBytes.remove(int64(cap(body)))
		x.Body = body
		setReadTimeout(x.W, 0)
		return next(ctx, x)
	}
}

// completion is the part of an OpenAI-style request that is needed for routing. The body itself is forwarded
// unchanged.
type completion struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// tokensPerCostUnit is the number of answer tokens that add 1 to the cost of a request.
const tokensPerCostUnit = 64

// resolveModel sets the target of a completion request from the model in its body.
func (s *Server) resolveModel(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		var c completion
		if err := json.Unmarshal(x.Body, &c); err != nil {
			return refusal.New(refusal.BadRequest, "the body is not a JSON request: %v", err)
		}
		u := x.View.Catalog.Units[c.Model]
		switch {
		case u == nil:
			return refusal.New(refusal.UnknownModel, "there is no model %q", c.Model)
		case u.Banned:
			return refusal.New(refusal.ModelBanned, "model %s is banned", c.Model)
		case c.MaxTokens < 0:
			return refusal.New(refusal.BadRequest, "max_tokens is %d", c.MaxTokens)
		}
		x.Target = Target{
			Pool: u.Name, Path: x.R.URL.Path, Model: true, Stream: c.Stream,
			OnceOnly: onceRequested(x.R), Keyed: true, Cost: 1 + float64(c.MaxTokens)/tokensPerCostUnit,
		}
		return next(ctx, x)
	}
}

// tooLarge returns the refusal of a body that exceeds a limit in bytes.
func tooLarge(limit int64) error {
	return refusal.New(refusal.BodyTooLarge, "the body is longer than %d bytes", limit)
}

// resolveService sets the target of a request to a plain service from its path.
func (s *Server) resolveService(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		name, path := x.R.PathValue(serviceName), x.R.PathValue(servicePath)
		svc := x.View.Catalog.Services[name]
		if svc == nil {
			return refusal.New(refusal.UnknownService, "there is no service %q", name)
		}
		if err := endpoint.CheckTarget(path); err != nil {
			return refusal.New(refusal.BadRequest, "%v", err)
		}
		x.Target = Target{Pool: view.ServicePool(name), Path: path, OnceOnly: svc.GetOnceOnly() || onceRequested(x.R), Keyed: true, Cost: 1}
		return next(ctx, x)
	}
}

// servicePrefix begins the paths of plain services. serviceName and servicePath are the path values of their requests, the
// two parts that serviceTarget returns.
const (
	servicePrefix = "/services/"
	serviceName   = "name"
	servicePath   = "path"
)

// serviceTarget splits the target of a request to a plain service into the name of the service and what the service gets: the
// rest of the path with the query, byte for byte.
func serviceTarget(target string) (name, rest string, ok bool) {
	after, ok := strings.CutPrefix(target, servicePrefix)
	path, _, _ := strings.Cut(after, "?")
	raw, _, found := strings.Cut(path, "/")
	name, err := url.PathUnescape(raw)
	if !ok || !found || err != nil {
		return "", "", false
	}
	return name, after[len(raw):], true
}

// onceRequested reports whether the caller asks that the request run at most once.
func onceRequested(r *http.Request) bool { return strings.EqualFold(r.Header.Get(HeaderOnce), "true") }
