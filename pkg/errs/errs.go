// Package errs holds the error type that every other package uses.
//
// An error carries a stable ID that names the fault, a Code in the range of
// HTTP status codes, and a Detail for a person. Packages declare sentinels
// with New and return them with more detail; callers test the sentinel:
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

// Error is a fault with a stable identity.
type Error struct {
	ID     string `json:"ID" msgpack:"ID"`
	Code   int    `json:"Code" msgpack:"Code"`
	Detail string `json:"Detail" msgpack:"Detail"`

	cause error
}

// New returns a sentinel.
func New(id string, code int, detail string) *Error {
	return &Error{ID: id, Code: code, Detail: detail}
}

// With returns a copy that says more about this occurrence.
func (e *Error) With(format string, args ...any) *Error {
	c := *e
	c.Detail = e.Detail + ": " + fmt.Sprintf(format, args...)

	return &c
}

// Wrap returns a copy that keeps the cause.
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

// Is reports whether the target has the same identity.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)

	return ok && t.ID == e.ID
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns err as an *Error, wrapping foreign errors as internal ones.
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
