package hosts

import (
	"net"
	"sync"
	"time"
)

// link is the way of all hosts to the store: a proxy on loopback that can reset its
// connections or carry nothing without an error.
type link struct {
	address  string
	to       string
	listener net.Listener

	mu     sync.Mutex
	silent bool
	conns  map[net.Conn]bool
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	k := &link{address: l.Addr().String(), to: to, listener: l, conns: map[net.Conn]bool{}}

	go k.serve()

	return k, nil
}

func (k *link) serve() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}

		out, err := net.Dial("tcp", k.to) //nolint:noctx // on this machine
		if err != nil {
			_ = in.Close() // the store is gone

			continue
		}

		k.mu.Lock()
		k.conns[in], k.conns[out] = true, true
		k.mu.Unlock()

		go k.carry(in, out)
		go k.carry(out, in)
	}
}

const copyBuffer = 32 << 10

func (k *link) carry(to, from net.Conn) {
	defer k.end(to, from)

	buf := make([]byte, copyBuffer)

	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}

		for k.isSilent() {
			time.Sleep(time.Millisecond)
		}

		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (k *link) end(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()

	for _, c := range conns {
		_ = c.Close() // the other half may have closed it
		delete(k.conns, c)
	}
}

func (k *link) isSilent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.silent
}

func (k *link) silence(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.silent = on
}

// reset ends all connections without a word.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()

	for c := range k.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a plain end will do where it can't be set
		}

		_ = c.Close() // it is gone either way
	}
}

func (k *link) close() {
	_ = k.listener.Close() // the run is over
	k.silence(false)
	k.reset()
}
