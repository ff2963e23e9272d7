// Package directory holds which endpoints there are, as far as this node knows.
//
// The problem: endpoints record themselves in the platform's store. An entry may
// be late, may go because its endpoint left, or may lapse because the store was
// away while the endpoint lives; an address may pass to an endpoint of another
// service. The model: [Directory] folds the records in order. An entry that is
// gone is believed at once while the store was well, and only after a pause when
// the store was away lately, since live endpoints then record themselves anew.
package directory
