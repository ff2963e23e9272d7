// Package operator serves the operator API, which proto/olivetiller/v1/operator.proto defines.
//
// Operators may publish concurrently, repeat calls whose answers were lost, and need all faults of a configuration
// at once. [Service.Publish] checks the whole configuration, computes the change against the configuration in force,
// and proposes it on the log. The replicated state machine (core/ledger) accepts the change only if its base
// revision is still in force. A repeat with the same change ID gets the same answer as the first call; the loser of
// a race gets the error detail Conflict with the current revision; an invalid configuration gets one error detail
// Fault for each fault.
//
// Package entry creates the service with [Control] implemented by internal/control.
package operator
