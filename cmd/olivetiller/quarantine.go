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

// quarantineCmd is the commands about requests under which engines end.
type quarantineCmd struct {
	List    quarantineListCmd    `cmd:"" help:"List the requests under which engines ended, as a node on the platform knows them."`
	Release quarantineReleaseCmd `cmd:"" help:"Let a request go to engines again, at all nodes."`
}

// metricsFlags say which node is asked.
type metricsFlags struct {
	Address string `required:"" placeholder:"HOST:PORT" help:"The node's metrics address."`
}

// mostAnswer bounds what is read of a node's answer.
const mostAnswer = 16 << 20

// ask makes one call to a node's metrics address.
func (f *metricsFlags) ask(method, path string) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: f.Address, Path: path}
	ctx, cancel := callContext()
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, usageError{fmt.Errorf("--address %s: %w", f.Address, err)}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
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

// Run implements the command.
func (c *quarantineListCmd) Run() error {
	raw, err := c.ask(http.MethodGet, hosted.PathQuarantine)
	if err != nil {
		return err
	}
	var list []hosted.Suspect
	if err := json.Unmarshal(raw, &list); err != nil {
		return fmt.Errorf("the node's answer is no list: %w; is %s its metrics address?", err, c.Address)
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
	Request string `arg:"" help:"The request's fingerprint, or its beginning as in the logs."`
}

// Run implements the command.
func (c *quarantineReleaseCmd) Run() error {
	if _, err := c.ask(http.MethodDelete, hosted.PathQuarantine+"/"+c.Request); err != nil {
		return err
	}
	fmt.Println("released")
	return nil
}
