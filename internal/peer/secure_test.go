package peer_test

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/credentials"
	"github.com/pollencart/pollencart/internal/credentials/credentialstest"
	"github.com/pollencart/pollencart/internal/peer"
)

// A process that can't prove itself connects to a node, in the clear, without a
// certificate, or with one of another authority. It must learn nothing, and what
// it sends must change nothing.
func TestWhoCantProveItselfLearnsAndChangesNothing(t *testing.T) {
	fleet, foreign := credentialstest.NewAuthority(t), credentialstest.NewAuthority(t)
	keys := credentials.New(fleet.Issue(t, t.TempDir()))
	a, b := newEnd(t, peer.WithTLS(keys)), newEnd(t, peer.WithTLS(keys))
	assert.NilError(t, a.ping(t.Context(), b))

	received := b.server.Received.Load()
	stranger := newEnd(t, peer.WithTLS(credentials.New(foreign.Issue(t, t.TempDir(), fleet))))
	plain := newEnd(t)

	assert.Assert(t, stranger.ping(t.Context(), b) != nil)
	plain.timeout = short
	assert.Assert(t, plain.ping(t.Context(), b) != nil)

	raw, err := tls.Dial("tcp", b.address, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	if err == nil {
		data, err := peer.Encode(&peer.Frame{Kind: peer.KindRequest, ID: 1, Method: "Ping", Body: []byte{0xc0}})
		assert.NilError(t, err)

		_, _ = raw.Write(data)
		answer, _ := io.ReadAll(raw)
		assert.Equal(t, len(answer), 0)
	}

	assert.Equal(t, b.server.Received.Load(), received, "no frame of theirs was read")
	a.timeout = short
	assert.Assert(t, a.ping(t.Context(), plain) != nil, "nor does a node talk to who can't prove itself")
}

// Keys are rotated on a running fleet: first all trust the old and the new
// authority, then all get new keys, then nobody trusts the old one. A node that
// needed a restart for it would cost its callers one for each rotation.
func TestKeysAreRotatedWithoutARestart(t *testing.T) {
	before, after := credentialstest.NewAuthority(t), credentialstest.NewAuthority(t)
	dir := t.TempDir()
	files := before.Issue(t, dir)
	old := credentials.New(before.Issue(t, t.TempDir(), after))
	a := newEnd(t, peer.WithTLS(credentials.New(files)))
	b := newEnd(t, peer.WithTLS(old))

	assert.NilError(t, b.ping(t.Context(), a))

	// Half a file is there for a moment: the keys in use stay.
	assert.NilError(t, os.WriteFile(files.Key, []byte("-----BEGIN"), 0o600))
	time.Sleep(1100 * time.Millisecond)
	assert.NilError(t, newEnd(t, peer.WithTLS(old)).ping(t.Context(), a))

	after.Issue(t, dir)

	for start := time.Now(); newEnd(t, peer.WithTLS(old)).ping(t.Context(), a) == nil; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < patience, "the old keys are still trusted")
	}

	renewed := newEnd(t, peer.WithTLS(credentials.New(after.Issue(t, t.TempDir()))))
	assert.NilError(t, renewed.ping(t.Context(), a))
}

// Somebody opens connections and says nothing, or sends a frame a byte at a time.
// Kept, they would use up the connections that other nodes need.
func TestASilentConnectionIsClosed(t *testing.T) {
	a := newEnd(t, peer.WithHelloTimeout(50*time.Millisecond))

	conn, err := net.Dial("tcp", a.address)
	assert.NilError(t, err)

	_, _ = conn.Write([]byte{0, 0})
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(patience)))

	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// More connections than the limit: the ones over it are closed, those below go on.
func TestConnectionsOverTheLimitAreRefused(t *testing.T) {
	a, b := newEnd(t), newEnd(t, peer.WithMaxConns(1))
	assert.NilError(t, a.ping(t.Context(), b))
	assert.Assert(t, newEnd(t).ping(t.Context(), b) != nil)
	assert.NilError(t, a.ping(t.Context(), b))
}

// Whatever arrives, decoding gives a frame that checks or an error.
func FuzzRead(f *testing.F) {
	for _, frame := range []*peer.Frame{
		{Kind: peer.KindRequest, ID: 7, Method: "Ping", Body: []byte{0xc0}},
		{Kind: peer.KindHello, Method: "127.0.0.1:7000"},
		{Kind: peer.KindCancel, ID: 7},
	} {
		data, err := peer.Encode(frame)
		assert.NilError(f, err)
		f.Add(data)
	}

	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, size, err := peer.Read(bufio.NewReader(bytes.NewReader(data)))
		if err == nil && (frame.Check() != nil || size > len(data)) {
			t.Fatalf("%d bytes of %d: %+v", size, len(data), frame)
		}
	})
}
