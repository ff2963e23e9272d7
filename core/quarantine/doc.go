// Package quarantine remembers requests under which engines ended.
//
// A request is named by its [Fingerprint]: its caller, method, address, path and body. A
// caller that sends it again, by another id or at another node, sends the same one.
package quarantine
