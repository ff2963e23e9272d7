// Package entry assembles a node that runs on the platform's append-only log: the process of one entry instance, which
// takes requests from callers and sends them to endpoints.
//
// A node joins the request path (io/caller, internal/traffic, io/endpoint) with the controllers of the fleet's state
// (internal/control): the controllers publish a view, by which the dispatcher sends waiting requests. [Start] opens the
// node's addresses, [Node.Stop] is the planned stop, which lets every request finish, and [Node.Kill] stops the node
// like a crash, for tests. Command olivetiller and the tests' fleets call it.
package entry
