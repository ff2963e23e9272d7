// Package olivetillerv1connect is the generated client and handler of the
// operators' RPC.
package olivetillerv1connect
