package http1

import (
	"bytes"
	"net/http"
	"strings"
)

// maxStatus is the largest status that RFC 9110 defines as valid.
const maxStatus = 599

// Check returns ErrMalformed for a response that net/http has decoded and that is no valid one. Unlike
// [Reader] it can't tell a folded line from a value.
func Check(response *http.Response) error {
	if err := check(response); err != nil {
		return err
	}

	return checkNames(response.Header)
}

// EndsWithConnection reports whether only the end of the connection ends the body of a response.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// check returns ErrMalformed for a version other than HTTP/1.x, and for a status that is neither final
// nor informational. 101 is an answer only to a request for it, and no request has one.
func check(response *http.Response) error {
	status := response.StatusCode

	switch {
	case response.ProtoMajor != 1:
		return ErrMalformed.With("version")
	case status < http.StatusContinue, status == http.StatusSwitchingProtocols, status > maxStatus:
		return ErrMalformed.With("status")
	}

	return nil
}

// nameSymbols are the bytes of a field name besides letters and digits.
const nameSymbols = "!#$%&'*+-.^_`|~"

// checkHead returns ErrMalformed for a head with a line that is no field, or with fields that
// contradict each other about the end of the body. A folded line, which starts with a blank, is no
// field either: it looks the same as a name with a blank.
func checkHead(response *http.Response, head []byte) error {
	statusLine, lines, _ := bytes.Cut(head, []byte("\n"))
	if bytes.ContainsFunc(trimEnd(statusLine), isControl) {
		return ErrMalformed.With("status line")
	}

	length, encoded := false, false

	for line := range bytes.Lines(lines) {
		if line = trimEnd(line); len(line) == 0 {
			break
		}

		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return ErrMalformed.With("field name")
		}

		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		encoded = encoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}

	if encoded && (length || !response.ProtoAtLeast(1, 1)) {
		return ErrMalformed.With("length and encoding")
	}

	return nil
}

// checkNames returns ErrMalformed if a name of decoded fields is invalid.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return ErrMalformed.With("field name")
		}
	}

	return nil
}

// trimEnd removes the end of a line.
func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken reports whether a text is a valid field name.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		b := text[i]

		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte(nameSymbols, b) < 0 {
			return false
		}
	}

	return len(text) > 0
}
