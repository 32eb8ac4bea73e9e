package backend_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/backend"
)

// secret is in each malformed answer and may be in no error.
const secret = "b3c0ffee"

// malformed are answers that are no HTTP responses.
var malformed = map[string]string{
	"NoResponse":                 secret + "\r\n\r\n",
	"BlankInName":                answerHead + "X " + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"BlankBeforeColon":           answerHead + "Content-Length : 5\r\n\r\nhello" + secret,
	"BlankBeforeColonOfOther":    answerHead + secret + " : v\r\nContent-Length: 5\r\n\r\nhello",
	"BlankBeforeName":            answerHead + " " + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"BlankBeforeLength":          answerHead + " Content-Length: 5\r\n\r\nhello" + secret,
	"BlankBeforeFirstName":       "HTTP/1.1 200 OK\r\n " + secret + ": v\r\n" + answerFields + "Content-Length: 5\r\n\r\nhello",
	"TabBeforeName":              answerHead + "\t" + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"TabInName":                  answerHead + "X\t" + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"ControlInName":              answerHead + "X\x01" + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"ControlBeforeName":          answerHead + "\x0b" + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"ReturnInName":               answerHead + "X\r" + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"DeleteInName":               answerHead + "X\x7f" + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"HighByteInName":             answerHead + "X\xe9" + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
	"NoName":                     answerHead + ": " + secret + "\r\nContent-Length: 5\r\n\r\nhello",
	"NoColon":                    answerHead + secret + "\r\nContent-Length: 5\r\n\r\nhello",
	"BlankLineOfBlanks":          answerHead + "Content-Length: 5\r\n \r\n\r\nhello" + secret,
	"ControlInValue":             answerHead + "X: a\x00" + secret + "\r\nContent-Length: 5\r\n\r\nhello",
	"ReturnInValue":              answerHead + "X: a\r" + secret + "\r\nContent-Length: 5\r\n\r\nhello",
	"Status000":                  status("000 " + secret),
	"Status099":                  status("099 " + secret),
	"StatusWithSign":             status("+20 " + secret),
	"StatusBelowZero":            status("-20 " + secret),
	"Status600":                  status("600 " + secret),
	"Status999":                  status("999 " + secret),
	"Status101":                  status("101 " + secret),
	"StatusOfTwoDigits":          status("20 " + secret),
	"StatusOfFourDigits":         status("2000 " + secret),
	"StatusOfLetters":            status("2OO " + secret),
	"NoStatus":                   "HTTP/1.1\r\n" + answerFields + "Content-Length: 5\r\n\r\nhello",
	"ControlInReason":            status("200 \x01" + secret),
	"Version0":                   strings.Replace(status("200 "+secret), "/1.1", "/0.9", 1),
	"Version2":                   strings.Replace(status("200 "+secret), "/1.1", "/2.0", 1),
	"TwoLengths":                 answerHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + secret,
	"LengthWithSign":             answerHead + "Content-Length: +5\r\n\r\nhello" + secret,
	"LengthBelowZero":            answerHead + "Content-Length: -5\r\n\r\nhello" + secret,
	"LengthOfLetters":            answerHead + "Content-Length: " + secret + "\r\n\r\nhello",
	"LengthAndChunks":            answerHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"UnknownEncoding":            answerHead + "Transfer-Encoding: " + secret + "\r\n\r\nhello",
	"TwoEncodings":               answerHead + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"ChunksInVersion1.0":         strings.Replace(answerHead, "/1.1", "/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"ChunkSizeOfLetters":         answerHead + chunked + secret + "xyz\r\nhello\r\n0\r\n\r\n",
	"ChunkSizeWithSign":          answerHead + chunked + "+5\r\nhello\r\n0\r\n\r\n",
	"ChunkLongerThanItsSize":     answerHead + chunked + "5\r\nhello" + secret + "\r\n0\r\n\r\n",
	"ChunkSizeOver64Bits":        answerHead + chunked + "10000000000000005\r\nhello\r\n0\r\n\r\n",
	"BlankInTrailerName":         answerHead + chunked + "5\r\nhello\r\n0\r\nX " + secret + ": v\r\n\r\n",
	"ControlInTrailerName":       answerHead + chunked + "5\r\nhello\r\n0\r\nX\x01" + secret + ": v\r\n\r\n",
	"ControlInTrailerValue":      answerHead + chunked + "5\r\nhello\r\n0\r\nX: a\x00" + secret + "\r\n\r\n",
	"NoColonInTrailer":           answerHead + chunked + "5\r\nhello\r\n0\r\n" + secret + "\r\n\r\n",
	"BlankBeforeFirstTrailer":    answerHead + chunked + "5\r\nhello\r\n0\r\n " + secret + ": v\r\n\r\n",
	"InformationalWithBlankName": "HTTP/1.1 103 Early Hints\r\nX " + secret + ": v\r\n\r\n" + answerHead + "Content-Length: 5\r\n\r\nhello",
}

const (
	answerFields = "Pollencart-Call: id-1\r\nPollencart-Signature: s\r\n"
	chunked      = "Transfer-Encoding: chunked\r\n\r\n"
)

// status returns an answer with the given text after the version.
func status(text string) string {
	return "HTTP/1.1 " + text + "\r\n" + answerFields + "Content-Length: 5\r\n\r\nhello"
}

// Guards against a malformed answer that is passed on, in part or with another body, or waited for until the deadline.
func TestMalformedAnswerReturnsErrLost(t *testing.T) {
	t.Parallel()

	for name, answer := range malformed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			closed := make(chan struct{})
			p := serve(t, func(c *peerConn) {
				if _, _, err := c.request(); err != nil {
					return
				}

				_, _ = io.WriteString(c, answer)
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
				close(closed)
			})

			a, err := do(t, p, "id-1", "")
			assert.ErrorIs(t, err, backend.ErrLost)
			assert.Equal(t, a.Status, 0)
			assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
			<-closed
		})
	}
}

// Guards against a caller that waits until its deadline for the rest of an answer that can't become one.
func TestMalformedHeadEndsTheCallAtOnce(t *testing.T) {
	for _, name := range []string{"Status000", "Status101", "BlankInName", "BlankBeforeName", "Version2"} {
		p := serve(t, func(c *peerConn) {
			if _, _, err := c.request(); err != nil {
				return
			}

			_, _ = io.WriteString(c, malformed[name])
			_, _ = io.Copy(io.Discard, c)
		})

		began := time.Now()
		_, err := do(t, p, "id-1", "")
		assert.ErrorIs(t, err, backend.ErrLost, name)
		assert.Assert(t, time.Since(began) < waitLimit/2, name)
	}
}

// Guards against sound answers that the checks turn away.
func TestUnusualAnswersAreDelivered(t *testing.T) {
	t.Parallel()

	for name, answer := range map[string]string{
		"NoLength":           answerHead + "\r\nhello",
		"Version1.0":         strings.Replace(answerHead, "/1.1", "/1.0", 1) + "\r\nhello",
		"NoReason":           "HTTP/1.1 200\r\n" + answerFields + "Content-Length: 5\r\n\r\nhello",
		"LineFeeds":          strings.ReplaceAll(answerHead+"Content-Length: 5\r\n\r\nhello", "\r\n", "\n"),
		"LengthTwice":        answerHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
		"NoBlankAfterColon":  strings.ReplaceAll(answerHead, ": ", ":") + "Content-Length:5\r\n\r\nhello",
		"BlanksAroundValues": answerHead + "Content-Length: \t 5 \t\r\nX:  a\tb \r\n\r\nhello",
		"HighBytesInValue":   answerHead + "X: caf\xe9\r\nContent-Length: 5\r\n\r\nhello",
		"EveryTokenByte":     answerHead + "!#$%&'*+-.^_`|~09azAZ: v\r\nContent-Length: 5\r\n\r\nhello",
		"NoValue":            answerHead + "X:\r\nContent-Length: 5\r\n\r\nhello",
		"Chunks":             answerHead + chunked + "2\r\nhe\r\n003;a=b\r\nllo\r\n0\r\n\r\n",
		"Trailers":           answerHead + "Trailer: X\r\n" + chunked + "5\r\nhello\r\n0\r\nX: v\r\n\r\n",
		"LongHead":           answerHead + strings.Repeat("X: "+strings.Repeat("v", 1000)+"\r\n", 60) + "Content-Length: 5\r\n\r\nhello",
		"Informational":      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + answerHead + "Content-Length: 5\r\n\r\nhello",
		"Failure":            strings.Replace(answerHead, "200 OK", "599 Unusual", 1) + "Content-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			p := serve(t, func(c *peerConn) {
				if _, _, err := c.request(); err == nil {
					_, _ = io.WriteString(c, answer)
				}
			})

			a, err := do(t, p, "id-1", "")
			assert.NilError(t, err)
			assert.Equal(t, string(a.Body), "hello")
		})
	}
}
