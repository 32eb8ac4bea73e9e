package transport_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/http1"
	"github.com/pollencart/pollencart/internal/http1/http1test"
	"github.com/pollencart/pollencart/internal/http1/transport"
)

func send(t *testing.T, method, address string) (*http.Response, string, error) {
	t.Helper()

	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address, strings.NewReader("body"))
	assert.NilError(t, err)

	base := &http.Transport{DisableKeepAlives: true}

	response, err := (&http.Client{Transport: transport.New(base)}).Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(response.Body)

	return response, string(body), err
}

// Guards against sound answers that the checks turn away.
func TestSoundAnswersAreReturned(t *testing.T) {
	s := http1test.NewServer(t)

	for name, c := range map[string]struct {
		method, text, body string
		endsWithConnection bool
	}{
		"Length":          {"POST", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", false},
		"Chunks":          {"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: v\r\n\r\n", "hello", false},
		"NoLength":        {"POST", "HTTP/1.1 200 OK\r\n\r\nhello", "hello", true},
		"Version1.0":      {"POST", "HTTP/1.0 200 OK\r\n\r\nhello", "hello", true},
		"Informational":   {"POST", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", false},
		"Failure":         {"POST", "HTTP/1.1 599 Unusual\r\nContent-Length: 5\r\n\r\nhello", "hello", false},
		"NoContent":       {"POST", "HTTP/1.1 204 No Content\r\n\r\n", "", false},
		"NotModified":     {"GET", "HTTP/1.1 304 Not Modified\r\n\r\n", "", false},
		"HeadWithoutBody": {"HEAD", "HTTP/1.1 200 OK\r\n\r\n", "", false},
		"HeadWithLength":  {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", false},
	} {
		s.Send(http1test.Answer{Text: c.text})

		response, body, err := send(t, c.method, s.Address)
		assert.NilError(t, err, name)
		assert.Equal(t, body, c.body, name)
		assert.Equal(t, http1.EndsWithConnection(response), c.endsWithConnection, name)
	}
}

// Guards against a part of an answer, or a malformed one, that a client of the transport takes for an answer.
func TestBrokenAnswerIsAnError(t *testing.T) {
	s := http1test.NewServer(t)

	for name, a := range http1test.Broken("", "hello") {
		s.Send(a)

		_, _, err := send(t, http.MethodPost, s.Address)
		assert.Assert(t, err != nil, name)
		assert.Assert(t, !strings.Contains(err.Error(), http1test.Secret), "%s: %v", name, err)
	}
}

// An error without a connection says why there was none.
func TestRefusedConnectionIsToldAsSuch(t *testing.T) {
	_, _, err := send(t, http.MethodGet, "127.0.0.1:1")
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
}
