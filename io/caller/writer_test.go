package caller

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// slowWriter is a response writer whose caller reads rate bytes a second.
type slowWriter struct {
	*httptest.ResponseRecorder
	rate     int
	deadline time.Time
}

func (w *slowWriter) SetWriteDeadline(at time.Time) error { w.deadline = at; return nil }

func (w *slowWriter) Write(b []byte) (int, error) {
	read, left := len(b), time.Hour
	if !w.deadline.IsZero() {
		left = max(0, time.Until(w.deadline))
	}
	if most := int(float64(w.rate) * left.Seconds()); read > most {
		time.Sleep(left)
		n, _ := w.ResponseRecorder.Write(b[:most])
		return n, os.ErrDeadlineExceeded
	}
	time.Sleep(time.Duration(float64(read) / float64(w.rate) * float64(time.Second)))
	return w.ResponseRecorder.Write(b)
}

// TestSlowCallerGetsLongAnswer guards against answers that are cut although their caller reads on, because it needs longer
// than writeTimeout for the whole of one.
func TestSlowCallerGetsLongAnswer(t *testing.T) {
	const mega = 1 << 20
	tests := []struct {
		name       string
		size, rate int
		// left is the time until the deadline; 0 if there is none.
		left        time.Duration
		wholeAnswer bool
		// most is the longest time that the answer may take.
		most time.Duration
	}{
		{"short", 100, mega, 0, true, time.Second},
		{"long, read slowly", 20 * mega, mega, 0, true, 21 * time.Second},
		{"long, read slowly, beyond the deadline", 20 * mega, mega, 8 * time.Second, false, 8*time.Second + writeTimeout},
		{"long, not read", 20 * mega, 0, 0, false, writeTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := testServer(true)
				w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), rate: tt.rate}
				x := &Exchange{W: &callerWriter{ResponseWriter: w, clock: s.Clock, stopping: s.Stopping}, R: httptest.NewRequest(http.MethodPost, "/", nil)}
				began := time.Now()
				if tt.left > 0 {
					writerOf(x.W).until = began.Add(tt.left)
				}
				if err := writeAnswer(x, defaultProtocol{}, &answer{status: http.StatusOK, body: bytes.Repeat([]byte("a"), tt.size)}); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(tt.wholeAnswer, w.Body.Len() == tt.size); diff != "" {
					t.Errorf("whole answer (-want +got):\n%s%d of %d bytes, error %v", diff, w.Body.Len(), tt.size, writerOf(x.W).err)
				}
				if took := time.Since(began); took > tt.most {
					t.Errorf("the answer took %v, want %v at most", took, tt.most)
				}
			})
		})
	}
}
