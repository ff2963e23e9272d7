// Package directory keeps the list of endpoints that are live, as far as this node knows.
//
// Endpoints register themselves in the platform's store. A record may arrive late. An entry may be
// deleted because its endpoint shut down, or may expire because the store was unreachable while the
// endpoint was running; its address may then be used by an endpoint of another service.
//
// [Directory] applies the records, which come from the store or are relayed by other nodes, in the
// order of their versions. A deleted entry counts as gone immediately if the store has been available,
// and only after a grace period if the store was unreachable recently, since endpoints that are still
// running then register again. Entries that are gone stay for a while as tombstones.
package directory
