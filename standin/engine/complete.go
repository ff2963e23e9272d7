package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of the engine protocol, which io/engine documents.
const (
	headerNotRun     = "Engine-Not-Run"
	headerRunning    = "Engine-Running"
	headerDraining   = "Engine-Leaving"
	headerResumeFrom = "Engine-Resume-From"
	headerRequestID  = "Engine-Request-Id"
	headerVersion    = "Engine-Model-Version"
	headerKey        = "Olivetiller-Request-Key"
)

// defaultTokens is the number of tokens of a response if the request doesn't set max_tokens.
const defaultTokens = 16

// Token returns token i of the response to a prompt. It depends only on its arguments, so that a
// client can check that each token of a stream has the right position, model and prompt.
func Token(model, prompt string, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(model+"\x00"+prompt+"\x00"+strconv.Itoa(i))))
}

// completion holds the fields of an OpenAI-style request that the stand-in uses.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (c *completion) text() string {
	var b strings.Builder
	b.WriteString(c.Prompt)
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 8<<20))
	if err != nil {
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultTokens
	}
	k := unitKey{c.Model, r.Header.Get(headerVersion)}
	res, refusal := e.admit(k, r.Header.Get(headerKey))
	if res == nil {
		w.Header().Set(headerNotRun, "true")
		http.Error(w, refusal, refusalStatus(refusal))
		return
	}
	defer e.finish(res)
	w.Header().Set(headerRunning, strconv.Itoa(e.inProgress()))
	if e.isDraining() {
		w.Header().Set(headerDraining, "true")
	}
	if c.Stream {
		e.stream(w, r, &c)
		return
	}
	e.completeAtOnce(w, r, &c)
}

// refusalBusy is the refusal of an engine that runs Concurrency requests already.
const refusalBusy = "busy"

func refusalStatus(refusal string) int {
	if refusal == refusalBusy {
		return http.StatusTooManyRequests
	}
	return http.StatusConflict
}

// admit counts a request as running, or returns nil and the reason for its refusal.
func (e *Engine) admit(k unitKey, key string) (*resident, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	res := e.units[k]
	switch {
	case res == nil || res.phase != loaded:
		return nil, "notLoaded"
	case e.running >= e.Concurrency:
		return nil, refusalBusy
	}
	e.updateIdle()
	res.running++
	e.running++
	if key != "" {
		e.runs[key]++
	}
	return res, ""
}

func (e *Engine) finish(res *resident) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateIdle()
	res.running--
	e.running--
	e.updateIdle()
}

func (e *Engine) inProgress() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// stream sends one event for each token from the requested one on, and at the end "[DONE]".
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, c *completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(headerResumeFrom))
	id := r.Header.Get(headerRequestID)
	chat := strings.HasPrefix(r.URL.Path, "/v1/chat/")
	text := c.text()
	flush := http.NewResponseController(w)
	if !wait(r, e.FirstToken) {
		return
	}
	began := e.currentIncarnation()
	for i := from; i < c.MaxTokens; i++ {
		if i > from && !wait(r, e.BetweenTokens) {
			return
		}
		if e.currentIncarnation() != began {
			// The engine was restarted: its process would have closed the connection.
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event(id, c.Model, Token(c.Model, text, i), chat)); err != nil {
			return
		}
		_ = flush.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (e *Engine) currentIncarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

func event(id, model, token string, chat bool) string {
	if chat {
		return fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", id, model, token)
	}
	return fmt.Sprintf("data: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q}]}\n\n", id, model, token)
}

func (e *Engine) completeAtOnce(w http.ResponseWriter, r *http.Request, c *completion) {
	if !wait(r, e.FirstToken+time.Duration(c.MaxTokens-1)*e.BetweenTokens) {
		return
	}
	var text strings.Builder
	for i := range c.MaxTokens {
		text.WriteString(Token(c.Model, c.text(), i))
	}
	ans := response{ID: r.Header.Get(headerRequestID), Model: c.Model, Usage: usage{c.MaxTokens}}
	ans.Choices = []choice{{FinishReason: "length"}}
	if strings.HasPrefix(r.URL.Path, "/v1/chat/") {
		ans.Choices[0].Message = &message{Role: "assistant", Content: text.String()}
	} else {
		ans.Choices[0].Text = text.String()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ans)
}

// response is an OpenAI-style response without streaming.
type response struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	FinishReason string   `json:"finish_reason"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
