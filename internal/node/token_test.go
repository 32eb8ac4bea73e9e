package node_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/credentials"
	"github.com/pollencart/pollencart/internal/credentials/credentialstest"
	"github.com/pollencart/pollencart/internal/operator"
)

// Other clients than operators can reach the control address. Operator requests need the token;
// health checks work without it.
func TestOperatorRequestsRequireToken(t *testing.T) {
	t.Parallel()

	file := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(file, []byte("secret\n"), 0o600))

	f := startFleet(t, func(c *config.Config) { c.OperatorTokenFile = file })
	control := f.hosts[0].Control

	for _, token := range []string{"", "secre", "secret\n", "Bearer secret"} {
		_, err := operator.NewClient(control, operator.WithToken(token)).Status(t.Context())
		assert.Assert(t, err != nil, "%q", token)
	}

	_, err := operator.NewClient(control, operator.WithToken("secret")).Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, httpStatus("http://"+control+"/healthz"), http.StatusOK)
	assert.Equal(t, httpStatus("http://"+control+"/v1/tree"), http.StatusUnauthorized)

	assert.NilError(t, os.WriteFile(file, []byte("other\n"), 0o600))

	_, err = operator.NewClient(control, operator.WithToken("other")).Status(t.Context())
	assert.NilError(t, err)
}

// With TLS between nodes, and later at the control address of one node, calls and operator
// requests must work.
func TestFleetWithTLS(t *testing.T) {
	t.Parallel()

	authority := credentialstest.NewAuthority(t)
	files := authority.Issue(t, t.TempDir())

	f := startFleet(t, func(c *config.Config) {
		c.TLS = &config.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
	})
	f.accept()
	assert.Equal(t, f.send(0, http.MethodGet, "/folders/1", "", nil).status, http.StatusOK)

	h := f.hosts[2]
	h.stop()
	assert.NilError(t, <-h.done)

	own := *h.config.TLS
	own.Operators = true
	h.config.TLS = &own
	f.startNode(h)

	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.PEM)

	client := operator.NewClient(h.Control, operator.WithTLS(&tls.Config{
		RootCAs: pool, ServerName: credentials.Name, MinVersion: tls.VersionTLS13,
	}))
	f.wait("the control address to serve TLS", func() bool {
		_, err := client.Status(t.Context())

		return err == nil
	})
	assert.Assert(t, httpStatus("http://"+h.Control+"/healthz") != http.StatusOK)
}
