// Package fleetkeys makes and reads the certificates by which nodes know each
// other.
//
// The model: a fleet has one authority of its own; each node has a certificate
// signed by it that carries the node's name. Both sides of a connection between
// nodes present one, so a stranger gets nothing, and a node cannot speak under
// another's name. Keys are ECDSA P-256; a certificate of a node lives for
// [NodeLife] and is renewed by making a new one and replacing the node.
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

// Lives of certificates.
const (
	AuthorityLife = 10 * 365 * 24 * time.Hour
	NodeLife      = 90 * 24 * time.Hour
	// backdate allows for clocks that differ.
	backdate = time.Hour
)

// ErrKeys is returned for files that hold no usable key or certificate.
var ErrKeys = eris.New("no usable certificate or key; make them with: olivetiller keys")

// Pair is a certificate and its key, PEM encoded.
type Pair struct {
	Certificate, Key []byte
}

// NewAuthority makes the authority of a fleet.
func NewAuthority(fleet string, now time.Time) (Pair, error) {
	tmpl := &x509.Certificate{
		Subject:               pkix.Name{CommonName: fleet + " fleet authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(AuthorityLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return sign(tmpl, nil)
}

// NewNode makes the certificate of one node.
func NewNode(authority Pair, node string, now time.Time) (Pair, error) {
	tmpl := &x509.Certificate{
		Subject:     pkix.Name{CommonName: node},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(NodeLife),
		DNSNames:    []string{node},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return sign(tmpl, &authority)
}

// sign makes a key for the template and signs it, by itself without a parent.
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

// Read reads a pair from two files.
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

// MutualTLS returns the configuration with which a node serves and dials its
// peers: both sides show a certificate of the authority.
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
