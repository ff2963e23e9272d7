// Package engine sends load and unload orders to model engines and reads their status.
//
// An engine may refuse an order because of its fence, may fail, may take longer than the caller waits, or may have
// executed the order although no answer arrived. [Client.Load] and [Client.Unload] return nil once the engine has
// confirmed the effect, and otherwise one of four errors that state what the caller may conclude. Package
// internal/control uses the client.
//
// The protocol: GET /engine/status returns a [Status]. POST /engine/load and /engine/unload with an [Order] as JSON
// answer 204 once the order has taken effect, 409 with "staleFence" or "wrongIncarnation" if the order was refused,
// 503 if its effect is unknown, and any other status if it had no effect. Completion requests go through package
// endpoint.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"olivetiller/core/answerlimit"
	"olivetiller/io/silence"
)

// Errors of an order.
var (
	// ErrStaleFence means that the engine has seen an order with a higher fence and refused this one.
	ErrStaleFence = eris.New("the engine has seen a higher fence; the order must be taken over with a new fence")
	// ErrReplaced means that the engine restarted as a new incarnation, which holds no models.
	ErrReplaced = eris.New("the engine was replaced; it will be registered again")
	// ErrNoEffect means that the engine answered that the order had no effect.
	ErrNoEffect = eris.New("the engine could not execute the order; see the cause")
	// ErrUnknown means that no conclusive answer arrived, so the order may have taken effect.
	ErrUnknown = eris.New("the engine did not answer; the order is repeated until it does")
)

// Order is the body of a load or unload order.
type Order struct {
	Unit    string `json:"unit"`
	Version string `json:"version"`
	// Base is the base model if the unit is an adapter.
	Base  string `json:"base,omitempty"`
	Bytes uint64 `json:"bytes"`
	// Fence is the fencing token of the order; engines refuse an order with a lower one than they have seen.
	Fence uint64 `json:"fence"`
	// Incarnation is the incarnation of the engine that the order is meant for.
	Incarnation uint64 `json:"incarnation"`
}

// Unit is the state of one unit in an engine's status. Phase is whether it is loading, loaded or unloading.
type Unit struct {
	Unit    string `json:"unit"`
	Version string `json:"version"`
	Phase   string `json:"phase"`
}

// Status is the state that an engine reports. Running is the number of running requests, Leaving is true if the engine
// is draining, Units are the loaded units and those in transition, and OnDisk lists the units whose weights are on
// the local disk, as unit@version.
type Status struct {
	Instance     string   `json:"instance"`
	Incarnation  uint64   `json:"incarnation"`
	Hall         string   `json:"hall"`
	MemoryBytes  uint64   `json:"memoryBytes"`
	UsedBytes    uint64   `json:"usedBytes"`
	ChecksFences bool     `json:"checksFences"`
	Running      int      `json:"running"`
	Leaving      bool     `json:"leaving"`
	Units        []Unit   `json:"units"`
	OnDisk       []string `json:"onDisk"`
}

const maxStatusBytes = 1 << 20

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: silence.PoolTimeout, MaxResponseHeaderBytes: answerlimit.HeadBytes}}}
}

// Status returns an engine's status, or ErrUnknown.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var st Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/engine/status", nil)
	if err != nil {
		return st, eris.Wrap(err, "status")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return st, eris.Wrap(ErrUnknown, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return st, eris.Wrapf(ErrUnknown, "status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&st); err != nil {
		return st, eris.Wrap(ErrUnknown, err.Error())
	}
	return st, nil
}

// Load orders an engine to load a unit, and returns once the engine has confirmed or refused it or ctx ends.
func (c *Client) Load(ctx context.Context, address string, o Order) error {
	return c.order(ctx, address, "load", o)
}

// Unload orders an engine to unload a unit, and returns once the engine has freed the memory.
func (c *Client) Unload(ctx context.Context, address string, o Order) error {
	return c.order(ctx, address, "unload", o)
}

func (c *Client) order(ctx context.Context, address, verb string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, verb)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/engine/"+verb, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, verb)
	}
	// With GetBody set, net/http could repeat the order on its own after the lease has expired.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	defer resp.Body.Close()
	return responseError(resp)
}

func responseError(resp *http.Response) error {
	if resp.StatusCode == http.StatusNoContent {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	cause := strings.TrimSpace(string(text))
	switch {
	case resp.StatusCode < http.StatusOK:
		return eris.Wrapf(ErrUnknown, "status %03d, which answers no order", resp.StatusCode)
	case resp.StatusCode == http.StatusServiceUnavailable:
		// A gateway, or an engine at capacity, may answer so after the order was passed on.
		return eris.Wrap(ErrUnknown, cause)
	case cause == "staleFence":
		return eris.Wrap(ErrStaleFence, cause)
	case cause == "wrongIncarnation":
		return eris.Wrap(ErrReplaced, cause)
	}
	return eris.Wrap(ErrNoEffect, cause)
}
