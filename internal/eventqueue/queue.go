// Package eventqueue runs the events of simulations in the order of their virtual times.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds the events of a simulation that are still to run. Those of the same time run in the order in which they were
// scheduled. The zero value is an empty queue at time 0.
type Queue struct {
	// Now is the virtual time of the latest event that Next returned.
	Now time.Duration

	events events
	seq    int
}

// At schedules run at a virtual time.
func (q *Queue) At(t time.Duration, run func()) {
	q.seq++
	heap.Push(&q.events, event{t, q.seq, run})
}

// After schedules run after a duration.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.Now+d, run) }

// Next removes the earliest event, moves Now to its time, and returns it. ok is false if no event is due by end.
func (q *Queue) Next(end time.Duration) (run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > end {
		return nil, false
	}
	e := heap.Pop(&q.events).(event)
	q.Now = e.at
	return e.run, true
}

// Run runs the events that are due by end, those that they schedule included.
func (q *Queue) Run(end time.Duration) {
	for run, ok := q.Next(end); ok; run, ok = q.Next(end) {
		run()
	}
}

// event is a function due at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// events is a [heap.Interface]; the earliest event is on top.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements [heap.Interface].
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements [heap.Interface].
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
