// Package once runs requests that may not be repeated.
//
// The problem: a catalogue entry or a print job ticket runs at most once, though
// its caller asks again through another node, though the node that ran it died,
// and though the log was out. The model: the request's key is claimed on the log
// and the claim read back before the one dispatch. The run belongs to the claim
// and not to the caller's connection: it goes on when the caller goes away, and
// whoever asks again with the same key, at any node, is given the same answer,
// or is told truthfully what is known.
package once
