package rig

import "olivetiller/io/boottime"

// Clock is the clock of the cases: the machine's, as the nodes read it.
var Clock = newClock()

func newClock() *boottime.Clock {
	c, err := boottime.New()
	if err != nil {
		panic(err)
	}
	return c
}
