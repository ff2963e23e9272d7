package catalog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	_ "olivetiller/internal/fixedseed"
	pb "olivetiller/proto/olivetiller/v1"
)

func validConfig() *pb.Config {
	v := []*pb.Version{{Name: "v1", WeightBytes: 1}}
	return &pb.Config{
		WeightStores: []*pb.WeightStore{{Name: "s", LoadSlots: 1}},
		Models:       []*pb.Model{{Name: "m", Versions: v, ServingVersion: "v1", MaxReplicas: 1, WeightStore: "s"}},
		Adapters:     []*pb.Adapter{{Name: "a", BaseModel: "m", Versions: v, ServingVersion: "v1", MaxReplicas: 1}},
	}
}

// TestCheck edits a valid configuration so that it becomes invalid, and expects the
// paths of all its faults.
func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		edit func(*pb.Config)
		want []string
	}{
		{"good", func(*pb.Config) {}, nil},
		{"no slots", func(c *pb.Config) { c.WeightStores[0].LoadSlots = 0 }, []string{"weightStores[s].loadSlots"}},
		{"name with a slash", func(c *pb.Config) { c.Models[0].Name = "a/b" }, []string{"models[a/b].name", "adapters[a].baseModel"}},
		{"no version", func(c *pb.Config) { c.Models[0].Versions = nil }, []string{"models[m].versions"}},
		{"several at once", func(c *pb.Config) {
			c.Models[0].MaxReplicas, c.Models[0].WeightStore = 0, "x"
			c.Adapters[0].Name = "m"
		}, []string{"models[m].weightStore", "models[m].maxReplicas", "adapters[m].name"}},
		{"pinned and banned", func(c *pb.Config) { c.Models[0].Pinned, c.Models[0].Banned = true, true }, []string{"models[m].pinned"}},
		{"negative weight", func(c *pb.Config) { c.Weights = &pb.MeasureWeights{IdleHour: -1} }, []string{"weights"}},
		{"objective twice", func(c *pb.Config) {
			c.Objectives = []*pb.Objective{{Name: "refusals", Target: 0.9}, {Name: "refusals", Target: 1}}
		}, []string{"objectives[refusals].name", "objectives[refusals].target"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			cfg := validConfig()
			tc.edit(cfg)
			var got []string
			for _, f := range Check(cfg) {
				got = append(got, f.Path)
				if f.Remedy == "" || f.Problem == "" {
					t.Errorf("%s has no problem or remedy", f.Path)
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("paths (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMergeAppliesDiff checks for random pairs of configurations that merging their
// difference into the first yields the second. Otherwise nodes would apply another
// configuration than the operator published.
func TestMergeAppliesDiff(t *testing.T) {
	draw := func(rt *rapid.T, label string) *pb.Config {
		c := &pb.Config{}
		for _, name := range []string{"a", "b", "c"} {
			if rapid.Bool().Draw(rt, label+name) {
				c.Models = append(c.Models, &pb.Model{Name: name, MaxReplicas: rapid.Uint32Range(0, 2).Draw(rt, label+name+"n")})
			}
			if rapid.Bool().Draw(rt, label+"c"+name) {
				c.Callers = append(c.Callers, &pb.Caller{Name: name})
			}
		}
		if rapid.Bool().Draw(rt, label+"w") {
			c.Weights = &pb.MeasureWeights{IdleHour: rapid.Float64Range(0, 2).Draw(rt, label+"wi")}
		}
		return c
	}
	rapid.Check(t, func(rt *rapid.T) {
		base, next := draw(rt, "base"), draw(rt, "next")
		upsert, remove := Diff(base, next)
		if diff := cmp.Diff(next, Merge(base, upsert, remove), protocmp.Transform()); diff != "" {
			rt.Errorf("merged (-want +got):\n%s", diff)
		}
	})
}
