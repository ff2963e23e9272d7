package quarantinelab

import "time"

// Config describes one experiment.
type Config struct {
	Seed uint64
	// Nodes and Engines are the numbers of nodes and engines.
	Nodes, Engines int
	// Duration is the length of the experiment in virtual time.
	Duration time.Duration
	// Rate is the number of harmless requests per second; MeanRun is how long one runs on average.
	Rate    float64
	MeanRun time.Duration
	// Deadly is the number of requests that crash every engine that runs them. Each has an equal
	// part of the experiment, in which callers send it again after RepeatInterval on average.
	// CrashDelay is how long an engine runs such a request until it crashes: from half of it up to
	// all of it.
	Deadly                     int
	RepeatInterval, CrashDelay time.Duration
	// Parts gives each request a prompt. What crashes engines is then a part, and no two of the requests that hold it
	// are alike. Harmless requests share the first of FirstParts parts with them, and the second one with the other
	// requests of a session of SessionRequests; both count as parts that may crash engines. With Victim, all requests
	// that crash engines also hold a part of a caller whose own requests come every VictimInterval.
	Parts                       bool
	FirstParts, SessionRequests int
	Victim                      bool
	VictimInterval              time.Duration
	// UnrelatedShare is the share of the engines that crash for other reasons over the experiment
	// (above 1, engines crash more than once); CrashGroup is how many of them crash at the same
	// moment.
	UnrelatedShare float64
	CrashGroup     int
	// RestartTime is how long an engine takes to restart after a crash.
	RestartTime time.Duration
	// Attempts is the number of engines that a node sends one try of a request to; callers make two
	// tries.
	Attempts int
	// HolderLosses is how often the lease holder is lost; after HolderGap another node takes over.
	HolderLosses int
	HolderGap    time.Duration
	// Pauses is how often a random node pauses, for PauseTime each; Replacements is how often a
	// node is replaced by a new one that knows only the verdicts in the store.
	Pauses       int
	PauseTime    time.Duration
	Replacements int
	// LossRate is the share of messages between nodes that are lost, from 0 to 1.
	LossRate float64
	// Disabled switches the quarantine off.
	Disabled bool
	// ContactTime is how long a node must have run without a pause to count as connected.
	ContactTime time.Duration
}

// Default is a small deployment with three crashing requests, one after the other.
var Default = Config{
	Seed: 1, Nodes: 6, Engines: 9, Duration: 90 * time.Second, Rate: 40, MeanRun: 1500 * time.Millisecond,
	Deadly: 3, RepeatInterval: time.Second, CrashDelay: 80 * time.Millisecond, CrashGroup: 1, RestartTime: 4500 * time.Millisecond, Attempts: 2,
	HolderGap: 3 * time.Second, PauseTime: 4 * time.Second, ContactTime: 3 * time.Second,
	FirstParts: 5, SessionRequests: 4, VictimInterval: 20 * time.Second,
}

// Latencies and intervals of a small deployment.
const (
	// requestLatency is the time of a request from node to engine, and queueTime the mean wait at
	// the engine.
	requestLatency = 3 * time.Millisecond
	queueTime      = 30 * time.Millisecond
	// detectionTime is the time from a crash until a node notices it; it varies between one and two
	// times this value.
	detectionTime = 4 * time.Millisecond
	// reportLatency is the time of a report from a node to the lease holder, pushLatency that of an
	// update from the lease holder to a node; both vary between one and two times their value.
	reportLatency = 15 * time.Millisecond
	pushLatency   = 20 * time.Millisecond
	// retryInterval is the time after which a report or an update that did not arrive is sent
	// again.
	retryInterval = 300 * time.Millisecond
	// exchangeInterval is the time between two rounds in which nodes without a lease holder
	// exchange what they know. In a round each node contacts exchangePeers random nodes among the
	// first exchangeTargets nodes.
	exchangeInterval = 300 * time.Millisecond
	exchangePeers    = 2
	exchangeTargets  = 8
	// callerBackoff is the mean time before a caller makes its second try.
	callerBackoff = 300 * time.Millisecond
	// storeWriteTime is how long the store takes to write a verdict.
	storeWriteTime = 10 * time.Millisecond
)

// Result holds the figures of an experiment.
type Result struct {
	// Proper counts the harmless requests, Served those that got an answer, and Bystanders those
	// that were refused as if they crashed engines.
	Proper, Served, Bystanders int
	// Ends counts the engines that each crashing request crashed, in the order of the series.
	Ends []int
	// Before counts those of Ends that the request crashed before its verdict.
	Before []int
	// Late counts how often connected nodes sent each crashing request later than ContactTime after
	// it had crashed its third engine, or its fifth one if a part crashes engines.
	Late []int
	// VictimRequests counts the requests of the victim, and VictimRefused those that were refused as if they crashed
	// engines.
	VictimRequests, VictimRefused int
	// Everywhere is, for each crashing request, the time from its verdict until the last node that
	// was running at the verdict has received it.
	Everywhere []time.Duration
	// Outside counts the engines that crashed for other reasons.
	Outside int
	// Messages and Bytes count the messages between nodes and their size as encoded on the wire.
	Messages, Bytes int
}
