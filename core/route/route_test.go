package route

import (
	"errors"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"olivetiller/core/customer"
)

func config() *Config {
	s := []Share{{Service: "s", Weight: 1}}
	return &Config{
		Version:  1,
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/", Services: s},
			{Name: "long", Host: "h", Prefix: "/a/b/", Services: s},
			{Name: "other", Host: "i", Prefix: "/", Services: s},
			{Name: "split", Host: "j", Prefix: "/", Services: []Share{{"s", 90}, {"t", 10}}},
		},
	}
}

// TestMatch checks that the route with the longest matching prefix of the host is found.
func TestMatch(t *testing.T) {
	table, err := New(config())
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h", "/a/b", "short"},
		{"h", "/a", ""},
		{"h", "/", ""},
		{"i", "/a/b/", "other"},
		{"k", "/a/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("Match(%q, %q) = %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

// TestPick checks the split of a route between services, and that an id always gets the same service.
func TestPick(t *testing.T) {
	table, err := New(config())
	if err != nil {
		t.Fatal(err)
	}
	r := table.Match("j", "/")
	n := 0
	for i := range 10000 {
		id := strconv.Itoa(i)
		service := r.Pick(id)
		if again := r.Pick(id); again != service {
			t.Fatalf("Pick(%s) = %s, then %s", id, service, again)
		}
		if service == "t" {
			n++
		}
	}
	if n < 800 || n > 1200 {
		t.Errorf("%d of 10000 requests went to the service with a tenth of the weight, want 800 to 1200", n)
	}
}

// TestFaults checks that an invalid configuration is refused with the name of the route at fault.
func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *Config)
		want   Fault
	}{
		{"no service", func(c *Config) { c.Routes[0].Services = nil }, Fault{"short", "the route names no service"}},
		{"unknown service", func(c *Config) { c.Routes[1].Services = []Share{{"x", 1}} }, Fault{"long", `there is no service "x"`}},
		{"priority", func(c *Config) { c.Routes[1].Priority = -1 }, Fault{"long", "the priority is -1; use 0, the most urgent, or more"}},
		{"prefix", func(c *Config) { c.Routes[2].Prefix = "a/" }, Fault{"other", `the prefix "a/" does not begin and end with a slash`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := config()
			tt.change(c)
			_, err := New(c)
			var got Fault
			if !errors.As(err, &got) {
				t.Fatalf("New = %v, want a fault", err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("fault (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRanked checks for which services the configuration states several ranks.
func TestRanked(t *testing.T) {
	tests := []struct {
		name      string
		priority  []int
		customers []customer.Customer
		want      map[string]bool
	}{
		{"equal", []int{3, 3, 3, 3}, nil, map[string]bool{}},
		{"of two services", []int{0, 0, 0, 1}, nil, map[string]bool{"s": true}},
		{"a customer of its own rank", []int{3, 3, 3, 3}, []customer.Customer{{Name: "a"}, {Name: "b", Priority: 1, Ranked: true}}, map[string]bool{"s": true, "t": true}},
		{"a customer of the same rank", []int{3, 3, 3, 3}, []customer.Customer{{Name: "a"}, {Name: "b", Priority: 3, Ranked: true}}, map[string]bool{}},
		{"only customers of one rank", []int{0, 1, 2, 3}, []customer.Customer{{Name: "b", Priority: 3, Ranked: true}}, map[string]bool{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := config()
			c.Customers = tt.customers
			for i := range c.Routes {
				c.Routes[i].Priority = tt.priority[i]
			}
			table, err := New(c)
			if err != nil {
				t.Fatal(err)
			}
			got := make(map[string]bool)
			for _, s := range c.Services {
				if table.Ranked(s.Name) {
					got[s.Name] = true
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("ranked services (-want +got):\n%s", diff)
			}
		})
	}
}
