// Package credentials loads the TLS certificates and keys with which nodes authenticate
// to each other, and reloads changed files, so that keys rotate without a restart.
//
//	f := credentials.New(credentials.Files{Certificate: "node.pem", Key: "node.key", Authority: "fleet.pem"})
//	err := f.Check()
//	listener = tls.NewListener(listener, f.Server(true))
//	conn = tls.Client(conn, f.Client())
//
// A certificate must be issued by the authority and be valid for the DNS name Name. The
// address of the host is not checked, since hosts can be replaced at any time. During
// a rotation the authority file holds both the old and the new authority.
package credentials

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Name is the DNS name for which every node's certificate is valid.
const Name = "node.pollencart"

// ErrFiles is returned for missing or invalid certificate, key and token files.
var ErrFiles = errs.New("credentials.files", http.StatusInternalServerError, "keys can't be used")

// Files holds the paths of the PEM files.
type Files struct {
	// Certificate and Key authenticate this node.
	Certificate string `json:"Certificate"`
	Key         string `json:"Key"`
	// Authority holds the CA certificates that must have issued other nodes' certificates.
	Authority string `json:"Authority"`
}

// Source provides the current contents of the files.
type Source struct {
	files Files

	mu        sync.Mutex
	current   *keys
	lastCheck time.Time
	stamp     string
}

type keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New returns a source for the files; they are loaded on first use.
func New(f Files) *Source { return &Source{files: f} }

// Check returns an error if the files can't be loaded and no earlier keys are in use.
func (s *Source) Check() error {
	_, err := s.keys()

	return err
}

// checkInterval is the minimum interval between checks of the files' modification times.
const checkInterval = time.Second

// keys returns the current keys and reloads them if the files changed. If the new files
// are invalid, such as partially written ones, the previous keys stay in use.
func (s *Source) keys() (*keys, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.current != nil && time.Since(s.lastCheck) < checkInterval {
		return s.current, nil
	}

	s.lastCheck = time.Now()

	stamp := s.stampOf()
	if s.current != nil && stamp == s.stamp {
		return s.current, nil
	}

	next, err := s.load()
	if err != nil && s.current == nil {
		return nil, err
	}

	if err == nil {
		s.current, s.stamp = next, stamp
	}

	return s.current, nil
}

func (s *Source) stampOf() string {
	var out strings.Builder

	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			out.WriteString(info.ModTime().String())
		}
	}

	return out.String()
}

func (s *Source) load() (*keys, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return nil, ErrFiles.Wrap(err)
	}

	data, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, ErrFiles.Wrap(err)
	}

	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return nil, ErrFiles.With("%s: no certificate", s.files.Authority)
	}

	return &keys{certificate: certificate, authority: authority}, nil
}

// Server returns the TLS configuration of a listener. With requireClientCert, a client must
// present a certificate of the authority before the server reads application data.
func (s *Source) Server(requireClientCert bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k, err := s.keys()
			if err != nil {
				return nil, err
			}

			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.certificate}}
			if requireClientCert {
				c.ClientCAs, c.ClientAuth = k.authority, tls.RequireAndVerifyClientCert
			}

			return c, nil
		},
	}
}

// Client returns the TLS configuration for a new outgoing connection, with the current keys.
func (s *Source) Client() (*tls.Config, error) {
	k, err := s.keys()
	if err != nil {
		return nil, err
	}

	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: Name,
		RootCAs: k.authority, Certificates: []tls.Certificate{k.certificate},
	}, nil
}

// Token is a secret in a file, which is read on each use.
type Token struct{ file string }

// NewToken returns the token that the file holds.
func NewToken(file string) Token { return Token{file} }

// Value reads the token from the file, without surrounding white space.
func (t Token) Value() (string, error) {
	data, err := os.ReadFile(t.file)
	if err != nil {
		return "", ErrFiles.Wrap(err)
	}

	value := strings.TrimSpace(string(data))
	if value == "" {
		return "", ErrFiles.With("%s is empty", t.file)
	}

	return value, nil
}

// Allows reports whether the Authorization header carries the token. The comparison takes
// constant time, so that response times don't reveal parts of the token.
func (t Token) Allows(header string) bool {
	value, err := t.Value()
	if err != nil {
		return false
	}

	return subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+value)) == 1
}
