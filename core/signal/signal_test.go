package signal

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestParseNumber(t *testing.T) {
	tests := []struct {
		name      string
		values    []string
		want      float64
		ok        bool
		malformed string
	}{
		{"absent", nil, 0, false, ""},
		{"a number", []string{"1.8"}, 1.8, true, ""},
		{"blanks around it", []string{" 2 "}, 2, true, ""},
		{"empty", []string{""}, 0, false, `header H of an endpoint's answer is "", want one number above 0`},
		{"zero", []string{"0"}, 0, false, `header H of an endpoint's answer is "0", want one number above 0`},
		{"negative", []string{"-1"}, 0, false, `header H of an endpoint's answer is "-1", want one number above 0`},
		{"no number", []string{"NaN"}, 0, false, `header H of an endpoint's answer is "NaN", want one number above 0`},
		{"without end", []string{"1e999"}, 0, false, `header H of an endpoint's answer is "1e999", want one number above 0`},
		{"twice", []string{"1", "2"}, 0, false, `header H of an endpoint's answer is "1, 2", want one number above 0`},
		{"a date", []string{"Thu, 03 Dec 2026 10:00:00 GMT"}, 0, false, `header H of an endpoint's answer is "Thu, 03 Dec 2026 10:00:00 GMT", want one number above 0`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, malformed := ParseNumber("H", tt.values)
			ok := got > 0
			text := ""
			if malformed != nil {
				text = malformed.Error()
			}
			if got != tt.want || ok != tt.ok || text != tt.malformed {
				t.Errorf("ParseNumber = %v, %t, %q; want %v, %t, %q", got, ok, text, tt.want, tt.ok, tt.malformed)
			}
		})
	}
}

// TestLimitFollowsAnswers guards against a limit that is ended or revived by the wrong answer: one to a request sent
// earlier, a refusal, a malformed one, or one of another incarnation.
func TestLimitFollowsAnswers(t *testing.T) {
	one, two := Incarnation{"i-1", 1}, Incarnation{"i-1", 2}
	named := func(limit float64) Signals { return Signals{Limit: limit, Ran: true} }
	steps := []struct {
		name      string
		of        Incarnation
		signals   Signals
		sent, now time.Duration
		// limits holds the limits of both incarnations afterwards.
		limits [2]float64
		change bool
	}{
		{"nothing", one, named(0), 0, 1, [2]float64{0, 0}, false},
		{"named", one, named(1.8), 1, 10, [2]float64{1.8, 0}, true},
		{"named again", one, named(1.8), 2, 11, [2]float64{1.8, 0}, false},
		{"an answer to a request of before", one, named(0), 5, 12, [2]float64{1.8, 0}, false},
		{"a refusal that does not name it", one, Signals{}, 12, 13, [2]float64{1.8, 0}, false},
		{"damaged", one, Signals{Ran: true, Malformed: []MalformedError{{Name: "H", Value: "x"}}}, 13, 14, [2]float64{1.8, 0}, false},
		{"another one", one, named(1), 14, 15, [2]float64{1, 0}, true},
		{"no longer named", one, named(0), 16, 17, [2]float64{0, 0}, true},
		{"named once more", one, named(3), 18, 19, [2]float64{3, 0}, true},
		{"the next life has said nothing", two, named(0), 20, 21, [2]float64{0, 0}, false},
		{"a late answer of the life before", one, named(3), 19, 22, [2]float64{0, 0}, false},
		{"the next life names one", two, named(2), 23, 24, [2]float64{0, 2}, true},
	}
	b := NewRegistry()
	for _, s := range steps {
		c := b.Observe(s.of, s.signals, at(s.sent), at(s.now))
		if diff := cmp.Diff([2]float64{b.Limit(one), b.Limit(two)}, s.limits); diff != "" || c.Changed() != s.change {
			t.Errorf("%s: change = %t, want %t; limits (-got +want):\n%s", s.name, c.Changed(), s.change, diff)
		}
	}
}

// TestMalformedReportsLimited guards against a log line for each answer of an endpoint whose signals are malformed.
func TestMalformedReportsLimited(t *testing.T) {
	b, reports := NewRegistry(), 0
	s := Signals{Ran: true, Malformed: []MalformedError{{Name: "H", Value: "x"}}}
	for d := time.Duration(0); d < 3*malformedInterval; d += malformedInterval / 20 {
		reports += len(b.Observe(Incarnation{Endpoint: "i-1"}, s, at(d), at(d)).Malformed)
	}
	if reports != 3 {
		t.Errorf("%d reports in 3 periods of %v, want 3", reports, malformedInterval)
	}
}

func TestParseBackoff(t *testing.T) {
	tests := []struct {
		name      string
		values    []string
		want      time.Duration
		malformed bool
	}{
		{"absent", nil, 0, false},
		{"seconds", []string{"3"}, 3 * time.Second, false},
		{"a part of one", []string{"0.25"}, 250 * time.Millisecond, false},
		{"none", []string{"0"}, 0, false},
		{"negative", []string{"-1"}, 0, true},
		{"a date", []string{"Thu, 03 Dec 2026 10:00:00 GMT"}, 0, true},
		{"beyond all use", []string{"1e300"}, 0, true},
		{"no number", []string{"NaN"}, 0, true},
		{"empty", []string{""}, 0, true},
		{"twice", []string{"1", "2"}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, malformed := ParseBackoff("H", tt.values); got != tt.want || (malformed != nil) != tt.malformed {
				t.Errorf("ParseBackoff = %v, %v; want %v, malformed %t", got, malformed, tt.want, tt.malformed)
			}
		})
	}
}

// TestOverlappingBackoffs checks when overlapping backoffs of an endpoint end, and that a backoff asked of another
// node only affects the endpoint's capacity.
func TestOverlappingBackoffs(t *testing.T) {
	incarnation := Incarnation{"i-1", 1}
	b := NewRegistry()
	observe := func(backoff, now time.Duration) bool {
		return b.Observe(incarnation, Signals{Backoff: backoff}, at(now), at(now)).Backoff > 0
	}
	if !observe(3*time.Second, 0) || observe(time.Second, time.Second) {
		t.Error("a backoff within a backoff is reported as a new one")
	}
	if got := b.BackoffUntil(incarnation); !got.Equal(at(3 * time.Second)) {
		t.Errorf("a shorter backoff ends it at %v", got.Sub(start))
	}
	observe(3*time.Second, 2*time.Second)
	if got := b.BackoffUntil(incarnation); !got.Equal(at(5 * time.Second)) {
		t.Errorf("a longer backoff ends at %v, want 5s", got.Sub(start))
	}
	other := NewRegistry()
	for _, w := range b.Since(0) {
		other.Merge(w, at(2*time.Second))
	}
	if got := other.BackoffUntil(incarnation); got.After(at(2 * time.Second)) {
		t.Error("another node's backoff binds this one")
	}
	if got := [2]float64{other.Capacities(at(4 * time.Second)).Of(incarnation), other.Capacities(at(6 * time.Second)).Of(incarnation)}; got != [2]float64{backoffCapacity, 0} {
		t.Errorf("capacity during the backoff and after it = %v", got)
	}
}
