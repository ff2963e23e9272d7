package retry

// Standby is the state of a second attempt that runs beside a first one whose endpoint is silent, at the time at which one
// of them must end.
type Standby struct {
	// Opened is true if its endpoint has sent an event or a whole answer, or has failed. Failed is true if it refused the
	// request, broke off or answered with a failure.
	Opened, Failed bool
	// FirstBegan is true if the first attempt has sent a part of the answer.
	FirstBegan bool
}

// Replaces reports whether the standby replaces the first attempt, which is canceled then. Otherwise the standby is, since
// a silent endpoint may go on. Where neither has sent anything, the one that has been silent for less long goes on.
func (s Standby) Replaces() bool {
	if s.Opened {
		return !s.Failed
	}
	return !s.FirstBegan
}
