// Package engine gives orders to model engines and reads their status.
//
// The problem: an order may be refused for its fence, may fail, may outlast the
// executor's patience, or may have taken effect though no answer came. The
// model: [Client.Load] and [Client.Unload] return nil when the engine confirmed
// the effect, and otherwise an error of one of four kinds that say what the
// executor may conclude.
//
// The protocol: GET /engine/status; POST /engine/load and /engine/unload with
// the order as JSON answer 204 when the effect has taken place, 409 with
// "staleFence" or "wrongIncarnation" when the order was refused, and any other
// status when it had no effect. Requests for completions go through package
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
)

// Errors of an order.
var (
	// ErrStaleFence: the engine has seen a higher fence; take the order over.
	ErrStaleFence = eris.New("the engine has seen a higher fence; a takeover gives the order a new one")
	// ErrReplaced: the engine is a new incarnation and has nothing loaded.
	ErrReplaced = eris.New("the engine was replaced; it will be registered anew")
	// ErrNoEffect: the engine answered that the order had no effect.
	ErrNoEffect = eris.New("the engine could not carry the order out; see its cause")
	// ErrUnknown: no answer came; the order may have taken effect.
	ErrUnknown = eris.New("the engine did not answer; the order is repeated until it does")
)

// Order is a load or unload.
type Order struct {
	Unit    string `json:"unit"`
	Version string `json:"version"`
	// Base is set for an adapter.
	Base  string `json:"base,omitempty"`
	Bytes uint64 `json:"bytes"`
	// Fence is the order's fencing number.
	Fence uint64 `json:"fence"`
	// Incarnation is that of the engine the order is for.
	Incarnation uint64 `json:"incarnation"`
}

// Unit is one unit in an engine's status.
type Unit struct {
	Unit    string `json:"unit"`
	Version string `json:"version"`
	Phase   string `json:"phase"`
}

// Status is what an engine says of itself.
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

// Client speaks to engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Status asks an engine for its status.
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

// Load orders a load and returns when it has ended.
func (c *Client) Load(ctx context.Context, address string, o Order) error {
	return c.order(ctx, address, "load", o)
}

// Unload orders an unload and returns when the engine has freed the memory.
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
	// Without it net/http could send the order again by itself, after the
	// lease has ended.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	defer resp.Body.Close()
	return outcome(resp)
}

func outcome(resp *http.Response) error {
	if resp.StatusCode == http.StatusNoContent {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	cause := strings.TrimSpace(string(text))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		// A gateway or a full engine may say so after passing the order on.
		return eris.Wrap(ErrUnknown, cause)
	case cause == "staleFence":
		return eris.Wrap(ErrStaleFence, cause)
	case cause == "wrongIncarnation":
		return eris.Wrap(ErrReplaced, cause)
	}
	return eris.Wrap(ErrNoEffect, cause)
}
