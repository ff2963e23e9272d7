package caller

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

// TestShutdownEndsConnectionsWithoutRequest guards against a shutdown that waits for its whole time for connections that have
// sent a part of a request, a stray line end or a TLS handshake, and no request.
func TestShutdownEndsConnectionsWithoutRequest(t *testing.T) {
	tests := []struct {
		name    string
		state   http.ConnState
		reading bool
		age     time.Duration
		want    bool
	}{
		{"idle", http.StateIdle, false, drainPoll, true},
		{"idle for a moment", http.StateIdle, false, drainPoll - 1, false},
		{"new", http.StateNew, false, time.Second, false},
		{"new, never used", http.StateNew, false, firstRequestTimeout, true},
		{"new, a part of a request", http.StateNew, true, firstRequestTimeout - 1, false},
		{"new, a handshake and no request", http.StateNew, true, firstRequestTimeout, true},
		{"idle, a part of a request", http.StateIdle, true, firstRequestTimeout - 1, false},
		{"idle, a stray line end", http.StateIdle, true, firstRequestTimeout, true},
		{"active", http.StateActive, true, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			ours, theirs := net.Pipe()
			defer ours.Close()
			defer theirs.Close()
			c := &trackedConn{Conn: ours, state: tt.state, reading: tt.reading, since: clock.Now()}
			s := &connections{clock: clock, open: map[*trackedConn]struct{}{c: {}}}
			c.set = s
			s.expireIdle(clock.Now().Add(tt.age))
			if diff := cmp.Diff(tt.want, c.expired); diff != "" {
				t.Errorf("told to close (-want +got):\n%s", diff)
			}
		})
	}
}
