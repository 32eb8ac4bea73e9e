package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"

	"github.com/pollencart/pollencart/internal/http1"
	"github.com/pollencart/pollencart/internal/membudget"
)

// Reasons for which a head is rejected.
var (
	errHeadTooLarge = errors.New("head is over the limit")
	errMalformed    = errors.New("head is not valid HTTP")
)

// source reads from a connection, after what was put back.
type source struct {
	from    net.Conn
	account *membudget.Account
	back    []byte
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (int, error) {
	if len(s.back) > 0 {
		n := copy(b, s.back)
		if s.back = s.back[n:]; len(s.back) == 0 {
			s.back = nil
		}

		return n, nil
	}

	n, err := s.from.Read(b)
	s.account.Moved(n)

	return n, err
}

// readHead reads the head of a call of most bytes at the most. It decodes the head once it has its end and the memory for
// it: a decoded head takes many times its bytes.
func (c *conn) readHead(most int, charge *membudget.Charge) (*http.Request, error) {
	buffered, _ := c.in.Peek(c.in.Buffered()) // can't fail: nothing is read

	end := headEnd(buffered, 0)
	if end > 0 {
		return c.decodeHead(buffered[:end], charge)
	}

	head, end, err := c.readLongHead(most, charge)
	if err != nil {
		return nil, err
	}

	defer charge.Free(membudget.Requests, 2*cap(head)+readBuffer)

	rest, _ := c.in.Peek(c.in.Buffered()) // can't fail: nothing is read
	c.source.back = slices.Concat(head, rest, c.source.back)
	c.in.Reset(c.source)

	return c.decodeHead(head[:end], charge)
}

// readLongHead reads until the end of a head, which the buffer of the connection does not hold. It returns what it has
// read, and where the head ends in it.
func (c *conn) readLongHead(most int, charge *membudget.Charge) (head []byte, end int, err error) {
	const copies = 2 // it is put back behind the buffer of the connection

	if !charge.Take(membudget.Requests, copies*most+readBuffer) {
		return nil, 0, membudget.ErrNoRoom
	}

	head = make([]byte, 0, most)

	for len(head) < most {
		n, err := c.in.Read(head[len(head):most])
		searched := len(head)
		head = head[:searched+n]

		end = headEnd(head, searched)

		switch {
		case end > 0:
			return head, end, nil
		case err != nil:
			return nil, 0, err
		case !beginsRequest(head):
			return nil, 0, errMalformed
		}
	}

	return nil, 0, errHeadTooLarge
}

// decodeHead decodes the head that is next in the buffer.
func (c *conn) decodeHead(head []byte, charge *membudget.Charge) (*http.Request, error) {
	if !charge.Take(membudget.Requests, callBytes+membudget.HeadBytes(head)) {
		return nil, membudget.ErrNoRoom
	}

	// The check comes first: http.ReadRequest may end the head elsewhere.
	if http1.CheckRequest(head) != nil {
		return nil, errMalformed
	}

	request, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, errMalformed
	}

	return request, nil
}

// headEnd returns the length of the head at the start of data, or 0 if it does not end in it. The bytes before
// searched were searched before.
func headEnd(data []byte, searched int) int {
	// An empty line has two bytes at most, after the end of the line before it.
	const lineEnd = 3

	from := max(searched-lineEnd, 0)

	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}

		if len(bytes.TrimSuffix(lineBefore(data, from+i), []byte("\r"))) == 0 {
			return from + i + 1
		}

		from += i + 1
	}
}

// lineBefore returns the line that ends with the line break at an index.
func lineBefore(data []byte, end int) []byte {
	return data[bytes.LastIndexByte(data[:end], '\n')+1 : end]
}

// beginsRequest reports whether data may be the beginning of a request. Other input is rejected without its end.
func beginsRequest(data []byte) bool {
	const words = 3

	line, _, whole := bytes.Cut(data, []byte("\n"))
	parts := bytes.SplitN(line, []byte(" "), words)

	return !whole || len(parts) == words && bytes.HasPrefix(parts[words-1], []byte("HTTP/"))
}

var _ io.Reader = (*source)(nil)
