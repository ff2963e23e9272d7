package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"olivetiller/core/answerlimit"
	"olivetiller/core/catalog"
	"olivetiller/core/refusal"
	"olivetiller/core/retry"
	"olivetiller/core/view"
	"olivetiller/io/endpoint"
	pb "olivetiller/proto/olivetiller/v1"
	"olivetiller/standin/endless"
)

const (
	soundAnswer = "a sound answer"
	soundStream = ": begins\n\ndata: 1\n\n: goes on\n\ndata: 2\n\ndata: [DONE]\n\n"
	// testAnswerBytes is the limit of one answer in tests.
	testAnswerBytes = 64 << 10
	// readAhead is how much may be read beyond a bound: a buffer of net/http, one of the relay, and framing.
	readAhead = 16 << 10
)

// fixedTarget is the default protocol with one target for all requests.
type fixedTarget struct {
	defaultProtocol
	target Target
	// timeout is the time until the deadline.
	timeout time.Duration
}

// Accept implements Protocol.
func (p fixedTarget) Accept(x *Exchange) error {
	x.Target, x.Deadline = p.target, x.Start.Add(p.timeout)
	return nil
}

// endlessSite is a server whose endpoint "bad" plays a shape, while "good" answers.
type endlessSite struct {
	*Server
	shape endless.Shape
	// trickle makes "good" send each byte by itself.
	trickle bool
	log     syncBuffer

	mu sync.Mutex
	// taken holds how many bytes were read of each answer of "bad", whose connection was closed then.
	taken []int64
	begun int
	ended *sync.Cond
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// newEndlessSite returns a site for requests with a target, whose pool has the named endpoints.
func newEndlessSite(shape endless.Shape, target Target, limits Limits, endpoints ...string) *endlessSite {
	site := &endlessSite{Server: testServer(true), shape: shape}
	site.ended = sync.NewCond(&site.mu)
	target.Pool, target.Path, target.Cost = "pool", "/x", 1
	vw := &view.View{Ready: true, Catalog: catalog.New(&pb.Config{}), Endpoints: map[string][]view.Endpoint{}}
	for _, name := range endpoints {
		vw.Endpoints[target.Pool] = append(vw.Endpoints[target.Pool], view.Endpoint{Name: name, Address: name, Concurrency: 64})
	}
	limits.BodyBytes, limits.ReadTimeout = 200, time.Second
	site.Limits = limits
	site.Protocol = fixedTarget{target: target, timeout: 20 * time.Second}
	site.Logger = hclog.New(&hclog.LoggerOptions{Output: &site.log})
	site.Endpoints = endpoint.NewClientWith(endpoint.Options{Paths: endless.Pipes{Serve: site.serve}, Clock: site.Clock})
	site.View = func() *view.View { return vw }
	site.Dispatcher.LimitRetries(retry.Limits{Share: 1, Reserve: 1000, Window: time.Second})
	site.Dispatcher.Update(vw, nil)
	return site
}

// serve serves a connection to an endpoint.
func (s *endlessSite) serve(address string, conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if strings.HasPrefix(address, "bad") {
			s.mu.Lock()
			s.begun++
			s.mu.Unlock()
			taken := s.shape.Play(conn, "")
			s.mu.Lock()
			s.taken = append(s.taken, taken)
			s.ended.Broadcast()
			s.mu.Unlock()
			return
		}
		whole := soundAnswer
		if s.Protocol.(fixedTarget).target.Stream {
			whole = soundStream
		}
		whole = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
		step := len(whole)
		if s.trickle {
			step = 1
		}
		for at := 0; at < len(whole); at += step {
			if _, err := io.WriteString(conn, whole[at:at+step]); err != nil {
				return
			}
		}
	}
}

// send sends a request and returns the answer.
func (s *endlessSite) send(h http.Handler) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")))
	return w
}

// badChosen reports whether a request has reached "bad".
func (s *endlessSite) badChosen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun > 0
}

// awaitEnded waits until all connections to "bad" are closed, and returns how many bytes were read of each.
func (s *endlessSite) awaitEnded() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.taken) < s.begun {
		s.ended.Wait()
	}
	return s.taken
}

// TestEndlessAnswers guards against bytes without end that take the memory of a node, reach a caller, or end a request that
// another endpoint would serve. A request that may have run is never refused as not run.
func TestEndlessAnswers(t *testing.T) {
	type shapes struct {
		shapes []endless.Shape
		stream bool
		// part is the part that is too long; "" if the answer counts as a refusal of the endpoint. most is how many bytes may
		// be read.
		part answerlimit.Part
		most int64
	}
	tests := []shapes{
		{endless.Heads, false, answerlimit.Head, answerlimit.HeadBytes},
		{endless.Heads, true, answerlimit.Head, answerlimit.HeadBytes},
		{endless.Bodies, false, answerlimit.Body, testAnswerBytes},
		{endless.Bodies, true, answerlimit.Event, answerlimit.EventBytes},
		{[]endless.Shape{endless.Event}, true, answerlimit.Event, answerlimit.EventBytes},
		{[]endless.Shape{endless.Comments, endless.EmptyLines}, true, answerlimit.Comments, answerlimit.CommentBytes},
		{[]endless.Shape{endless.Refusal}, false, "", 0},
		{[]endless.Shape{endless.Refusal}, true, "", 0},
	}
	for _, tt := range tests {
		for _, shape := range tt.shapes {
			for _, onceOnly := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, stream %v, once only %v", shape.Name, tt.stream, onceOnly), func(t *testing.T) {
					site := newEndlessSite(shape, Target{Stream: tt.stream, OnceOnly: onceOnly}, Limits{AnswerBytes: testAnswerBytes}, "bad", "good")
					h := site.Handler()
					want, failed := soundAnswer, 0
					if tt.stream {
						want = soundStream
					}
					// The choice between the endpoints is random.
					for try := 0; !site.badChosen() && try < 100; try++ {
						w := site.send(h)
						if w.Code == http.StatusOK {
							if diff := cmp.Diff(want, w.Body.String()); diff != "" {
								t.Fatalf("answer (-want +got):\n%s", diff)
							}
							continue
						}
						failed++
						var p Problem
						if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.RequestID == "" {
							t.Fatalf("%q is no problem with a request id: %v", w.Body, err)
						}
						// The id is random and may hold the bytes of the endpoint.
						text := strings.ReplaceAll(w.Body.String(), p.RequestID, "")
						if got := w.Header().Get(HeaderNotRun); got != "false" || strings.Contains(text, "aaaa") {
							t.Errorf("%d, not run %q: %s; want a refusal that does not state that the request has not run, without bytes of the endpoint", w.Code, got, text)
						}
					}
					taken := site.awaitEnded()
					if len(taken) == 0 {
						t.Fatal("no request reached the endpoint that sends without end")
					}
					wantFailed := 0
					if onceOnly && tt.part != "" {
						wantFailed = 1
					}
					if failed != wantFailed {
						t.Errorf("%d requests were refused, want %d", failed, wantFailed)
					}
					for _, n := range taken {
						if n > tt.most+readAhead {
							t.Errorf("%d bytes were read, want %d and %d ahead at most", n, tt.most, readAhead)
						}
					}
					site.checkCounts(t, tt.part, len(taken))
				})
			}
		}
	}
}

// checkCounts checks that n answers were logged and counted as too long, and that nothing stays held.
func (s *endlessSite) checkCounts(t *testing.T, part answerlimit.Part, n int) {
	t.Helper()
	counted := `{}`
	if part != "" {
		counted = fmt.Sprintf(`{%q: %d}`, part, n)
	} else {
		n = 0
	}
	if got := s.Metrics.AnswersTooLong.String(); got != counted {
		t.Errorf("answers counted as too long: %s, want %s", got, counted)
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	if got := strings.Count(s.log.String(), "endpoint sent too much"); got != n {
		t.Errorf("%d log lines of answers that are too long, want %d", got, n)
	}
	if n := s.heldBytes.answers.Load() + s.heldBytes.bytes.Load(); n != 0 {
		t.Errorf("%d bytes held in the end", n)
	}
}

// TestTrickleIsServed guards against a slow answer that is taken for an endless one.
func TestTrickleIsServed(t *testing.T) {
	for _, stream := range []bool{false, true} {
		site := newEndlessSite(endless.Shape{}, Target{Stream: stream}, Limits{AnswerBytes: testAnswerBytes}, "good")
		site.trickle = true
		want := soundAnswer
		if stream {
			want = soundStream
		}
		w := site.send(site.Handler())
		if diff := cmp.Diff(want, w.Body.String()); w.Code != http.StatusOK || diff != "" {
			t.Errorf("stream %v: status %d, answer (-want +got):\n%s", stream, w.Code, diff)
		}
		site.checkCounts(t, "", 0)
	}
}

// TestRoomOfAllAnswers guards against many answers that together take the memory of a node although none is too long, and
// against short sound answers that fail with them. Such a request may have run, and its endpoint did nothing wrong.
func TestRoomOfAllAnswers(t *testing.T) {
	s := testServer(true)
	s.heldBytes.answerLimits = answerlimit.Limits{Answer: 1 << 20, Total: 256 << 10}
	long, pw := io.Pipe()
	x := &Exchange{}
	x.held.held = &s.heldBytes
	reading := make(chan error, 1)
	go func() {
		_, err := x.held.readAll(long, -1)
		reading <- err
	}()
	// The buffer of 200 KB has 256 KB then.
	if _, err := pw.Write(make([]byte, 200<<10)); err != nil {
		t.Fatal(err)
	}
	second, third := &holding{held: &s.heldBytes}, &holding{held: &s.heldBytes}
	_, err := second.readAll(bytes.NewReader(make([]byte, 100<<10)), -1)
	if !answerlimit.IsNoRoom(err) {
		t.Errorf("a second long answer: %v, want no room", err)
	}
	if _, err := third.readAll(bytes.NewReader(make([]byte, 10<<10)), -1); err != nil {
		t.Errorf("a short answer: %v", err)
	}
	failure := (&endpoint.Response{Response: &http.Response{}}).BrokenError(err)
	if r := failedResult(failure); r.Err != nil || !r.NotStarted || failure.Outcome != retry.Ran || failure.ConnectionBroken {
		t.Errorf("%+v, %+v: want an attempt that has run and says nothing about its endpoint", r, failure)
	}
	third.end()
	if _, err := third.readAll(bytes.NewReader([]byte("late")), -1); err == nil {
		t.Error("a read for an exchange that has ended is counted")
	}
	pw.Close()
	if err := <-reading; err != nil {
		t.Errorf("the first long answer: %v", err)
	}
	x.held.end()
	if n := s.heldBytes.answers.Load() + s.heldBytes.bytes.Load(); n != 0 {
		t.Errorf("%d bytes held in the end", n)
	}
}

// TestLengthInAnswerToHead guards against an answer to HEAD that fails for the length of the body that it does not have.
func TestLengthInAnswerToHead(t *testing.T) {
	x := &Exchange{}
	x.held.held = &heldBytes{answerLimits: answerlimit.Limits{Answer: testAnswerBytes}}
	resp := &http.Response{Request: httptest.NewRequest(http.MethodHead, "/x", nil), ContentLength: 1 << 30, Body: http.NoBody}
	if a, err := x.readAnswer(&endpoint.Response{Response: resp}); err != nil || len(a.body) > 0 {
		t.Errorf("%v, %v, want an answer without a body", a, err)
	}
}

// TestNoRoomIsNoPromise checks that a request whose answer found no room is not sent to another endpoint, and not refused as
// not run.
func TestNoRoomIsNoPromise(t *testing.T) {
	for _, onceOnly := range []bool{false, true} {
		site := newEndlessSite(endless.Chunked, Target{OnceOnly: onceOnly}, Limits{AnswerBytes: 1 << 30, HeldAnswerBytes: 64 << 10}, "bad1", "bad2")
		w := site.send(site.Handler())
		want := refusal.EndpointFailed
		if onceOnly {
			want = refusal.OutcomeUnknown
		}
		if !strings.Contains(w.Body.String(), string(want)) || w.Header().Get(HeaderNotRun) != "false" {
			t.Errorf("once only %v: %d, not run %s, %s: want %s", onceOnly, w.Code, w.Header().Get(HeaderNotRun), w.Body, want)
		}
		if n := len(site.awaitEnded()); n != 1 || site.Metrics.AnswersWithoutRoom.Value() != 1 {
			t.Errorf("%d attempts, %v counted without room, want 1 and 1", n, &site.Metrics.AnswersWithoutRoom)
		}
	}
}

// BenchmarkEndlessAnswers reports the largest heap of a node of 144 MB while 20 requests at once get bytes without end from
// all endpoints.
func BenchmarkEndlessAnswers(b *testing.B) {
	const memory, requests = 144 << 20, 20
	limits := Limits{AnswerBytes: memory / 20, HeldAnswerBytes: memory / 10, HeldBytes: memory / 5}
	// As the program sets it on the platform.
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	for _, shape := range append(append(append([]endless.Shape{}, endless.Heads...), endless.Bodies...), endless.Streams...) {
		for _, stream := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s, stream %v", shape.Name, stream), func(b *testing.B) {
				var most uint64
				for range b.N {
					site := newEndlessSite(shape, Target{Stream: stream}, limits, "bad1", "bad2", "bad3")
					site.Protocol = fixedTarget{target: site.Protocol.(fixedTarget).target, timeout: 2 * time.Second}
					h := site.Handler()
					runtime.GC()
					var wg sync.WaitGroup
					for range requests {
						wg.Go(func() { site.send(h) })
					}
					done := make(chan struct{})
					go func() {
						wg.Wait()
						close(done)
					}()
					most = max(most, peakHeap(done))
				}
				b.ReportMetric(float64(most)/(1<<20), "peakMB")
			})
		}
	}
}

// peakHeap returns the largest heap until done, in bytes, with what is not collected yet.
func peakHeap(done <-chan struct{}) uint64 {
	var most uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapAlloc)
		select {
		case <-done:
			return most
		case <-time.After(time.Millisecond):
		}
	}
}
