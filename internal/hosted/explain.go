package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

// PathExplain is the HTTP path at the metrics address that explains where a request would go.
const PathExplain = "/explain"

// maxExplainBytes bounds the description of a request.
const maxExplainBytes = 64 << 10

// RequestHead describes a request that is to be explained.
type RequestHead struct {
	Method string `json:"method"`
	// Host is the value of the Host header, and Path the path with the query.
	Host string `json:"host"`
	Path string `json:"path"`
	// Header holds the other headers.
	Header http.Header `json:"header"`
}

// request returns the request as a node would read it.
func (h *RequestHead) request() (*http.Request, error) {
	u, err := url.ParseRequestURI(h.Path)
	if err != nil || u.Host != "" {
		return nil, fmt.Errorf("path %q is not the path of a request; begin it with a slash", h.Path)
	}
	if h.Host == "" {
		return nil, fmt.Errorf("host is missing; set it to the host name of a route")
	}
	r := &http.Request{Method: h.Method, URL: u, Host: h.Host, RequestURI: h.Path, Header: make(http.Header), Body: http.NoBody}
	for name, values := range h.Header {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	return r, nil
}

// handleExplain registers the handler that tells where a request would go, without sending it.
func (n *Node) handleExplain(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathExplain, func(w http.ResponseWriter, r *http.Request) {
		var head RequestHead
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&head); err != nil {
			http.Error(w, fmt.Sprintf("the body is not a description of a request: %v; send method, host, path and header as JSON", err), http.StatusBadRequest)
			return
		}
		req, err := head.request()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader has disconnected.
		_ = json.NewEncoder(w).Encode(n.caller.Explain(req))
	})
}
