// Package node implements the requests between the nodes of a fleet over QUIC.
//
// Nodes send each other membership news, demand, log records and answers over unreliable links, and must not answer a
// process outside the fleet. A [Client] keeps one connection to each peer; each request and its answer use one stream,
// so that a slow answer does not block others. Client and [Server] authenticate each other by certificates of the
// fleet's authority, and the server refuses a request that names another node than the client's certificate.
//
// Package entry creates both; internal/control sends and handles the requests.
package node
