package http1

import (
	"bytes"
	"net/http"
	"strings"
)

// maxStatus is the largest status that RFC 9110 defines as valid.
const maxStatus = 599

// checkStatus returns ErrMalformed for a status that is neither final nor informational. 101 is an
// answer only to a request for it, and no request has one.
func checkStatus(response *http.Response) error {
	if status := response.StatusCode; status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > maxStatus {
		return ErrMalformed.With("status")
	}

	return nil
}

// tokenBytes are the bytes of a field name besides letters and digits.
const tokenBytes = "!#$%&'*+-.^_`|~"

// checkHead returns ErrMalformed for a head with a line that is no field. A folded line, which
// starts with a blank, is no field either: it looks the same as a name with a blank.
func checkHead(head []byte) error {
	for line := range bytes.Lines(fields(head)) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			break
		}

		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(string(name)) {
			return ErrMalformed.With("field name")
		}
	}

	return nil
}

// fields returns the lines of a head after the first.
func fields(head []byte) []byte {
	_, lines, _ := bytes.Cut(head, []byte("\n"))

	return lines
}

// isToken reports whether a text is a valid field name.
func isToken(text string) bool {
	for i := range len(text) {
		b := text[i]

		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte(tokenBytes, b) < 0 {
			return false
		}
	}

	return text != ""
}
