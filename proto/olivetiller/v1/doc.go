// Package olivetillerv1 is the generated code of the schema beside it: the
// configuration, the records on the log, the operators' RPC and the messages
// between nodes.
package olivetillerv1
