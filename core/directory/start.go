package directory

// Start is when an endpoint's process started, in Unix milliseconds by the endpoint's own clock. It
// distinguishes two incarnations of an endpoint with the same id. It is 0 if the endpoint does not publish it.
//
// Starts are ordered by that clock. If the clock was set back between two starts, the later start seems
// older until the clock has passed the earlier one. Until then the state known of the earlier
// incarnation is kept, unless the endpoint's own counts contradict it.
type Start int64

// Newer reports whether s is known to be a later start than o; false if either is 0.
func (s Start) Newer(o Start) bool { return s != 0 && o != 0 && s > o }

// Older reports whether s is known to be an earlier start than o, so that information about the
// incarnation s is obsolete; false if either is 0.
func (s Start) Older(o Start) bool { return o.Newer(s) }
