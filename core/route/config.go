package route

import (
	"time"

	"olivetiller/core/customer"
)

// Repetition states how often a request of a route may run.
type Repetition uint8

// Kinds of repetition.
const (
	// Repeatable means that a request may run any number of times.
	Repeatable Repetition = iota + 1
	// OnceOnly means that a request may run at most once.
	OnceOnly
)

// Config is one complete version of the operators' configuration.
type Config struct {
	// Version increases with every change, by any amount.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Customers are the customers that may send requests; if empty, anybody may.
	Customers []customer.Customer
}

// Route is a host and a path prefix with the rules for their requests.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Services are the services that requests go to, with relative weights; never empty.
	Services   []Share
	Repetition Repetition
	// Stream is true if answers are event streams.
	Stream bool
	// Resumable is true if a broken stream may continue at another engine after the last event received.
	Resumable bool
	// Timeout is the maximum time that a request is held; 0 for no limit.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, counts as in time.
	Objective time.Duration
	// Pause is the maximum pause between two events of a stream that counts as in time.
	Pause time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of endpoints that one request is sent to.
	Attempts int
	// Public is true if requests need no key.
	Public bool
	// Regions are the regions that may serve the requests; empty for all.
	Regions []string
	// Affinity is true if requests name a model and share prompt prefixes, so that cached prefixes matter.
	Affinity bool
}

// Share is a service with its weight among the services of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Connections is the maximum number of open connections to one endpoint, over all callers.
	Connections int
	// ColdStart is how long an endpoint is cold after its start. ColdRate is the number of requests a second
	// that a cold endpoint takes from all nodes together; 0 for no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set if the endpoints are model engines, else nil.
	Engine *Engine
}

// Engine is the configuration of every engine of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the memory for prompts and answers, in tokens.
	CacheTokens int
	// WeightsMB is the memory for the weights of models and adapters together, in MB.
	WeightsMB float64
	// HostMB and DiskMB are the host memory and the disk space, in MB, in which an engine keeps copies of
	// weights that it has loaded; 0 if not stated.
	HostMB, DiskMB float64
	// AdapterSlots is the maximum number of adapters loaded or being loaded.
	AdapterSlots int
	// LoadsPerSecond is the maximum rate of loads from the weight store, over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Model is a model of the catalogue of an engine service.
type Model struct {
	Name      string
	WeightsMB float64
	// Load, Warm and Disk are the durations of a load from the weight store, from the engine's host
	// memory and from its disk. Warm and Disk are 0 if the engines keep no such copies.
	Load, Warm, Disk time.Duration
	// Adapters is the number of adapters of the model.
	Adapters  int
	AdapterMB float64
}

// Limits bounds what callers may send; 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
