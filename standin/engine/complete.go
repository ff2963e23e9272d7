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

// Headers of the engine protocol.
const (
	headerNotRun     = "Engine-Not-Run"
	headerRunning    = "Engine-Running"
	headerLeaving    = "Engine-Leaving"
	headerResumeFrom = "Engine-Resume-From"
	headerRequestID  = "Engine-Request-Id"
	headerVersion    = "Engine-Model-Version"
	headerKey        = "Olivetiller-Request-Key"
)

// defaultTokens is the length of an answer that sets none.
const defaultTokens = 16

// Token returns token i of the answer to a prompt, so that a client can check
// every token of a stream: its place, its model and its own prompt.
func Token(model, prompt string, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(model+"\x00"+prompt+"\x00"+strconv.Itoa(i))))
}

// completion is the part of an OpenAI-style request that the stand-in reads.
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
	defer e.leave(res)
	w.Header().Set(headerRunning, strconv.Itoa(e.inProgress()))
	if e.isLeaving() {
		w.Header().Set(headerLeaving, "true")
	}
	if c.Stream {
		e.stream(w, r, &c)
		return
	}
	e.whole(w, r, &c)
}

// refusalBusy is the refusal of an engine with no room.
const refusalBusy = "busy"

func refusalStatus(refusal string) int {
	if refusal == refusalBusy {
		return http.StatusTooManyRequests
	}
	return http.StatusConflict
}

// admit counts the request in, or says why not.
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
	e.account()
	res.running++
	e.running++
	if key != "" {
		e.runs[key]++
	}
	return res, ""
}

func (e *Engine) leave(res *resident) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account()
	res.running--
	e.running--
	e.account()
}

func (e *Engine) inProgress() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// stream sends one event a token, and at the end "[DONE]".
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
			// The process that streamed is gone.
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

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, c *completion) {
	if !wait(r, e.FirstToken+time.Duration(c.MaxTokens-1)*e.BetweenTokens) {
		return
	}
	var text strings.Builder
	for i := range c.MaxTokens {
		text.WriteString(Token(c.Model, c.text(), i))
	}
	ans := answer{ID: r.Header.Get(headerRequestID), Model: c.Model, Usage: usage{c.MaxTokens}}
	ans.Choices = []choice{{FinishReason: "length"}}
	if strings.HasPrefix(r.URL.Path, "/v1/chat/") {
		ans.Choices[0].Message = &message{Role: "assistant", Content: text.String()}
	} else {
		ans.Choices[0].Text = text.String()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ans)
}

// answer is a whole answer in the OpenAI style.
type answer struct {
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
