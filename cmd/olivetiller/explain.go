package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"olivetiller/internal/hosted"
	"olivetiller/io/caller"
)

// explainCmd tells where a request would go.
type explainCmd struct {
	metricsFlags
	Method string   `default:"POST" help:"Method of the request."`
	Host   string   `required:"" help:"Host header of the request, by which its route is found."`
	Header []string `short:"H" placeholder:"NAME:VALUE" sep:"none" help:"A header of the request; may be given several times."`
	JSON   bool     `name:"json" help:"Print the explanation as JSON."`
	Path   string   `arg:"" help:"Path of the request, with the query."`
}

// Run prints the explanation, as text unless JSON is requested.
func (c *explainCmd) Run() error {
	head := hosted.RequestHead{Method: c.Method, Host: c.Host, Path: c.Path, Header: make(http.Header)}
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return usageError{fmt.Errorf("header %q has no name; give it as NAME:VALUE", h)}
		}
		head.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	body, err := json.Marshal(&head)
	if err != nil {
		return err
	}
	raw, err := c.callWith(http.MethodPost, hosted.PathExplain, bytes.NewReader(body))
	if err != nil {
		return err
	}
	var e caller.Explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return fmt.Errorf("the answer is no explanation: %w; check that %s is the metrics address of a node", err, c.Address)
	}
	if c.JSON {
		_, err := os.Stdout.Write(raw)
		return err
	}
	printExplanation(os.Stdout, &e)
	return nil
}

// printExplanation prints what would become of a request: first the outcome, then the candidates.
func printExplanation(out io.Writer, e *caller.Explanation) {
	fmt.Fprintf(out, "route %s  service %s  configuration %d  customer %s  rank %d  pool %s\n", orNone(e.Route), orNone(e.Service), e.Version, orNone(e.Customer), e.Priority, orNone(e.Pool))
	switch {
	case e.Refused != "":
		fmt.Fprintf(out, "refused (%s): %s\n", e.Refused, e.Detail)
	case e.Endpoint != "":
		fmt.Fprintf(out, "sent at once to %s\n", e.Endpoint)
	case e.ReadyInMs > 0:
		fmt.Fprintf(out, "waits for its model, expected in %d ms, with %d requests in the queue\n", e.ReadyInMs, e.Waiting)
	default:
		fmt.Fprintf(out, "waits for a slot, with %d requests in the queue\n", e.Waiting)
	}
	if e.Home != "" {
		fmt.Fprintf(out, "home of requests of this kind: %s\n", e.Home)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tDATA HALL\tSTATE\tSCORE\tRUNNING\tWINDOW\tUNREAD TOKENS\tPACE\tLOAD\tPREFIX")
	for _, v := range e.Candidates {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%d\t%t\n", v.Endpoint, v.Hall, v.Closure, v.Score, v.Running, v.Window, v.UnreadTokens, v.Pace, v.Load, v.HasPrefix)
	}
	_ = w.Flush()
}

// orNone returns a dash for an empty text.
func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
