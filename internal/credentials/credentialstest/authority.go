// Package credentialstest issues certificates and keys for tests.
//
//	a := credentialstest.NewAuthority(t)
//	files := a.Issue(t, dir)
package credentialstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/credentials"
)

// Authority is a certificate authority for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	PEM         []byte
}

const day = 24 * time.Hour

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: credentials.Name},
		NotBefore: time.Now().Add(-day), NotAfter: time.Now().Add(day), BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

// NewAuthority returns an authority with a new key.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)

	c := template(1)
	c.IsCA, c.KeyUsage = true, x509.KeyUsageCertSign

	data, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	assert.NilError(t, err)

	c, err = x509.ParseCertificate(data)
	assert.NilError(t, err)

	return &Authority{c, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: data})}
}

// Issue writes a new certificate, its key and an authority file to dir. The authority
// file holds the trusted authorities and a itself.
func (a *Authority) Issue(t *testing.T, dir string, trusted ...*Authority) credentials.Files {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)

	c := template(time.Now().UnixNano())
	c.DNSNames, c.KeyUsage = []string{credentials.Name}, x509.KeyUsageDigitalSignature

	data, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)

	secret, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)

	var authorities []byte
	for _, other := range append(trusted, a) {
		authorities = append(authorities, other.PEM...)
	}

	f := credentials.Files{
		Certificate: filepath.Join(dir, "node.pem"), Key: filepath.Join(dir, "node.key"), Authority: filepath.Join(dir, "fleet.pem"),
	}

	const private = 0o600

	assert.NilError(t, os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: data}), private))
	assert.NilError(t, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}), private))
	assert.NilError(t, os.WriteFile(f.Authority, authorities, private))

	return f
}
