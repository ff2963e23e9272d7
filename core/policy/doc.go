// Package policy decides how long an idle replica stays loaded, when a unit is
// loaded before it is requested (prewarming), on which engine a load is placed
// and which replicas are evicted for it. The planner (package plan) calls it.
//
// Tail latency of cold starts and idle accelerator hours are opposite goals, and
// each deployment weighs them differently. Both are therefore expressed as costs:
// each second that a request waits for a cold start costs
// [Weights.ColdStartSecond], each accelerator hour held idle costs
// [Weights.IdleHour]. Every decision takes the option with the lower expected
// cost.
//
// [Learner] learns for each unit the distribution of pauses between uses, the
// times of day at which its use starts, its load time and the number of requests
// that a cold start delays. [Costed] keeps an idle unit loaded if there is a
// horizon within which the next use is likely enough to pay for the idle time
// until then. [Place] chooses the engine and the evictions. [Fixed] is the
// baseline with a constant keep time.
//
// The package reads no clock and does no I/O; times are arguments.
package policy
