// Package entry assembles one node of the system: an entry instance's process.
//
// A node is a filter chain for requests (io/caller) and a set of controllers
// for state (internal/control), joined by the view that the controllers publish
// and the dispatcher that requests wait in. [Start] opens its addresses;
// [Node.Stop] is the planned stop that cuts off no request; [Node.Kill] is what
// a crash looks like, for tests.
package entry
