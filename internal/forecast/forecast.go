// Package forecast evaluates, from the logs of all nodes, how accurate the nodes' forecasts of load
// times are and what wrong forecasts cost callers. Its caller is the forecast command of
// olivebench.
//
// A request for a model that no engine has loaded is queued or refused depending on when the model
// is expected to be ready. A forecast that is too late refuses a request that could have been
// served in time; one that is too early lets a caller wait in vain. [Read] reads the log lines
// "answered" and "refused" of all nodes, and compares each refusal by forecast with the times at
// which any node served a request of the same pool before the caller would have given up.
package forecast

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// minUnansweredWait is the shortest wait that counts as a wait without an answer. A refusal that
// comes sooner costs the caller no noticeable time.
const minUnansweredWait = 100 * time.Millisecond

// deadlineKind is the kind logged for requests refused because by the forecast they cannot meet
// their deadline.
const deadlineKind = "cannotMakeDeadline"

// Report holds the figures of the logs read.
type Report struct {
	// Requests counts the requests that matched a route; Cold counts those of them that found no
	// replica ready and were answered.
	Requests, Cold int
	// Errors holds the absolute errors of the first forecast of each answered cold request, sorted.
	Errors []time.Duration
	// Hopeless counts the requests refused by forecast. Needless counts those of them whose pool
	// was served by some node before the caller would have given up.
	Hopeless, Needless int
	// Fruitless counts the requests that waited for at least minUnansweredWait and were refused
	// without an attempt at an endpoint. Wasted is the sum of their times.
	Fruitless int
	Wasted    time.Duration
}

// line holds the fields of a log line "answered" or "refused", which a node writes at the end of a
// request.
type line struct {
	Message         string    `json:"@message"`
	Time            time.Time `json:"@timestamp"`
	Pool            string    `json:"pool"`
	Route           string    `json:"route"`
	Kind            string    `json:"kind"`
	Cold            bool      `json:"cold"`
	Attempts        int       `json:"attempts"`
	WaitedMs        int64     `json:"waitedMs"`
	ExpectedMs      int64     `json:"expectedMs"`
	TookMs          int64     `json:"tookMs"`
	AllowedMs       int64     `json:"allowedMs"`
	CallerTimeoutMs int64     `json:"patienceMs"`
}

// start returns when the request arrived.
func (l *line) start() time.Time { return l.Time.Add(-millis(l.TookMs)) }

// callerDeadline returns when the caller would have given up: at the end of the time that the
// request allows, or earlier if the caller's own timeout is shorter.
func (l *line) callerDeadline() time.Time {
	d := millis(l.AllowedMs)
	if p := millis(l.CallerTimeoutMs); p > 0 {
		d = min(d, p)
	}
	return l.start().Add(d)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// maxLineBytes is the longest log line that is read.
const maxLineBytes = 1 << 20

// Read reads the logs of all nodes and returns their figures. Text before the JSON object of a line
// is skipped, so that logs with a prefix can be read unchanged. It returns an error that names the
// line if a line is not valid JSON.
func Read(r io.Reader) (*Report, error) {
	lines, err := readLines(r)
	if err != nil {
		return nil, err
	}
	out := &Report{}
	served := make(map[string][]time.Time)
	for i := range lines {
		l := &lines[i]
		if l.Message == "answered" {
			served[l.Pool] = append(served[l.Pool], l.start().Add(millis(l.WaitedMs)))
		}
	}
	for i := range lines {
		out.add(&lines[i], served[lines[i].Pool])
	}
	slices.Sort(out.Errors)
	return out, nil
}

// readLines returns the lines "answered" and "refused" of requests that matched a route.
func readLines(r io.Reader) ([]line, error) {
	var out []line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for n := 1; sc.Scan(); n++ {
		raw := sc.Bytes()
		at := bytes.IndexByte(raw, '{')
		if at < 0 || !bytes.Contains(raw, []byte(`"answered"`)) && !bytes.Contains(raw, []byte(`"refused"`)) {
			continue
		}
		var l line
		if err := json.Unmarshal(raw[at:], &l); err != nil {
			return nil, fmt.Errorf("line %d is not a log line; pass the standard output of the nodes: %w", n, err)
		}
		if l.Route != "" {
			out = append(out, l)
		}
	}
	return out, sc.Err()
}

// add adds one request to the figures. served holds the times at which requests of its pool got a
// slot at an endpoint.
func (r *Report) add(l *line, served []time.Time) {
	r.Requests++
	switch l.Message {
	case "answered":
		if !l.Cold {
			return
		}
		r.Cold++
		if l.ExpectedMs > 0 {
			r.Errors = append(r.Errors, (millis(l.WaitedMs) - millis(l.ExpectedMs)).Abs())
		}
	case "refused":
		if l.Kind == deadlineKind {
			r.Hopeless++
			if anyWithin(served, l.Time, l.callerDeadline()) {
				r.Needless++
			}
		}
		if took := millis(l.TookMs); l.Attempts == 0 && took >= minUnansweredWait {
			r.Fruitless++
			r.Wasted += took
		}
	}
}

// anyWithin reports whether any of the moments lies between from and to, exclusive.
func anyWithin(moments []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(moments, func(t time.Time) bool { return t.After(from) && t.Before(to) })
}

// Quantile returns the error that the given share of the forecasts does not exceed, or 0 if there
// are no forecasts.
func (r *Report) Quantile(share float64) time.Duration {
	if len(r.Errors) == 0 {
		return 0
	}
	return r.Errors[min(len(r.Errors)-1, int(share*float64(len(r.Errors))))]
}

// Write writes the figures as a table.
func (r *Report) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, `requests                                          %8d
waited for a model, and were answered             %8d
forecast's error, 50th percentile                 %8s
forecast's error, 90th percentile                 %8s
refused by the forecast                           %8d  %5.2f in 100
  of these, the model came before the caller left %8d  %5.2f in 100
waits that ended in nothing                       %8d  %5.2f in 100, %s in all
`, r.Requests, r.Cold, r.Quantile(0.5).Round(time.Millisecond), r.Quantile(0.9).Round(time.Millisecond),
		r.Hopeless, r.percent(r.Hopeless), r.Needless, r.percent(r.Needless), r.Fruitless, r.percent(r.Fruitless), r.Wasted.Round(time.Millisecond))
	return err
}

// percent returns n as a percentage of all requests.
func (r *Report) percent(n int) float64 { return 100 * float64(n) / float64(max(1, r.Requests)) }
