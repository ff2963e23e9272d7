// Package bench runs the experiments of olivebench: a seeded load and a schedule
// of faults against in-process nodes and the stand-ins, over real sockets on
// loopback. Each experiment checks the promises it touches against the
// stand-ins' own records, not against the nodes' word, and returns its figures
// with the violations found. Load is bounded in count and time.
package bench
