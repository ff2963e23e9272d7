package directory

// Start is when an endpoint started, by its own clock, in Unix milliseconds: it tells two
// lives of an endpoint under one id apart. 0 where the endpoint does not tell it.
//
// Starts are ordered by that clock. Where it was set back between two starts, the later one
// seems older until it has passed the earlier: what is known of the earlier start then
// stands until the endpoint's counts contradict it.
type Start int64

// Newer reports whether s is surely a later start than o.
func (s Start) Newer(o Start) bool { return s != 0 && o != 0 && s > o }

// Older reports whether s is surely an earlier start than o: what was said under it is void.
func (s Start) Older(o Start) bool { return o.Newer(s) }
