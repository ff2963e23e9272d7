// Package policy decides how long a replica stays loaded without use, where a
// load goes and what makes room for it.
//
// The problem: tail cold-start time and idle accelerator hours pull against
// each other, and each deployment weighs them in its own way. The model: both
// are costs. A second that a caller waits for a cold start costs
// [Weights.ColdStartSecond], an accelerator hour held idle [Weights.IdleHour];
// every decision takes the smaller expected cost.
//
// [Learner] keeps an inter-arrival histogram of each unit and [Learner.Window]
// chooses from it the time to keep a replica after its last use, and the time
// to load it again before the next use is due. Everything is pure: time comes
// in as an argument.
package policy
