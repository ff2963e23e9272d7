// Package policylab compares policies for keeping models loaded. It runs the product's own planner
// (core/plan), ledger (core/ledger) and policies (core/policy) on seeded synthetic demand in
// virtual time, and measures how long callers wait for cold starts and how many hours accelerators
// hold weights without running a request. The same seed gives the same figures to the last digit.
// Its callers are the policy command of olivebench and the tests.
//
// The simulation is an event loop over arrivals, ends of requests, loads, unloads and planning
// rounds. Only the engines and the weight store are modelled (how long a load takes, how many
// requests run at once); core/plan makes every decision on core/ledger, as in a running node. Days
// of demand are needed, because demand is diurnal, bursty and for most units infrequent.
//
// The demand follows published shapes of such traces: session starts form a Poisson process whose
// rate follows the hour of the day, a session is a burst of requests, and popularity follows Zipf's
// law, with most units used seldom (as in "Serverless in the Wild", Shahrad et al., USENIX ATC
// 2020, and the Azure Functions traces it describes). Nightly batches and narrow windows of use
// come from the users' description of their deployments. No recorded trace is replayed, and the
// shapes are not fitted to one.
package policylab
