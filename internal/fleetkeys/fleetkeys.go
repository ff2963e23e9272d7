// Package fleetkeys creates and reads the certificates by which the nodes of a fleet authenticate each other.
//
// Each fleet has its own certificate authority, and each node a certificate signed by it that carries the node's name.
// Both sides of a connection between nodes present a certificate, so a process outside the fleet gets no connection,
// and a node cannot use another node's name. Keys are ECDSA P-256. A node's certificate is valid for [NodeValidity] and
// is renewed by creating a new one and replacing the node. Command olivetiller keys creates the files; package entry
// reads them.
package fleetkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Validity periods of the certificates of an authority and of a node.
const (
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	NodeValidity      = 90 * 24 * time.Hour
	// backdate moves the start of the validity into the past, to tolerate clocks that differ.
	backdate = time.Hour
)

// ErrKeys is returned for a missing or unusable certificate or key.
var ErrKeys = eris.New("no usable certificate or key; make them with: olivetiller keys")

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate, Key []byte
}

// NewAuthority creates the self-signed certificate authority of a fleet.
func NewAuthority(fleet string, now time.Time) (Pair, error) {
	tmpl := &x509.Certificate{
		Subject:               pkix.Name{CommonName: fleet + " fleet authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(AuthorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return sign(tmpl, nil)
}

// NewNode creates a node's certificate, signed by the authority.
func NewNode(authority Pair, node string, now time.Time) (Pair, error) {
	tmpl := &x509.Certificate{
		Subject:     pkix.Name{CommonName: node},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(NodeValidity),
		DNSNames:    []string{node},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return sign(tmpl, &authority)
}

// sign creates a key and a certificate from a template, signed by parent, or self-signed if parent is nil.
func sign(tmpl *x509.Certificate, parent *Pair) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "make key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return Pair{}, eris.Wrap(err, "make serial number")
	}
	tmpl.SerialNumber = serial
	issuer, signer := tmpl, key
	if parent != nil {
		if issuer, signer, err = parse(*parent); err != nil {
			return Pair{}, err
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, issuer, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, eris.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "encode key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func parse(p Pair) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	pair, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, nil, eris.Wrap(ErrKeys, err.Error())
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, eris.Wrap(ErrKeys, "the key is not ECDSA")
	}
	return pair.Leaf, key, nil
}

// Read reads a pair from a certificate file and a key file.
func Read(certificateFile, keyFile string) (Pair, error) {
	cert, err := os.ReadFile(certificateFile)
	if err != nil {
		return Pair{}, eris.Wrap(ErrKeys, err.Error())
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return Pair{}, eris.Wrap(ErrKeys, err.Error())
	}
	return Pair{Certificate: cert, Key: key}, nil
}

// MutualTLS returns the TLS configuration with which a node both serves and calls its peers. Both sides must present a
// certificate of the authority.
func MutualTLS(authorityCertificate []byte, node Pair) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityCertificate) {
		return nil, eris.Wrap(ErrKeys, "the authority's file holds no certificate")
	}
	pair, err := tls.X509KeyPair(node.Certificate, node.Key)
	if err != nil {
		return nil, eris.Wrap(ErrKeys, err.Error())
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{"olivetiller"},
	}, nil
}
