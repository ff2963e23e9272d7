package main

import (
	"github.com/jonboulle/clockwork"

	"olivetiller/io/boottime"
)

// clock is the clock that the nodes read too.
var clock clockwork.Clock = mustClock()

func mustClock() clockwork.Clock {
	c, err := boottime.New()
	if err != nil {
		panic(err)
	}
	return c
}
