package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"olivetiller/core/refusal"
)

// identify sets the caller of the request by its bearer token.
func (s *Server) identify(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		token, ok := strings.CutPrefix(x.R.Header.Get("Authorization"), "Bearer ")
		if !ok || token == "" {
			return refusal.New(refusal.Unauthorized, "the request has no bearer token")
		}
		sum := sha256.Sum256([]byte(token))
		x.Caller = x.View.Catalog.Callers[hex.EncodeToString(sum[:])]
		if x.Caller == nil {
			return refusal.New(refusal.Unauthorized, "no caller has this token")
		}
		return next(ctx, x)
	}
}

// deadline sets the deadline from the timeout header, less a margin for the transfer of the answer.
func (s *Server) deadline(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		allowed := s.Limits.DefaultTimeout
		if raw := x.R.Header.Get(HeaderTimeout); raw != "" {
			ms, err := strconv.ParseInt(raw, 10, 64)
			if err != nil {
				return refusal.New(refusal.HeaderInvalid, "%s is not a number of milliseconds: %q", HeaderTimeout, raw)
			}
			if ms <= 0 {
				return refusal.New(refusal.DeadlinePast, "%s is %d", HeaderTimeout, ms)
			}
			allowed = min(time.Duration(ms)*time.Millisecond, s.Limits.MaxTimeout)
		}
		x.Deadline = x.Start.Add(allowed - networkMargin(allowed))
		writerOf(x.W).until = x.Deadline
		return next(ctx, x)
	}
}

// networkMargin is the part of the allowed time that is reserved for the transfer of the answer: a twentieth, at most
// 100 ms.
func networkMargin(allowed time.Duration) time.Duration {
	return min(allowed/20, 100*time.Millisecond)
}
