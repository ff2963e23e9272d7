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

// nodeFlags selects the node that a command calls, and the credentials for it.
type nodeFlags struct {
	Address string `required:"" env:"OLIVETILLER_ADDRESS" help:"IP address and port of the node's operator API."`
	Token   string `env:"OLIVETILLER_TOKEN" help:"The operator's bearer token. Prefer the environment variable, because arguments are visible to other users of the machine."`
	CA      string `name:"ca" type:"path" help:"File with trusted CA certificates, PEM. If set, the call uses TLS; otherwise it is not encrypted."`
}

// callTimeout bounds every call except streams.
const callTimeout = 15 * time.Second

// client returns a client of the operator API of the node.
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

// authorized returns a request with the operator's bearer token.
func authorized[T any](f *nodeFlags, msg *T) *connect.Request[T] {
	req := connect.NewRequest(msg)
	req.Header().Set("Authorization", "Bearer "+f.Token)
	return req
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}
