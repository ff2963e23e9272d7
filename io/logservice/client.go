package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnavailable is returned when the log does not take or give records.
var ErrUnavailable = eris.New("the log service is unavailable; what runs goes on, decisions wait until it is back")

// Record is one record as read.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	// Earliest is the first offset still kept.
	Earliest uint64 `json:"earliest"`
	// Next is the offset that the next append will get.
	Next uint64 `json:"next"`
	// Records holds what was kept from the offset asked for, without a gap.
	Records []Record `json:"records"`
}

// maxPageBytes bounds an answer of the log.
const maxPageBytes = 64 << 20

// Client is one stream of the log.
type Client struct {
	address string
	stream  string
	http    *http.Client
}

// NewClient returns a client of a stream at address, host and port.
func NewClient(address, stream string) *Client {
	return &Client{address: address, stream: stream, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Append appends a record. After an error the record may be on the log or not.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(""), bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrap(err, "append")
	}
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := c.do(req, &answer); err != nil {
		return 0, err
	}
	return answer.Offset, nil
}

// Read returns the records from an offset on, waiting for the first if there
// is none yet.
func (c *Client) Read(ctx context.Context, from uint64, wait time.Duration, most int) (Page, error) {
	q := fmt.Sprintf("?from=%d&max=%d&waitMs=%d", from, most, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(q), nil)
	if err != nil {
		return Page{}, eris.Wrap(err, "read")
	}
	var p Page
	err = c.do(req, &p)
	return p, err
}

func (c *Client) url(query string) string {
	return "http://" + c.address + "/streams/" + url.PathEscape(c.stream) + "/records" + query
}

func (c *Client) do(req *http.Request, into any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(into); err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}
