// Package caller implements the HTTP servers for callers: an OpenAI-style interface for models and plain services, or
// another protocol that implements [Protocol].
//
// Every request must be answered completely or refused before its deadline, must run no more often than its caller
// allows, and must not use unbounded memory. A request is an [Exchange] that passes a chain of filters, each in a
// file of its own: identify the caller, limit its rate, read the body, resolve the target, and dispatch. A filter
// that refuses the request returns a *refusal.Error, and the outermost filter writes it, by default as
// application/problem+json.
//
// Dispatch acquires a slot from package traffic, sends the request through package endpoint, and retries at other
// endpoints as package retry allows. [Server] is assembled by the node's main packages.
//
// The default routes are POST /v1/chat/completions and /v1/completions, GET /v1/models, and any method on
// /services/{name}/{path}. [HeaderTimeout] and the constants beside it are the request headers.
package caller
