// Package customer describes who may send requests, with which API keys and up to which limits.
//
// A request identifies its customer by a secret key, which must not be visible beyond the node that admits the
// request, and which operators may revoke while it is in use. A [Customer] is therefore one entry of a version of the
// configuration and contains only the [Digest] of each of its keys. [NewIndex] validates all customers of a version
// together and finds the customer of a key. It is used when a configuration is loaded and when requests are admitted.
package customer
