// Package client is a caller for the demo, the benchmarks and tests. It checks every token of an answer against the one
// that a stand-in engine computes from the model, the prompt and the token's position.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"olivetiller/io/caller"
	"olivetiller/io/silence"
	"olivetiller/standin/engine"
	"olivetiller/standin/site"
)

// Client sends requests in the name of one caller. It is safe for concurrent use.
type Client struct {
	HTTP   *http.Client
	Caller string
	Scheme string
}

// New returns a client for a caller of the stand-in deployment.
func New(name string) *Client {
	return &Client{
		HTTP:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: silence.PoolTimeout, DisableCompression: true}},
		Caller: name, Scheme: "http",
	}
}

// Completion is a chat completion request.
type Completion struct {
	Model   string
	Prompt  string
	Tokens  int
	Stream  bool
	Timeout time.Duration
	// Key is the request key of a request that must run at most once; empty if it may be repeated.
	Key string
}

// Result is the checked answer to a request.
type Result struct {
	Status int
	// Refusal is set if the answer is of type application/problem+json.
	Refusal *caller.Problem
	// Tokens is the number of tokens that arrived and were correct.
	Tokens int
	// Whole is true if the answer is complete: all tokens arrived in order, followed by the end marker.
	Whole bool
	// Wrong describes what was wrong with the answer; empty if nothing was.
	Wrong string
	// FirstToken and Took are the times from the sending of the request to the first token and to the end.
	FirstToken, Took time.Duration
	// Err is the connection error, if any.
	Err  error
	Body []byte
}

// Refused reports whether the answer is a typed refusal.
func (r Result) Refused() bool { return r.Refusal != nil }

// completionBody is the request body in the format of the OpenAI API.
type completionBody struct {
	Model     string    `json:"model"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Complete sends a chat completion request to the node at an address and checks the answer.
func (c *Client) Complete(ctx context.Context, address string, a Completion) Result {
	body, err := json.Marshal(completionBody{
		Model: a.Model, MaxTokens: a.Tokens, Stream: a.Stream, Messages: []message{{"user", a.Prompt}},
	})
	if err != nil {
		return Result{Err: err}
	}
	start := time.Now()
	resp, r := c.send(ctx, address, "/v1/chat/completions", a.Timeout, a.Key, body)
	if resp == nil {
		r.Took = time.Since(start)
		return r
	}
	defer resp.Body.Close()
	switch {
	case r.readRefusal(resp):
	case a.Stream:
		r.readStream(resp.Body, a, start)
	default:
		r.readComplete(resp.Body, a)
	}
	r.Took = time.Since(start)
	return r
}

// Call sends a request to a plain service through the node at an address. A key makes it run at most once.
func (c *Client) Call(ctx context.Context, address, service, path string, timeout time.Duration, key string, body []byte) Result {
	start := time.Now()
	resp, r := c.send(ctx, address, "/services/"+service+path, timeout, key, body)
	if resp == nil {
		r.Took = time.Since(start)
		return r
	}
	defer resp.Body.Close()
	if !r.readRefusal(resp) {
		r.Body, r.Err = io.ReadAll(resp.Body)
		r.Whole = r.Err == nil
	}
	r.Took = time.Since(start)
	return r
}

func (c *Client) send(ctx context.Context, address, path string, timeout time.Duration, key string, body []byte) (*http.Response, Result) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Result{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+site.CallerToken(c.Caller))
	req.Header.Set("Content-Type", "application/json")
	if timeout > 0 {
		req.Header.Set(caller.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	if key != "" {
		req.Header.Set(caller.HeaderOnce, "true")
		req.Header.Set(caller.HeaderRequestKey, key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, Result{Err: err}
	}
	return resp, Result{Status: resp.StatusCode}
}

func (r *Result) readRefusal(resp *http.Response) bool {
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		return false
	}
	r.Refusal = &caller.Problem{}
	r.Err = json.NewDecoder(resp.Body).Decode(r.Refusal)
	return true
}

// chunk is one event of a streamed answer, or a whole answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func (r *Result) readStream(body io.Reader, a Completion, start time.Time) {
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		line := sc.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			if strings.HasPrefix(line, "event: error") {
				r.Wrong = "the stream ended with an error event"
			}
			continue
		}
		if data == "[DONE]" {
			r.Whole = r.Tokens == a.Tokens && r.Wrong == ""
			return
		}
		if r.Wrong != "" {
			r.Wrong += ": " + data
			return
		}
		if r.Tokens == 0 {
			r.FirstToken = time.Since(start)
		}
		r.checkToken(data, a)
	}
	r.Err = sc.Err()
	if r.Err == nil && r.Wrong == "" {
		r.Wrong = "the stream ended without its final marker"
	}
}

func (r *Result) checkToken(data string, a Completion) {
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil || len(ch.Choices) != 1 {
		r.Wrong = "an event is no token: " + data
		return
	}
	want := engine.Token(a.Model, a.Prompt, r.Tokens)
	if got := ch.Choices[0].Delta.Content; got != want {
		r.Wrong = fmt.Sprintf("token %d is %q, not %q", r.Tokens, got, want)
		return
	}
	r.Tokens++
}

func (r *Result) readComplete(body io.Reader, a Completion) {
	r.Body, r.Err = io.ReadAll(body)
	if r.Err != nil {
		return
	}
	var ch chunk
	if err := json.Unmarshal(r.Body, &ch); err != nil || len(ch.Choices) != 1 {
		r.Wrong = "the answer is no completion"
		return
	}
	var want strings.Builder
	for i := range a.Tokens {
		want.WriteString(engine.Token(a.Model, a.Prompt, i))
	}
	if ch.Choices[0].Message.Content != want.String() {
		r.Wrong = "the text is not the answer to the prompt"
		return
	}
	r.Tokens, r.Whole = a.Tokens, true
}
