// Package credentials reads the keys with which nodes prove themselves, and reads
// them again when the files change, so that they are rotated without a restart.
//
//	f := credentials.New(credentials.Files{Certificate: "node.pem", Key: "node.key", Authority: "fleet.pem"})
//	err := f.Check()
//	listener = tls.NewListener(listener, f.Server(true))
//	conn = tls.Client(conn, f.Client())
//
// A certificate must come from the authority and name Name; its host's address
// does not matter, since hosts are replaced at any time. While keys are rotated
// the authority file holds the old and the new authority.
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

// Name is what every node's certificate names, as a DNS name.
const Name = "node.pollencart"

// ErrFiles is returned for files that can't be used.
var ErrFiles = errs.New("credentials.files", http.StatusInternalServerError, "keys can't be used")

// Files are the names of the files, in PEM.
type Files struct {
	// Certificate and Key prove this node.
	Certificate string `json:"Certificate"`
	Key         string `json:"Key"`
	// Authority is what other nodes' certificates must come from.
	Authority string `json:"Authority"`
}

// Source gives what the files hold now.
type Source struct {
	files Files

	mu      sync.Mutex
	current *keys
	looked  time.Time
	stamp   string
}

type keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New returns a source.
func New(f Files) *Source { return &Source{files: f} }

// Check reports whether the files can be used.
func (s *Source) Check() error {
	_, err := s.keys()

	return err
}

// lookAgain is the pause between looks at the files' times.
const lookAgain = time.Second

// keys returns the keys, read again if the files changed. New files that can't be
// used, such as half-written ones, leave the old keys in use.
func (s *Source) keys() (*keys, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.current != nil && time.Since(s.looked) < lookAgain {
		return s.current, nil
	}

	s.looked = time.Now()

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

// Server returns the configuration of a listener. With prove, whoever connects
// must have a certificate of the authority before a byte is read from it.
func (s *Source) Server(prove bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k, err := s.keys()
			if err != nil {
				return nil, err
			}

			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.certificate}}
			if prove {
				c.ClientCAs, c.ClientAuth = k.authority, tls.RequireAndVerifyClientCert
			}

			return c, nil
		},
	}
}

// Client returns the configuration of a connection that is opened now.
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

// Token is a secret in a file, read again for each question.
type Token struct{ file string }

// NewToken returns the token in the file.
func NewToken(file string) Token { return Token{file} }

// Value returns the token.
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

// Allows reports whether a request's Authorization header carries the token. It
// takes the same time whatever is wrong, so that a token can't be guessed piece
// by piece.
func (t Token) Allows(header string) bool {
	value, err := t.Value()
	if err != nil {
		return false
	}

	return subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+value)) == 1
}
