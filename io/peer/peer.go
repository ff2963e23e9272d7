// Package peer is the HTTP protocol between the nodes of a fleet and the node that holds the lease, the lease
// holder, which plans placement for all of them.
//
// Each node posts a [Report] with its demand to the holder, and long-polls it for a [Snapshot] of what changed since
// the last one that the node received. The holder answers the poll when something changes, or without changes after
// [WatchRequest.Wait], which shows that the holder is running. The holder thus learns of a waiting request, and the
// nodes of a loaded model, within milliseconds; a lost message only adds delay and breaks no guarantee. In a large
// fleet the holder sends snapshots only to some nodes, the feeders, which forward them to their followers (package
// feedtree). A node that can reach neither the holder nor the store asks any other node who holds the lease. Further
// calls request grants from limits, acquire the run locks of isolated requests, exchange quarantine state between
// two nodes, open a tunnel to an endpoint that the caller does not reach, and keep or ask for the records of where
// streams began.
//
// Package internal/placer implements [Holder] and uses [Client].
//
// The messages are not authenticated, because the platform distributes no keys; the addresses are reachable only from
// the system's own machines.
package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"olivetiller/core/answerlimit"
	"olivetiller/core/directory"
	"olivetiller/core/feedtree"
	"olivetiller/core/lease"
	"olivetiller/core/reach"
	"olivetiller/core/route"
	"olivetiller/io/silence"
)

// Timeouts and size limits of the protocol.
const (
	// maxWait bounds how long the holder keeps a watch request open.
	maxWait = 5 * time.Second
	// callTimeout bounds a call, and is added to the wait of a watch request for the round trip. Nodes are a few
	// milliseconds apart.
	callTimeout = 700 * time.Millisecond
	// lookupTimeout bounds a call that asks a node who holds the lease; after it the next node is asked.
	lookupTimeout = 300 * time.Millisecond
	// maxMessageBytes bounds a message other than a snapshot.
	maxMessageBytes = 4 << 20
	// maxSnapshotBytes bounds an uncompressed snapshot; it is enough for about 40,000 endpoints.
	maxSnapshotBytes = 32 << 20
	// snapshotTimeout bounds the transfer of a snapshot that makes progress: a snapshot of 10,000 endpoints takes
	// seconds on a link that many nodes share.
	snapshotTimeout = 10 * time.Second
)

// ErrTooLarge is returned for an answer above its size limit.
var ErrTooLarge = errors.New("the answer exceeds the size limit of a snapshot; run the same release on all nodes, and check which process serves the address")

// ErrNotHolder is returned if the called node does not hold the lease.
var ErrNotHolder = errors.New("the node does not hold the lease; ask the holder that the log names")

// ErrNoHolder is returned if the called node does not know who holds the lease.
var ErrNoHolder = errors.New("the node does not know who holds the lease; ask another node")

// PoolUsage is a node's demand for one unit, which is named by its pool. Waiting counts the requests in the queue,
// Arrivals those that came since the previous report, and Deferred those that were refused with a retry hint since
// then. RunningAt counts the running requests by engine.
type PoolUsage struct {
	Pool string `json:"pool"`
	// Bound is true for requests that only engines of Build may serve.
	Bound    bool            `json:"bound,omitempty"`
	Build    directory.Build `json:"build,omitzero"`
	Waiting  int             `json:"waiting,omitempty"`
	Arrivals int             `json:"arrivals,omitempty"`
	Deferred int             `json:"sentAway,omitempty"`
	// Late counts the answers since the previous report that came late though they had a slot in time.
	Late int `json:"late,omitempty"`
	// ObjectiveMs is the shortest latency objective among the arrivals, in milliseconds; 0 if none has one.
	ObjectiveMs int64 `json:"objectiveMs,omitempty"`
	// UrgentInMs and LastInMs are the times, in milliseconds, until the most urgent and the least urgent waiting
	// request should get a slot; negative if that moment has passed.
	UrgentInMs int64 `json:"urgentInMs,omitempty"`
	LastInMs   int64 `json:"lastInMs,omitempty"`
	// Rank is the most urgent rank among the waiting requests, 0 being the most urgent; 0 also where ranks do not differ.
	Rank      int            `json:"rank,omitempty"`
	RunningAt map[string]int `json:"runningAt,omitempty"`
	// Tokens and LongTokens are the lengths of the prompts, and of the long ones, that came since the previous report.
	Tokens     int `json:"tokens,omitempty"`
	LongTokens int `json:"longTokens,omitempty"`
	// ReadingAt is the length in tokens, by engine, of the long prompts that are not read yet.
	ReadingAt map[string]int `json:"readingAt,omitempty"`
}

// Miss reports that an engine did not hold the unit of a request that it received.
type Miss struct {
	Engine string `json:"engine"`
	Pool   string `json:"pool"`
}

// Report is a node's periodic message to the lease holder.
type Report struct {
	Node string `json:"node"`
	// Address is the host and port at which the node serves its peers.
	Address string `json:"address,omitempty"`
	// Hall is the data hall of the node.
	Hall string `json:"hall,omitempty"`
	// Strength compares machines by capacity: processor cores times link capacity in Mbit/s.
	Strength float64 `json:"strength"`
	// StoreUnreachable is true if the node gets no answer from the store, Stopping once its planned stop has begun.
	StoreUnreachable bool `json:"storeAway,omitempty"`
	Stopping         bool `json:"stopping,omitempty"`
	// CutOff is true if the node reaches many endpoints only by way of other nodes.
	CutOff bool `json:"cutOff,omitempty"`
	// Partitioned is true while the node spends its local share of customers' limits instead of grants of the holder.
	Partitioned bool        `json:"alone,omitempty"`
	Use         []PoolUsage `json:"use"`
	Misses      []Miss      `json:"misses,omitempty"`
	// Suspects is the node's own evidence on requests suspected of crashing engines, if it changed.
	Suspects []Suspect `json:"suspects,omitempty"`
	// Signals are the endpoints' own signals that the node has observed, if they changed.
	Signals []Signal `json:"signals,omitempty"`
	// Gaps are the undisturbed gaps of streams that ended since the previous report.
	Gaps []Gap `json:"gaps,omitempty"`
}

// Snapshot is the lease holder's answer to a watch request: a delta against the requester's version, or the full state.
type Snapshot struct {
	// Term identifies one term of a lease holder. Version rises within it.
	Term    string `json:"life"`
	Fence   uint64 `json:"fence"`
	Version uint64 `json:"version"`
	// Nodes is the largest number of nodes, the holder included, that the holder has recently heard from.
	Nodes int `json:"nodes"`
	// Successor is the node that takes over the lease if the holder falls silent.
	Successor string `json:"successor,omitempty"`
	// Peers are addresses of other nodes to ask for the holder once this one no longer answers, if they changed.
	Peers []string `json:"peers,omitempty"`
	// StoreUnconfirmed is true while the holder gets no answer from the store. The nodes then try the store themselves
	// and report whether they reach it.
	StoreUnconfirmed bool `json:"storeDoubt,omitempty"`
	// Gateways are nodes that connect others to endpoints that these do not reach, if they changed.
	Gateways []reach.Gateway `json:"gateways,omitempty"`
	// Redirect is true if the holder does not send snapshots to the requester. The requester then asks one of Feeders,
	// or the holder again if there are none.
	Redirect bool `json:"redirect,omitempty"`
	// Feeders are the nodes that forward snapshots to followers, if they changed; empty but not nil if there are none.
	Feeders []feedtree.Node `json:"feeders,omitzero"`
	// HolderAgeMs is the age, in milliseconds, of the holder's state when a feeder forwarded it.
	HolderAgeMs int64 `json:"holderAgeMs,omitempty"`
	// HeldMs is how long the watch request was kept open, in milliseconds.
	HeldMs int64 `json:"heldMs"`
	// Full is true for a full snapshot, in which Serving names every engine, not only the changed ones.
	Full bool `json:"whole,omitempty"`
	// Serving maps each engine to the pools that it can serve.
	Serving map[string][]string `json:"serving,omitempty"`
	// Removed lists the engines that the holder has removed.
	Removed []string `json:"gone,omitempty"`
	// ReadyInMs maps the pool of each unit that no engine serves yet to the expected time until one does, in milliseconds.
	ReadyInMs map[string]int64 `json:"readyInMs,omitempty"`
	// Suspects are the shared entries of requests suspected of crashing engines that changed. SuspectsTo is the version
	// that the requester has once it has merged them.
	Suspects   []Suspect `json:"suspects,omitempty"`
	SuspectsTo uint64    `json:"suspectsTo,omitempty"`
	// Signals are the endpoints' own signals that changed. SignalsTo is the version that the requester has once it
	// has merged them.
	Signals   []Signal `json:"signals,omitempty"`
	SignalsTo uint64   `json:"signalsTo,omitempty"`
	// Paces are the paces of endpoints that changed, by name: 1 for the median of the service, 2 for an endpoint that
	// takes twice as long.
	Paces map[string]float64 `json:"paces,omitempty"`
	// Loads are the loads of endpoints that changed, in concurrent requests of all nodes, by name.
	Loads map[string]int `json:"loads,omitempty"`
	// Lanes holds, by pool, the models for which it changed whether their long prompts are kept apart from streams.
	Lanes map[string]bool `json:"lanes,omitempty"`
	// VerdictsKnown is true once the holder has read the quarantine verdicts from the store.
	VerdictsKnown bool `json:"verdictsKnown,omitempty"`
	StoreState
	// Shared repeats Serving and Instances of a full snapshot that many nodes receive in the same form, so that they are
	// encoded once; nil if they are specific to this requester.
	Shared *Shared `json:"-"`
}

// StoreState is the state that the holder has read from the store, so that the other nodes need not read it.
type StoreState struct {
	// AgeMs is the time since the holder last read the store to its end, in milliseconds.
	AgeMs int64 `json:"feedAgeMs"`
	// ConfigAgeMs is the longest time, in milliseconds, for which a configuration newer than ConfigVersion may have
	// been in force; nil if the sender has none or does not report it.
	ConfigAgeMs *int64 `json:"configAgeMs,omitempty"`
	// ConfigVersion is the version of the sender's configuration, to which ConfigAgeMs belongs; 0 if the sender does not
	// state it, which then belongs to the version that the requester has.
	ConfigVersion int64 `json:"configVersion,omitempty"`
	// ConfigReadTo is a position of the operators' topic before which all records are known to the sender and can be
	// read: a requester that has ConfigVersion and Evacuations may read on from there. 0 if the sender knows none.
	ConfigReadTo uint64 `json:"configReadTo,omitempty"`
	// Lease is the latest record of the lease topic, at LeaseOffset, without its list of nodes. That list is Takers, if
	// it changed.
	Lease       lease.Record `json:"lease"`
	LeaseOffset uint64       `json:"leaseOffset"`
	Takers      []string     `json:"takers,omitempty"`
	// Config is the configuration in force, if the requester has an older one.
	Config *route.Config `json:"config,omitempty"`
	// Instances are the changed entries of the endpoint directory, or all of them in a full snapshot, without the
	// models that engines hold.
	Instances []directory.Record `json:"instances,omitempty"`
	// Evacuations is the set of data halls being evacuated, if it changed.
	Evacuations *Evacuations `json:"evacuations,omitempty"`
	// DirectoryVersion is the version up to which the endpoint directory has been read.
	DirectoryVersion uint64 `json:"listedTo"`
}

// Evacuations is the set of data halls being evacuated, as of an offset of the operator topic.
type Evacuations struct {
	Halls []string `json:"halls,omitempty"`
	AsOf  uint64   `json:"asOf"`
}

// LeaseMark is the latest lease record that a node knows, and its offset in the lease topic.
type LeaseMark struct {
	Record lease.Record `json:"record"`
	Offset uint64       `json:"offset"`
}

// WatchRequest is a node's watch request to the lease holder or to a feeder.
type WatchRequest struct {
	Node string
	// Life and Version identify the latest snapshot that the node has received; Life is its Snapshot.Term.
	Life    string
	Version uint64
	// Config is the version of the configuration that the node has.
	Config int64
	// SuspectsTo is the version of the holder's suspects, within Life, that the node has merged.
	SuspectsTo uint64
	// SignalsTo is the version of the holder's endpoint signals, within Life, that the node has merged.
	SignalsTo uint64
	// Wait is how long the holder may keep the request open without a change.
	Wait time.Duration
	// Address, Hall and Strength have the meaning of the same fields of Report.
	Address, Hall string
	Strength      float64
	// Feeder is true for a request to a feeder; Orphan is true for a request to the holder by a node that has no feeder.
	Feeder, Orphan bool
}

// Holder is the server side of the protocol, which every node implements. Calls that need the lease fail on a node that
// does not hold it.
type Holder interface {
	// Reported merges a node's report.
	Reported(r *Report) error
	// Watch returns what changed since the requester's snapshot, and waits up to WatchRequest.Wait for a change.
	Watch(ctx context.Context, q WatchRequest) (*Snapshot, error)
	// LeaseMark returns the latest lease record that the node knows, or nil if it knows no holder.
	LeaseMark() *LeaseMark
	// HandleGrant answers a request for a grant from the limit of a customer or of an endpoint.
	HandleGrant(q *GrantRequest) (*Grant, error)
	// HandleRunLock acquires or releases the lock under which copies of an isolated request run one at a time.
	HandleRunLock(q *RunLockRequest) (*RunLock, error)
	Exchanger
}

const (
	pathReport = "/peer/report"
	pathWatch  = "/peer/watch"
	pathLease  = "/peer/lease"
)

// Handler returns the HTTP handler that serves a Holder, tunnels to endpoints, and the records of where streams began.
func Handler(h Holder, o Opener, k OriginKeeper, clock clockwork.Clock) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathOrigins, handleOrigins(k))
	mux.HandleFunc("POST "+pathOrigin, handleOrigin(k))
	mux.HandleFunc("POST "+pathTunnel, handleTunnel(o, clock))
	mux.HandleFunc("POST "+pathReport, func(w http.ResponseWriter, r *http.Request) {
		report, ok := readJSON[Report](w, r, maxMessageBytes)
		if !ok {
			return
		}
		if err := h.Reported(&report); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+pathWatch, func(w http.ResponseWriter, r *http.Request) {
		q, err := parseWatchRequest(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s, err := h.Watch(r.Context(), q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		raw, encoding, err := snapshotBody(s, acceptsGzip(r))
		writeBody(w, raw, encoding, err)
	})
	mux.HandleFunc("GET "+pathLease, func(w http.ResponseWriter, r *http.Request) {
		mark := h.LeaseMark()
		if mark == nil {
			http.Error(w, ErrNoHolder.Error(), http.StatusNotFound)
			return
		}
		writeJSON(w, r, mark)
	})
	mux.HandleFunc("POST "+pathGrant, handleGrant(h))
	mux.HandleFunc("POST "+pathRunLock, handleRunLock(h))
	mux.HandleFunc("POST "+pathExchange, handleExchange(h))
	return mux
}

// minGzipBytes is the length from which an answer is compressed. A full snapshot of 90 engines has about 40 KB, and
// all nodes request one when a new holder takes over, possibly through a 10 Mbit/s link.
const minGzipBytes = 2 << 10

// readJSON decodes the message of a request of at most limit bytes. If it cannot, it answers with the error and returns
// false.
func readJSON[T any](w http.ResponseWriter, r *http.Request, limit int64) (message T, ok bool) {
	if err := json.NewDecoder(io.LimitReader(r.Body, limit)).Decode(&message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return message, false
	}
	return message, true
}

// writeJSON encodes a message and writes it as the answer.
func writeJSON(w http.ResponseWriter, r *http.Request, message any) {
	raw, err := json.Marshal(message)
	encoding := ""
	if err == nil && len(raw) >= minGzipBytes && acceptsGzip(r) {
		raw, encoding = compress(raw), encodingGzip
	}
	writeBody(w, raw, encoding, err)
}

// encodingGzip is the HTTP content coding of compressed answers.
const encodingGzip = "gzip"

func acceptsGzip(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip)
}

// writeBody writes an encoded answer, or status 500 if encoding it failed.
func writeBody(w http.ResponseWriter, raw []byte, encoding string, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if encoding != "" {
		w.Header().Set("Content-Encoding", encoding)
	}
	// A failed write means that the node has disconnected.
	_, _ = w.Write(raw)
}

// compressors pools gzip writers, which take most of a megabyte each.
var compressors = sync.Pool{New: func() any {
	// NewWriterLevel fails only for an invalid level.
	z, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return z
}}

// compress returns a message in gzip form. It writes to a buffer and not to the connection, which may block and would
// keep the pooled writer busy.
func compress(raw []byte) []byte {
	z := compressors.Get().(*gzip.Writer)
	defer compressors.Put(z)
	var out bytes.Buffer
	z.Reset(&out)
	// Writes to a bytes.Buffer do not fail.
	_, _ = z.Write(raw)
	_ = z.Close()
	return out.Bytes()
}

func (q WatchRequest) values() url.Values {
	return url.Values{
		"node": {q.Node}, "life": {q.Life}, "version": {strconv.FormatUint(q.Version, 10)}, "config": {strconv.FormatInt(q.Config, 10)}, "suspects": {strconv.FormatUint(q.SuspectsTo, 10)},
		"signals": {strconv.FormatUint(q.SignalsTo, 10)},
		"waitMs":  {strconv.FormatInt(q.Wait.Milliseconds(), 10)},
		"address": {q.Address}, "hall": {q.Hall}, "strength": {strconv.FormatFloat(q.Strength, 'g', -1, 64)},
		"feeder": {strconv.FormatBool(q.Feeder)}, "orphan": {strconv.FormatBool(q.Orphan)},
	}
}

func parseWatchRequest(v url.Values) (WatchRequest, error) {
	version, err := strconv.ParseUint(v.Get("version"), 10, 64)
	if err != nil {
		return WatchRequest{}, fmt.Errorf("version: %w", err)
	}
	config, err := strconv.ParseInt(v.Get("config"), 10, 64)
	if err != nil {
		return WatchRequest{}, fmt.Errorf("config: %w", err)
	}
	suspects, err := parseVersion(v, "suspects")
	if err != nil {
		return WatchRequest{}, err
	}
	signals, err := parseVersion(v, "signals")
	if err != nil {
		return WatchRequest{}, err
	}
	wait, err := strconv.ParseInt(v.Get("waitMs"), 10, 64)
	if err != nil {
		return WatchRequest{}, fmt.Errorf("waitMs: %w", err)
	}
	// Nodes of the previous release send no strength.
	strength, _ := strconv.ParseFloat(v.Get("strength"), 64)
	return WatchRequest{
		Address: v.Get("address"), Hall: v.Get("hall"), Strength: max(0, strength), Feeder: v.Get("feeder") == "true", Orphan: v.Get("orphan") == "true",
		Node: v.Get("node"), Life: v.Get("life"), Version: version, Config: config, SuspectsTo: suspects, SignalsTo: signals,
		Wait: time.Duration(max(0, min(maxWait.Milliseconds(), wait))) * time.Millisecond,
	}, nil
}

// parseVersion parses a version parameter. It returns 0 if it is absent, as from nodes of an earlier release.
func parseVersion(v url.Values, name string) (uint64, error) {
	raw := v.Get(name)
	if raw == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(raw, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return n, nil
}

// Client calls other nodes, above all the lease holder. It is safe for concurrent use.
type Client struct {
	http *http.Client
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a client that connects with a dialer.
func NewClient(d *net.Dialer) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 3, IdleConnTimeout: silence.PoolTimeout, MaxResponseHeaderBytes: answerlimit.HeadBytes}}, dial: d.DialContext}
}

// CloseIdleConnections closes the idle keep-alive connections.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Report posts a report to the lease holder at an address.
func (c *Client) Report(ctx context.Context, address string, r *Report) error {
	return c.post(ctx, callTimeout, address+pathReport, r, nil)
}

// post posts a message with a timeout and decodes the response into answer unless that is nil.
func (c *Client) post(ctx context.Context, timeout time.Duration, address string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return c.do(req, answer)
}

// Watch requests from the holder or feeder at an address what changed since the snapshot that q names.
func (c *Client) Watch(ctx context.Context, address string, q WatchRequest) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+snapshotTimeout)
	defer cancel()
	// A long answer is aborted when it stalls, not when it takes long as a whole.
	progress, stop := silence.Watch(cancel, q.Wait+callTimeout, callTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathWatch+"?"+q.values().Encode(), nil)
	if err != nil {
		return nil, err
	}
	var s Snapshot
	if err := c.doWithLimit(req, &s, maxSnapshotBytes, progress); err != nil {
		return nil, err
	}
	return &s, nil
}

// Lease asks the node at an address for the latest lease record that it knows.
func (c *Client) Lease(ctx context.Context, address string) (*LeaseMark, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathLease, nil)
	if err != nil {
		return nil, err
	}
	var m LeaseMark
	if err := c.do(req, &m); err != nil {
		return nil, err
	}
	return &m, nil
}

func (c *Client) do(req *http.Request, answer any) error {
	return c.doWithLimit(req, answer, maxMessageBytes, func() {})
}

// doWithLimit makes a call whose answer may have up to limit bytes, and calls progress after each read of it.
func (c *Client) doWithLimit(req *http.Request, answer any, limit int64, progress func()) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(silence.Reader{R: resp.Body, Progress: progress}, limit+1))
	switch {
	case err != nil:
		return err
	case int64(len(raw)) > limit:
		return ErrTooLarge
	case resp.StatusCode == http.StatusConflict:
		return ErrNotHolder
	case resp.StatusCode == http.StatusNotFound:
		return ErrNoHolder
	case resp.StatusCode/100 != 2:
		return fmt.Errorf("peer: status %03d: %.256s", resp.StatusCode, raw)
	case answer == nil:
		return nil
	}
	return decodeAll(raw, answer)
}
