// Package policylab runs the product's own planner, fold and policies over a
// seeded synthetic demand in virtual time, and measures both of the users'
// measures exactly: the same seed gives the same figures to the last digit.
//
// The problem: whether a policy is good shows over days, and on demand that is
// diurnal, bursty and mostly rare. The model: an event loop over arrivals, ends
// of requests, loads and unloads, and the planner's rounds. Only the engines and
// the weight store are modelled (how long a load takes, how many run at once);
// every decision is made by core/plan on core/ledger, as in a running node.
//
// The demand follows published shapes of such traces: session starts as a
// Poisson process whose rate follows the hour of the day, bursts of requests
// within a session, popularity after Zipf's law with most units rare (as in
// "Serverless in the Wild", Shahrad et al., USENIX ATC 2020, and the Azure
// Functions traces it describes), nightly batches and narrow windows as the
// users' brief tells of them. No trace was at hand; the shapes are ours.
package policylab
