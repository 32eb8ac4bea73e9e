// Package transport is an http.RoundTripper for peers that may send broken responses.
//
// # Usage
//
//	client := &http.Client{Transport: transport.NewDefault()}
package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/http1"
)

// Errors of broken responses. Both are connections that were lost.
var (
	errUnfinished = fmt.Errorf("the connection ended while the request was written: %w", io.ErrUnexpectedEOF)
	errClosedIdle = fmt.Errorf("the peer closed an idle connection: %w", io.EOF)
)

// finishTimeout bounds the rest of a request after its response has ended with the connection.
const finishTimeout = time.Second

// Transport sends requests by an http.Transport. It returns an error for a response that is no valid one.
// Its errors hold no bytes of the response. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// New returns a transport that uses base for all requests. Responses of HTTP/1.x alone are valid.
func New(base *http.Transport) *Transport { return &Transport{base: base} }

// NewDefault returns a transport with the settings of http.DefaultTransport and connections of its own.
func NewDefault() *Transport {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok { // replaced by the program
		base = &http.Transport{}
	}

	return New(base.Clone())
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var s sending

	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), s.trace())))

	switch {
	case err != nil && s.result() == nil:
		return nil, err // no connection, so nothing of a response
	case err != nil && isClosedIdle(err):
		return nil, errClosedIdle
	case err != nil:
		return nil, http1.Failure(err)
	}

	if err := http1.Check(response); err != nil {
		_ = response.Body.Close()

		return nil, err
	}

	if response.Body != http.NoBody {
		response.Body = &body{
			ReadCloser: http1.Body(response), sending: &s, endsWithConnection: http1.EndsWithConnection(response),
		}
	}

	return response, nil
}

// isClosedIdle matches a net/http error that has no sentinel value.
func isClosedIdle(err error) bool {
	const text = "http: server closed idle connection"

	for ; err != nil; err = errors.Unwrap(err) {
		if err.Error() == text {
			return true
		}
	}

	return false
}

// sending is the state of a request that is being sent.
type sending struct {
	mu      sync.Mutex
	written chan error // holds the result once it is known; nil without a connection
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()

			s.written = make(chan error, 1)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case s.result() <- info.Err:
			default:
			}
		},
	}
}

// result returns the channel of the last connection, or nil if there was none.
func (s *sending) result() chan error {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.written
}

// isWritten reports whether the whole request was written. Otherwise the end of the connection may be
// that of a reset whose error the write got.
func (s *sending) isWritten() bool {
	result := s.result()

	select {
	case err := <-result:
		result <- err

		return err == nil
	case <-time.After(finishTimeout):
		return false
	}
}

// body is the body of a response.
type body struct {
	io.ReadCloser

	sending            *sending
	endsWithConnection bool
}

// Read implements io.Reader.
func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if b.endsWithConnection && errors.Is(err, io.EOF) && !b.sending.isWritten() {
		err = errUnfinished
	}

	return n, err
}
