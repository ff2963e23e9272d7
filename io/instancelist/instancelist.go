// Package instancelist is the client of the platform's list of running and draining instances.
//
// The list lags behind, so callers treat it as evidence only: a draining instance may already be missing, and a
// stopped one may still be listed. The protocol: GET /instances answers {"instances": [...]}; PUT
// /instances/{id}/state with {"state"} announces that an instance is draining.
package instancelist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"olivetiller/core/answerlimit"
	"olivetiller/io/silence"
)

// Kind is the kind of an instance.
type Kind string

// The kinds of instances.
const (
	KindNode    Kind = "node"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// StateDraining is the state of a draining instance, which takes no new requests.
const StateDraining = "leaving"

// Instance is one entry of the list.
type Instance struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Service is the name of the plain service that a KindService instance serves.
	Service string `json:"service,omitempty"`
	// Address is the host and port of the instance; for a node, its address for peers.
	Address string `json:"address"`
	Hall    string `json:"hall"`
	State   string `json:"state"`
}

// ErrUnavailable is returned if the list service fails or does not answer.
var ErrUnavailable = eris.New("the instance list is unavailable; the last list that was read stays in use")

const maxListBytes = 32 << 20

// Client reads the list and announces draining instances. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the list service at an address, given as host and port.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{IdleConnTimeout: silence.PoolTimeout, MaxResponseHeaderBytes: answerlimit.HeadBytes}}}
}

// List returns the current contents of the list, or ErrUnavailable.
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

// AnnounceDraining announces to the platform that an instance is draining.
func (c *Client) AnnounceDraining(ctx context.Context, id string) error {
	body, err := json.Marshal(struct {
		State string `json:"state"`
	}{StateDraining})
	if err != nil {
		return eris.Wrap(err, "announce draining")
	}
	u := "http://" + c.address + "/instances/" + url.PathEscape(id) + "/state"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, u, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "announce draining")
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
