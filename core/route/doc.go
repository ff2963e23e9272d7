// Package route holds the operators' configuration of hosts, paths and services, and finds the route of a request.
//
// Requests name a host and a path. Operators decide which service they go to, how often they may be sent and how
// long they may take, and change that while traffic runs. A [Config] is one complete version of the configuration.
// [New] validates it and builds a [Table] for look-ups. A Table is immutable, so that a request is handled by one
// version from beginning to end.
package route
