package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"olivetiller/internal/hosted"
)

// quarantineCmd groups the commands about requests suspected of crashing engines.
type quarantineCmd struct {
	List    quarantineListCmd    `cmd:"" help:"List the requests suspected of crashing engines that a node on the hosting platform knows."`
	Release quarantineReleaseCmd `cmd:"" help:"Allow a quarantined request on engines again, at all nodes."`
}

// metricsFlags selects the node to call by its metrics address.
type metricsFlags struct {
	Address string `required:"" placeholder:"HOST:PORT" help:"Metrics address of the node."`
}

// maxAnswerBytes bounds a node's answer; the rest is cut off.
const maxAnswerBytes = 16 << 20

// call calls the node's metrics address and returns the body of the answer.
func (f *metricsFlags) call(method, path string) ([]byte, error) {
	return f.callWith(method, path, nil)
}

// callWith is call with a body.
func (f *metricsFlags) callWith(method, path string, body io.Reader) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: f.Address, Path: path}
	ctx, cancel := callContext()
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return nil, usageError{fmt.Errorf("--address %s: %w", f.Address, err)}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return nil, errors.New(string(raw))
	}
	return raw, nil
}

type quarantineListCmd struct {
	metricsFlags
	JSON bool `name:"json" help:"Print the list as JSON."`
}

// Run prints the list, as a table unless JSON is requested.
func (c *quarantineListCmd) Run() error {
	raw, err := c.call(http.MethodGet, hosted.PathQuarantine)
	if err != nil {
		return err
	}
	var list []hosted.Suspect
	if err := json.Unmarshal(raw, &list); err != nil {
		return fmt.Errorf("the answer is not a list of requests: %w; check that %s is the metrics address of a node", err, c.Address)
	}
	if c.JSON {
		_, err := os.Stdout.Write(raw)
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST\tSTATE\tBELIEF\tENDS\tUNEXPLAINED\tTRIALS\tSINCE")
	for _, s := range list {
		text, err := s.Request.MarshalText()
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%d\t%d\t%d\t%v\n", text, s.State, s.Belief, s.Ends, s.Unexplained, s.Trials, time.Duration(s.SinceMs)*time.Millisecond)
	}
	return w.Flush()
}

type quarantineReleaseCmd struct {
	metricsFlags
	Request string `arg:"" help:"Fingerprint of the request, or a unique prefix of it as in the logs."`
}

// Run releases the request.
func (c *quarantineReleaseCmd) Run() error {
	if _, err := c.call(http.MethodDelete, hosted.PathQuarantine+"/"+c.Request); err != nil {
		return err
	}
	fmt.Println("released")
	return nil
}
