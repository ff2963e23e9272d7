// Package bench runs the experiments of olivebench. An experiment sends a seeded load to nodes in
// this process, while a schedule of faults is applied to the nodes and to the stand-ins of the
// platform and the engines; all traffic goes over sockets on loopback. Each experiment compares
// the responses that callers received with the records of the stand-ins, not with those of the
// nodes, and returns its figures with the violations found. Load is bounded in count and time.
package bench
