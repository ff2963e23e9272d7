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

	"olivetiller/core/answerlimit"
	"olivetiller/io/silence"
)

// ErrUnavailable is returned if the log service fails or does not answer.
var ErrUnavailable = eris.New("the log service is unavailable; loaded models keep serving, and decisions wait until it is back")

// Record is one entry of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	// Earliest is the lowest offset that the log retains.
	Earliest uint64 `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next uint64 `json:"next"`
	// Records are the retained records from the requested offset on, without gaps.
	Records []Record `json:"records"`
}

// maxPageBytes bounds an answer of the log service.
const maxPageBytes = 64 << 20

// Client appends to and reads one stream of the log. It is safe for concurrent use.
type Client struct {
	address string
	stream  string
	http    *http.Client
}

// NewClient returns a client of a stream of the log service at an address, given as host and port.
func NewClient(address, stream string) *Client {
	return &Client{address: address, stream: stream, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: silence.PoolTimeout, MaxResponseHeaderBytes: answerlimit.HeadBytes}}}
}

// Append appends a record and returns its offset. After an error it is unknown whether the record is on the log.
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

// Read returns up to maxRecords records from an offset on. If there is none yet, the log service waits up to wait for
// the first.
func (c *Client) Read(ctx context.Context, from uint64, wait time.Duration, maxRecords int) (Page, error) {
	q := fmt.Sprintf("?from=%d&max=%d&waitMs=%d", from, maxRecords, wait.Milliseconds())
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
