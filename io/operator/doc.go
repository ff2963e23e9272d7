// Package operator serves the operators, by the remote procedure calls of
// proto/olivetiller/v1/operator.proto.
//
// The problem: operators race each other, repeat calls whose answers were lost,
// and must learn every fault of a configuration at once. The model: Publish
// checks the whole, computes the change against the configuration in force and
// proposes it on the log; the fold accepts it only on the base revision it was
// made for. A repeat with the same change id is answered as the first was; a
// loser of a race gets the typed detail Conflict with the current revision; a
// configuration with faults gets one typed detail Fault for each.
package operator
