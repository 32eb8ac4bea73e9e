// Package jsonc is a strict decoder for JSON with comments.
//
// Unknown keys are rejected. Every error names the file, the position or key, and the
// reason, so that an operator can correct the file.
//
//	var c config.Config
//	err := jsonc.Decode("node.jsonc", data, &c)
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrSyntax is returned for text that is not JSON with comments.
var ErrSyntax = errs.New("jsonc.syntax", http.StatusBadRequest, "not valid JSON with comments")

// ErrValue is returned for an unknown key or a value of the wrong type.
var ErrValue = errs.New("jsonc.value", http.StatusBadRequest, "key or value not accepted")

// Decode decodes data into out. The file name is used only in errors.
func Decode(file string, data []byte, out any) error {
	std, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return ErrSyntax.With("%s: %s", file, strings.TrimPrefix(err.Error(), "hujson: "))
	}

	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()

	if err := dec.Decode(out); err != nil {
		return ErrValue.With("%s: %s", file, reason(err))
	}

	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return ErrSyntax.With("%s: more than one value", file)
	}

	return nil
}

func reason(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return "key " + typeErr.Field + ": a " + typeErr.Value + " does not fit, want " + typeErr.Type.String()
	}

	return strings.TrimPrefix(err.Error(), "json: ")
}
