package http1

import (
	"net/http"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of responses.
var (
	// ErrMalformed means that the bytes are no valid response.
	ErrMalformed = errs.New("http1.malformed", http.StatusBadGateway, "the answer is no valid HTTP response")
	// ErrTooLarge means that a head is over its limit.
	ErrTooLarge = errs.New("http1.too_large", http.StatusBadGateway, "the head of the answer is over its limit")
)
