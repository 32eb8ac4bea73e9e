// Package http1test provides an HTTP peer that sends broken answers, for tests of clients.
//
// # Usage
//
//	s := http1test.NewServer(t)
//	for name, a := range http1test.Broken("", `{"Name":"a"}`) {
//		s.Send(a)
//		err := client.Do(s.Address) // must fail, without http1test.Secret in its text
//	}
package http1test

import (
	"bufio"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Secret is in the malformed answers and in the bodies of failures that break off. No error may hold it.
const Secret = "b3c0ffee"

// Answer is what a peer sends for a request before it ends the connection.
type Answer struct {
	Text string
	// Reset makes the peer reset the connection, and not close it.
	Reset bool
	// Repeat, if set, follows Text again and again until the connection is closed by the other side.
	Repeat string
}

// Server is a peer that answers the first request of each connection.
type Server struct {
	// Address is the host and port of the server.
	Address string

	requests atomic.Int64
	repeated atomic.Int64
	answer   atomic.Pointer[Answer]
}

// NewServer returns a server that runs until the test ends.
func NewServer(tb testing.TB) *Server {
	tb.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}

	tb.Cleanup(func() { _ = l.Close() })

	s := &Server{Address: l.Addr().String()}
	s.Send(Answer{})

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go s.serve(c.(*net.TCPConn)) //nolint:forcetypeassert // the listener is TCP
		}
	}()

	return s
}

// Send sets the answer to later requests.
func (s *Server) Send(a Answer) { s.answer.Store(&a) }

// Repeated returns the number of bytes that answers without end have had in all.
func (s *Server) Repeated() int64 { return s.repeated.Load() }

// Requests returns the number of requests that were read.
func (s *Server) Requests() int64 { return s.requests.Load() }

func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()

	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}

	_, _ = io.Copy(io.Discard, r.Body)

	s.requests.Add(1)

	a := s.answer.Load()
	_, _ = io.WriteString(c, a.Text)

	if a.Repeat != "" {
		s.repeat(c, a.Repeat)
	}

	if a.Reset {
		_ = c.SetLinger(0)
	}
}

// repeat sends a text until the connection is closed.
func (s *Server) repeat(c net.Conn, text string) {
	const blockBytes = 64 << 10

	block := []byte(strings.Repeat(text, blockBytes/len(text)+1))

	for {
		n, err := c.Write(block)
		s.repeated.Add(int64(n))

		if err != nil {
			return
		}
	}
}

// Endless returns answers without end by name.
func Endless() map[string]Answer {
	const head = "HTTP/1.1 200 OK\r\n"

	return map[string]Answer{
		"NoAnswer":      {Repeat: "x"},
		"StatusLine":    {Text: "HTTP/1.1 200 ", Repeat: "x"},
		"Name":          {Text: head, Repeat: "x"},
		"Value":         {Text: head + "A: ", Repeat: "x"},
		"Lines":         {Text: head, Repeat: "A: b\r\n"},
		"Informational": {Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"NoLength":      {Text: head + "\r\n", Repeat: "x"},
		"Length":        {Text: head + "Content-Length: 1000000000000\r\n\r\n", Repeat: "x"},
		"Chunks":        {Text: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "8\r\nxxxxxxxx\r\n"},
		"ChunkLine":     {Text: head + "Transfer-Encoding: chunked\r\n\r\n8;", Repeat: "x"},
		"Trailers":      {Text: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "A: b\r\n"},
		"Spaces":        {Text: head + "\r\n{}", Repeat: " "},
		"Failure":       {Text: "HTTP/1.1 500 Internal Server Error\r\n\r\n", Repeat: "x"},
	}
}

// Broken returns broken answers by name: each framing of an answer with the given lines of its head and
// body, as a success and as a failure, cut after each byte by a close and by a reset, and answers
// that are malformed. Lines end with CRLF.
func Broken(lines, body string) iter.Seq2[string, Answer] {
	return func(yield func(string, Answer) bool) {
		for name, whole := range framings(lines, body) {
			if !yieldCuts(name, whole, yield) {
				return
			}
		}

		for name, text := range malformed(lines, body) {
			if !yield(name, Answer{Text: text}) {
				return
			}
		}
	}
}

// yieldCuts yields an answer cut after each byte, and reports whether more are wanted.
func yieldCuts(name, whole string, yield func(string, Answer) bool) bool {
	for n := range len(whole) {
		if !yield(fmt.Sprintf("%s/%d/Reset", name, n), Answer{Text: whole[:n], Reset: true}) {
			return false
		}

		if strings.HasPrefix(name, "NoLength") && strings.Contains(whole[:n], "\r\n\r\n") {
			continue // an orderly end of the connection ends the answer
		}

		if !yield(fmt.Sprintf("%s/%d/Close", name, n), Answer{Text: whole[:n]}) {
			return false
		}
	}

	return true
}

func framings(lines, body string) map[string]string {
	out := map[string]string{}

	for _, status := range []string{"200 OK", "500 Internal Server Error"} {
		head := "HTTP/1.1 " + status + "\r\n" + lines
		if status != "200 OK" {
			body = Secret + body
		}

		out["Length "+status] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		out["Chunks "+status] = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		out["NoLength "+status] = head + "\r\n" + body
	}

	return out
}

func malformed(lines, body string) map[string]string {
	rest := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)
	chunks := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", lines, len(body), body)
	out := map[string]string{
		"NoResponse":       Secret + "\r\n\r\n",
		"ControlInName":    "HTTP/1.1 200 OK\r\nX\x01" + Secret + ": v\r\n" + rest,
		"BlankInName":      "HTTP/1.1 200 OK\r\nX " + Secret + ": v\r\n" + rest,
		"BlankBeforeColon": "HTTP/1.1 200 OK\r\n" + lines + "Content-Length : 1\r\n\r\n" + body + Secret,
		"NoColon":          "HTTP/1.1 200 OK\r\n" + Secret + "\r\n" + rest,
		"Version2":         "HTTP/2.0 200 " + Secret + "\r\n" + rest,
		"LengthOfLetters":  "HTTP/1.1 200 OK\r\nContent-Length: " + Secret + "\r\n\r\n" + body,
		"ChunkSize":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Secret + "xyz\r\n",
		"BlankInTrailer":   "HTTP/1.1 200 OK\r\n" + chunks + "X " + Secret + ": v\r\n\r\n",
		"ControlInTrailer": "HTTP/1.1 200 OK\r\n" + chunks + "X\x01" + Secret + ": v\r\n\r\n",
	}

	for _, status := range []string{"000", "099", "101", "600", "999", "20", "2OO"} {
		out["Status"+status] = "HTTP/1.1 " + status + " " + Secret + "\r\n" + rest
	}

	return out
}
