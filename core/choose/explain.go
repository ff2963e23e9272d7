package choose

import "time"

// Closure is why a replica does not admit a request.
type Closure uint8

// Reasons.
const (
	// Open replicas admit the request.
	Open Closure = iota
	// Reported means that the replica has reported that it takes no requests now, or not this one.
	Reported
	// WindowFull means that this node has as many requests there as its window allows.
	WindowFull
	// Ejected means that recent failures keep requests away.
	Ejected
)

var closureNames = [...]string{"open", "reported", "windowFull", "ejected"}

// String returns the name of the reason.
func (c Closure) String() string { return closureNames[c] }

// closure returns why the replica does not admit a request now.
func (r *Replica) closure(now time.Time) Closure {
	switch {
	case r.Closed:
		return Reported
	case !r.Window.HasRoom(r.Running, now):
		return WindowFull
	case !r.Health.Admits(now, r.Running):
		return Ejected
	}
	return Open
}

// Verdict is what Pick decides about one replica by.
type Verdict struct {
	Closure Closure
	// Score is the load of the replica with all penalties; the least one is chosen among open replicas.
	Score int
}

// Explain returns the verdict on each replica.
func Explain(replicas []Replica, now time.Time) []Verdict {
	out := make([]Verdict, 0, len(replicas))
	for i := range replicas {
		out = append(out, Verdict{replicas[i].closure(now), replicas[i].score(now)})
	}
	return out
}
