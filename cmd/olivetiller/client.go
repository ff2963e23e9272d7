package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"

	"olivetiller/internal/fleetkeys"
	"olivetiller/proto/olivetiller/v1/olivetillerv1connect"
)

// nodeFlags name the node that a command calls.
type nodeFlags struct {
	Address string `required:"" env:"OLIVETILLER_ADDRESS" help:"The node's operator address, IP and port."`
	Token   string `env:"OLIVETILLER_TOKEN" help:"The operator's token; better set in the environment."`
	CA      string `name:"ca" type:"path" help:"Call over TLS and trust the certificates in this file."`
}

// callTimeout bounds a call that does not stream.
const callTimeout = 15 * time.Second

// client returns the RPC client.
func (f *nodeFlags) client() (olivetillerv1connect.OperatorServiceClient, error) {
	scheme := "http://"
	hc := &http.Client{}
	if f.CA != "" {
		pem, err := os.ReadFile(f.CA)
		if err != nil {
			return nil, usageError{err}
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fleetkeys.ErrKeys
		}
		scheme = "https://"
		hc.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, ForceAttemptHTTP2: true}
	}
	return olivetillerv1connect.NewOperatorServiceClient(hc, scheme+f.Address), nil
}

// authorized adds the operator's token to a call.
func authorized[T any](f *nodeFlags, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+f.Token)
	return req
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}
