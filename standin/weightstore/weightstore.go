// Package weightstore is a stand-in for the platform's rate-limited store of model checkpoints. It
// transfers no data; a load only takes the time that the transfer would.
package weightstore

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"olivetiller/standin/fault"
)

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	Faults *fault.Injector

	starts *rate.Limiter
	slots  *semaphore.Weighted
	// bytesPerSecond is the transfer rate of each load.
	bytesPerSecond float64
	// slowdown is the factor on the duration of a load, in hundredths.
	slowdown atomic.Int64
	loads    atomic.Int64
}

// New returns a store that starts at most startsPerSecond loads per second and runs at most slots
// loads at once, each at bytesPerSecond; further loads wait. seed determines the draws of its
// faults.
func New(seed uint64, startsPerSecond float64, slots int64, bytesPerSecond float64) *Store {
	s := &Store{
		Faults:         fault.New(seed),
		starts:         rate.NewLimiter(rate.Limit(startsPerSecond), int(max(1, startsPerSecond))),
		slots:          semaphore.NewWeighted(slots),
		bytesPerSecond: bytesPerSecond,
	}
	s.slowdown.Store(100)
	return s
}

// SetSlowdown sets the factor on the duration of loads that start transferring from now on; 1 is the
// normal speed.
func (s *Store) SetSlowdown(factor float64) { s.slowdown.Store(int64(factor * 100)) }

// Loads returns the number of completed loads.
func (s *Store) Loads() int64 { return s.loads.Load() }

// Handler returns the store's HTTP interface with its faults applied: GET
// /weights/{unit}/{version}?bytes=N returns 204 once a load of N bytes is complete.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{unit}/{version}", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.ParseFloat(r.URL.Query().Get("bytes"), 64)
		if err != nil {
			http.Error(w, "bytes is missing", http.StatusBadRequest)
			return
		}
		if err := s.fetch(r.Context(), n); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		s.loads.Add(1)
		w.WriteHeader(http.StatusNoContent)
	})
	return s.Faults.Wrap(mux)
}

func (s *Store) fetch(ctx context.Context, bytes float64) error {
	if err := s.slots.Acquire(ctx, 1); err != nil {
		return err
	}
	defer s.slots.Release(1)
	if err := s.starts.Wait(ctx); err != nil {
		return err
	}
	seconds := bytes / s.bytesPerSecond * float64(s.slowdown.Load()) / 100
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
