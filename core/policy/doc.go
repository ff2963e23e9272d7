// Package policy decides how long a replica stays loaded without use, when it is
// loaded before anybody asks, where a load goes and what makes room for it.
//
// The problem: tail cold-start time and idle accelerator hours pull against
// each other, and each deployment weighs them in its own way. The model: both
// are costs. A second that a request waits for a cold start costs
// [Weights.ColdStartSecond], an accelerator hour held idle [Weights.IdleHour];
// every decision takes the smaller expected cost.
//
// [Learner] keeps for each unit how long its pauses last, at what time of day it
// wakes, how long its loads take and how many requests a cold start keeps
// waiting. [Costed] asks of a unit that nothing uses: is there a time ahead
// within which its next use is likely enough to pay for holding it until then?
// Everything is pure: time comes in as an argument.
package policy
