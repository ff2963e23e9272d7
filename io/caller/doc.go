// Package caller serves the callers, in the usual HTTP protocol of model
// serving, and plain services beside it.
//
// The problem: every request is answered whole or refused in time, by its own
// rules about repetition, with bounded memory, whatever the caller sends. The
// model: a request is an [Exchange] that passes a chain of filters, each with
// one job in a file of its own: identify the caller, bound its rate, read the
// body, resolve what is asked for, and dispatch. A filter that refuses returns
// a refusal; the outermost writes it as problem+json, exactly once.
//
// Routes: POST /v1/chat/completions and /v1/completions, GET /v1/models, any
// method on /services/{name}/{path}. Headers: see [HeaderTimeout] and the
// constants beside it.
package caller
