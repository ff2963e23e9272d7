// Package boottime is a clock that counts the time for which the machine was suspended.
//
// The problem: the clock by which Go measures spans and lets timers fire stands still while a machine is
// suspended. After the wake, whatever was believed before looks as young as it was then: a lease that
// ran out, a report, a deadline. The model: [Clock] implements the clock that all programs take, and reads
// the kernel's CLOCK_BOOTTIME, which goes on. Each reading compares it with the clock that stood
// still; where they have drifted apart, timers that are due fire at once, the others are set anew, and
// those who asked for it are told how long the machine slept. Steps of the time of day change nothing.
package boottime
