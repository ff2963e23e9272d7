// Package reach decides by which path a node sends its requests to an endpoint: over connections of its own, or through
// a tunnel by way of another node.
//
// A node may lose its connections to some endpoints or to all of them while other nodes keep theirs, and the node's
// callers cannot tell. A failed connection alone does not tell a lost path from an endpoint that is down: only another
// node's connection does. No node knows which endpoints the others reach, since a table of all pairs would grow with the
// square of the fleet. Each node finds out for the endpoints that it uses, when it uses them.
//
// A [Registry] holds one node's knowledge of the paths to the endpoints that it has used recently. A path is direct until
// a direct connection fails while one through a tunnel succeeds. From then on requests use the tunnel, and the direct
// path is checked again until it works ([Registry.Due]). [Gateways] orders the nodes to ask for a tunnel. Gateways
// connect directly only, so that a tunnel has one hop and no loops.
//
// Package internal/paths does the I/O. Package internal/placer hands the lease over to a node that reaches more
// endpoints by [Registry.Unreached].
package reach
