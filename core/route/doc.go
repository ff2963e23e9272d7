// Package route holds the operators' configuration of hosts, paths and services
// and finds the route of a request.
//
// The problem: requests name a host and a path; operators decide which service
// they go to, how often they may be sent and how long they may take, and change
// their minds while traffic runs. The model: a [Config] is one version of it,
// whole; [New] checks it and makes a [Table], which never changes once made, so
// that a request is judged by one version from its beginning to its end.
package route
