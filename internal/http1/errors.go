package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of responses.
var (
	// ErrMalformed means that the bytes are no valid response.
	ErrMalformed = errs.New("http1.malformed", http.StatusBadGateway, "the answer is no valid HTTP response")
	// ErrTooLarge means that a head or a body is over its limit.
	ErrTooLarge = errs.New("http1.too_large", http.StatusBadGateway, "the answer is over a limit")
)

// Failure returns an error of the connection, of the context or of this package as it is, and
// ErrMalformed for any other: the errors of net/http quote the response.
func Failure(err error) error {
	cause := err

	var request *url.Error // a net.Error, whatever it wraps
	if errors.As(err, &request) {
		cause = request.Err
	}

	var network net.Error

	known := []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, context.Canceled, ErrMalformed, ErrTooLarge}
	isError := func(target error) bool { return errors.Is(cause, target) }

	if slices.ContainsFunc(known, isError) || errors.As(cause, &network) {
		return err
	}

	return ErrMalformed
}
