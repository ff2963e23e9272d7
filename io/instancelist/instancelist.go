// Package instancelist reads the platform's list of live and leaving instances.
//
// The list lags, so it is evidence and not truth: what leaves may be missing
// from it, and what is gone may still be in it. The protocol: GET /instances
// answers {"instances": [...]}; PUT /instances/{id}/state with {"state"} says
// that an instance is leaving.
package instancelist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// Kind is the kind of an instance.
type Kind string

// Kinds.
const (
	KindNode    Kind = "node"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// StateLeaving marks an instance that takes no new work.
const StateLeaving = "leaving"

// Instance is one entry of the list.
type Instance struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Service names the plain service of a KindService instance.
	Service string `json:"service,omitempty"`
	// Address is host and port; of a node, where its peers reach it.
	Address string `json:"address"`
	Hall    string `json:"hall"`
	State   string `json:"state"`
}

// ErrUnavailable is returned when the list cannot be read.
var ErrUnavailable = eris.New("the instance list is unavailable; the last one read stays in use")

const maxListBytes = 32 << 20

// Client reads the list.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the list at address, host and port.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{}}
}

// List returns the list as it shows now.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/instances", nil)
	if err != nil {
		return nil, eris.Wrap(err, "list")
	}
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	if err := c.do(req, &answer); err != nil {
		return nil, err
	}
	return answer.Instances, nil
}

// SayLeaving tells the platform that an instance is leaving.
func (c *Client) SayLeaving(ctx context.Context, id string) error {
	body, err := json.Marshal(struct {
		State string `json:"state"`
	}{StateLeaving})
	if err != nil {
		return eris.Wrap(err, "say leaving")
	}
	u := "http://" + c.address + "/instances/" + url.PathEscape(id) + "/state"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, u, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "say leaving")
	}
	return c.do(req, nil)
}

func (c *Client) do(req *http.Request, into any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return eris.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(into); err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}
