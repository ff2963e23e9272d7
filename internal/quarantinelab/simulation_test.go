package quarantinelab

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// mostLate is how often a request may be sent by nodes in touch after it has ended the third engine and
// all had time to hear of it, by the users' rules.
const mostLate = 3

// deployments are what the mechanism must hold on.
var deployments = []struct {
	name   string
	change func(c *Config)
}{
	{"plain", func(*Config) {}},
	{"a fifth of the engines end by themselves", func(c *Config) { c.Outside = 0.2 }},
	{"all engines end twice by themselves, two at a time", func(c *Config) { c.Outside, c.Rack = 2, 2 }},
	{"engines end late", func(c *Config) { c.Crash = 2 * time.Second }},
	{"the holder is lost", func(c *Config) { c.HolderLost = 6 }},
	{"nodes stand still, others start anew, messages are lost", func(c *Config) { c.Frozen, c.Replaced, c.Drop = 8, 8, 0.1 }},
	{"one attempt a try", func(c *Config) { c.Attempts = 1 }},
	{"three attempts a try", func(c *Config) { c.Attempts = 3 }},
	{"three engines", func(c *Config) { c.Engines, c.Rate = 3, 15 }},
}

// TestSeries plays series of requests that end engines, and counts what they cost.
func TestSeries(t *testing.T) {
	const seeds = 8
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			var ends []int
			proper, bystanders := 0, 0
			for seed := range uint64(seeds) {
				cfg := Default
				cfg.Seed = seed + 1
				d.change(&cfg)
				r := Run(cfg)
				ends = append(ends, r.Before...)
				proper, bystanders = proper+r.Proper, bystanders+r.Bystanders
				if late := slices.Max(r.Late); late > mostLate {
					t.Errorf("seed %d: sent %d times after the third end, want %d at most", cfg.Seed, late, mostLate)
				}
			}
			slices.Sort(ends)
			if median := ends[len(ends)/2]; median > 3 {
				t.Errorf("engines lost to one request at the median: %d until its verdict, want 3 at most", median)
			}
			// On three engines, of which most are down most of the time, every proper request has met
			// such an end; elsewhere one in some ten thousand is refused.
			if limit := proper / 250; bystanders > limit {
				t.Errorf("%d of %d proper requests were refused, want %d at most", bystanders, proper, limit)
			}
		})
	}
}

// TestWithout checks that the experiment shows the fault where the mechanism is off.
func TestWithout(t *testing.T) {
	cfg := Default
	cfg.Off = true
	r := Run(cfg)
	if least := slices.Min(r.Ends); least < 20 {
		t.Errorf("a request ended %d engines without the mechanism: the fault is gone", least)
	}
	if late := slices.Max(r.Late); late <= mostLate {
		t.Errorf("sent %d times after the third end without the mechanism", late)
	}
}

// TestSameSeed checks that a seed gives the same figures each time.
func TestSameSeed(t *testing.T) {
	cfg := Default
	cfg.HolderLost, cfg.Drop, cfg.Frozen, cfg.Replaced, cfg.Outside = 4, 0.1, 4, 4, 0.5
	if diff := cmp.Diff(Run(cfg), Run(cfg)); diff != "" {
		t.Errorf("two runs of one seed (-first +second):\n%s", diff)
	}
}
