// Package errs provides the error type of the project.
//
// An error carries a stable ID, an HTTP status code in Code and a human-readable
// Detail. Packages declare sentinels with New and return copies with more detail;
// callers compare with the sentinel:
//
//	var ErrConflict = errs.New("acceptance.conflict", 409, "the branch was changed by another edit")
//
//	err := ErrConflict.With("midlands/browse")
//	errors.Is(err, ErrConflict) // true
package errs

import (
	"errors"
	"fmt"
	"net/http"
)

// Error is an error that errors.Is compares by ID.
type Error struct {
	ID     string `json:"ID" msgpack:"ID"`
	Code   int    `json:"Code" msgpack:"Code"`
	Detail string `json:"Detail" msgpack:"Detail"`

	cause error
}

// New returns a sentinel error.
func New(id string, code int, detail string) *Error {
	return &Error{ID: id, Code: code, Detail: detail}
}

// With returns a copy with the formatted text appended to Detail.
func (e *Error) With(format string, args ...any) *Error {
	c := *e
	c.Detail = e.Detail + ": " + fmt.Sprintf(format, args...)

	return &c
}

// Wrap returns a copy that wraps cause.
func (e *Error) Wrap(cause error) *Error {
	c := *e
	c.cause = cause

	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return e.ID + ": " + e.Detail + ": " + e.cause.Error()
	}

	return e.ID + ": " + e.Detail
}

// Is reports whether target is an *Error with the same ID.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)

	return ok && t.ID == e.ID
}

// Unwrap returns the wrapped error, if any.
func (e *Error) Unwrap() error { return e.cause }

// From returns the *Error in the chain of err. Any other error becomes one with the
// ID "internal" and the text of err as Detail.
func From(err error) *Error {
	if err == nil {
		return nil
	}

	var e *Error
	if errors.As(err, &e) {
		return e
	}

	return &Error{ID: "internal", Code: http.StatusInternalServerError, Detail: err.Error()}
}
