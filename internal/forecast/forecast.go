// Package forecast tells from the nodes' logs how good the forecasts of loads are, and
// what they cost the callers.
//
// The problem: a request for a model that no engine holds is queued or refused by when
// the model is expected; a wrong forecast refuses what would have been served, or lets
// a caller wait for nothing. The model: [Read] takes the lines "answered" and "refused"
// of all nodes, and holds each refusal against what any node served of the same pool
// before the caller would have left.
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

// fruitlessFrom is the wait from which a refusal counts as a wait that ended in nothing:
// below, the caller has its answer at once.
const fruitlessFrom = 100 * time.Millisecond

// hopelessKind is the kind of a refusal by forecast.
const hopelessKind = "cannotMakeDeadline"

// Report is what the logs tell.
type Report struct {
	// Requests counts the requests on routes, Cold those of them that found no replica
	// ready and were answered.
	Requests, Cold int
	// Errors are by how much the first forecasts of answered waits were wrong, sorted.
	Errors []time.Duration
	// Hopeless counts the refusals by forecast, and Needless those of them whose pool
	// was served by some node before the caller would have left.
	Hopeless, Needless int
	// Fruitless counts the waits that ended without an attempt, and Wasted is their time.
	Fruitless int
	Wasted    time.Duration
}

// line is what the logs say of the end of a request.
type line struct {
	Message    string    `json:"@message"`
	Time       time.Time `json:"@timestamp"`
	Pool       string    `json:"pool"`
	Route      string    `json:"route"`
	Kind       string    `json:"kind"`
	Cold       bool      `json:"cold"`
	Attempts   int       `json:"attempts"`
	WaitedMs   int64     `json:"waitedMs"`
	ExpectedMs int64     `json:"expectedMs"`
	TookMs     int64     `json:"tookMs"`
	AllowedMs  int64     `json:"allowedMs"`
	PatienceMs int64     `json:"patienceMs"`
}

func (l *line) start() time.Time { return l.Time.Add(-millis(l.TookMs)) }

// leaves is when the caller would have left.
func (l *line) leaves() time.Time {
	d := millis(l.AllowedMs)
	if p := millis(l.PatienceMs); p > 0 {
		d = min(d, p)
	}
	return l.start().Add(d)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// Read reads the logs of all nodes. What stands before a line's JSON is passed over, so
// that logs with a prefix can be read as they are.
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

func readLines(r io.Reader) ([]line, error) {
	var out []line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for n := 1; sc.Scan(); n++ {
		raw := sc.Bytes()
		at := bytes.IndexByte(raw, '{')
		if at < 0 || !bytes.Contains(raw, []byte(`"answered"`)) && !bytes.Contains(raw, []byte(`"refused"`)) {
			continue
		}
		var l line
		if err := json.Unmarshal(raw[at:], &l); err != nil {
			return nil, fmt.Errorf("line %d is no log line; give the nodes' standard output: %w", n, err)
		}
		if l.Route != "" {
			out = append(out, l)
		}
	}
	return out, sc.Err()
}

// add takes one request in. Served are the moments at which requests of its pool got
// their places.
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
		if l.Kind == hopelessKind {
			r.Hopeless++
			if anyWithin(served, l.Time, l.leaves()) {
				r.Needless++
			}
		}
		if took := millis(l.TookMs); l.Attempts == 0 && took >= fruitlessFrom {
			r.Fruitless++
			r.Wasted += took
		}
	}
}

func anyWithin(moments []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(moments, func(t time.Time) bool { return t.After(from) && t.Before(to) })
}

// Quantile returns the error that a part of the forecasts does not exceed; 0 where there
// are none.
func (r *Report) Quantile(part float64) time.Duration {
	if len(r.Errors) == 0 {
		return 0
	}
	return r.Errors[min(len(r.Errors)-1, int(part*float64(len(r.Errors))))]
}

// Write prints the table.
func (r *Report) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, `requests                                          %8d
waited for a model, and were answered             %8d
forecast's error, 50th percentile                 %8s
forecast's error, 90th percentile                 %8s
refused by the forecast                           %8d  %5.2f in 100
  of these, the model came before the caller left %8d  %5.2f in 100
waits that ended in nothing                       %8d  %5.2f in 100, %s in all
`, r.Requests, r.Cold, r.Quantile(0.5).Round(time.Millisecond), r.Quantile(0.9).Round(time.Millisecond),
		r.Hopeless, r.part(r.Hopeless), r.Needless, r.part(r.Needless), r.Fruitless, r.part(r.Fruitless), r.Wasted.Round(time.Millisecond))
	return err
}

// part is a number of requests in 100 of all.
func (r *Report) part(n int) float64 { return 100 * float64(n) / float64(max(1, r.Requests)) }
