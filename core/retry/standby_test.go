package retry

import "testing"

func TestStandbyReplaces(t *testing.T) {
	tests := []struct {
		name string
		s    Standby
		want bool
	}{
		{"sends an event", Standby{Opened: true, FirstBegan: true}, true},
		{"sends the first event", Standby{Opened: true}, true},
		{"refuses a begun stream", Standby{Opened: true, Failed: true, FirstBegan: true}, false},
		{"refuses a request", Standby{Opened: true, Failed: true}, false},
		{"as silent as the endpoint of a begun stream", Standby{FirstBegan: true}, false},
		{"as silent as an endpoint that has sent nothing", Standby{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.s.Replaces(); got != tt.want {
				t.Errorf("Replaces() = %v, want %v", got, tt.want)
			}
		})
	}
}
