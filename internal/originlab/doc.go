// Package originlab simulates in virtual time how the node that takes a stream up learns the build at which the stream
// began, for several designs: it counts the streams that go on, those that are refused, those that go on at a wrong build,
// and what the design costs. The same seed gives the same figures. Its callers are the streams command of olivebench and
// the tests.
//
// The simulation uses the same [origin.Registry], [origin.Order] and [origin.Ledger] as a running node. Streams begin and
// break off at random; their callers come back at random nodes. Nodes are killed, stopped in turn, cut apart or killed all
// at once, while the builds that serve change. Engines always have room, so that only knowledge decides.
package originlab
