// Package boottime provides a clock that includes the time for which the machine was suspended.
//
// Go's monotonic clock, on which durations and timers are based, does not advance during a suspend. After the resume,
// leases, reports and deadlines would look as recent as before it, although they have expired. [Clock] implements
// clockwork.Clock, which all programs of this repository take, on the kernel's CLOCK_BOOTTIME, which also advances
// during a suspend. Each reading compares the two clocks. If they have drifted apart, the machine was suspended: timers
// that are due fire at once, the others are re-armed, and functions registered with [Clock.OnWake] are called with the
// duration. Changes of the time of day have no effect.
package boottime
