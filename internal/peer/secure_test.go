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

// A process that can't authenticate connects to a node: in plaintext, without a certificate,
// or with a certificate of another authority. It must receive nothing, and the node must not
// read any frame from it.
func TestUnauthenticatedPeerIsRejected(t *testing.T) {
	fleet, foreign := credentialstest.NewAuthority(t), credentialstest.NewAuthority(t)
	keys := credentials.New(fleet.Issue(t, t.TempDir()))
	a, b := newEndpoint(t, peer.WithTLS(keys)), newEndpoint(t, peer.WithTLS(keys))
	assert.NilError(t, a.ping(t.Context(), b))

	received := b.server.Received.Load()
	stranger := newEndpoint(t, peer.WithTLS(credentials.New(foreign.Issue(t, t.TempDir(), fleet))))
	plain := newEndpoint(t)

	assert.Assert(t, stranger.ping(t.Context(), b) != nil)
	plain.timeout = shortTimeout
	assert.Assert(t, plain.ping(t.Context(), b) != nil)

	raw, err := tls.Dial("tcp", b.address, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	if err == nil {
		data, err := peer.Encode(&peer.Frame{Kind: peer.KindRequest, ID: 1, Method: "Ping", Body: []byte{0xc0}})
		assert.NilError(t, err)

		_, _ = raw.Write(data)
		answer, _ := io.ReadAll(raw)
		assert.Equal(t, len(answer), 0)
	}

	assert.Equal(t, b.server.Received.Load(), received, "the server must not read frames of unauthenticated peers")
	a.timeout = shortTimeout
	assert.Assert(t, a.ping(t.Context(), plain) != nil, "a client must not send to a server that can't authenticate")
}

// Keys are rotated on a running fleet: first all nodes trust the old and the new authority,
// then all get new keys, then trust in the old authority is removed. If a node needed a restart
// to load keys, each rotation would restart the whole fleet.
func TestKeyRotationNeedsNoRestart(t *testing.T) {
	before, after := credentialstest.NewAuthority(t), credentialstest.NewAuthority(t)
	dir := t.TempDir()
	files := before.Issue(t, dir)
	old := credentials.New(before.Issue(t, t.TempDir(), after))
	a := newEndpoint(t, peer.WithTLS(credentials.New(files)))
	b := newEndpoint(t, peer.WithTLS(old))

	assert.NilError(t, b.ping(t.Context(), a))

	// While the key file is incomplete, the loaded keys stay in use.
	assert.NilError(t, os.WriteFile(files.Key, []byte("-----BEGIN"), 0o600))
	time.Sleep(1100 * time.Millisecond)
	assert.NilError(t, newEndpoint(t, peer.WithTLS(old)).ping(t.Context(), a))

	after.Issue(t, dir)

	for start := time.Now(); newEndpoint(t, peer.WithTLS(old)).ping(t.Context(), a) == nil; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < testTimeout, "the old keys are still accepted")
	}

	renewed := newEndpoint(t, peer.WithTLS(credentials.New(after.Issue(t, t.TempDir()))))
	assert.NilError(t, renewed.ping(t.Context(), a))
}

// A process opens connections and sends nothing, or sends a frame one byte at a time. If these
// connections stayed open, they would use up the limit that other nodes need.
func TestConnectionWithoutWholeFirstFrameIsClosed(t *testing.T) {
	a := newEndpoint(t, peer.WithHelloTimeout(50*time.Millisecond))

	conn, err := net.Dial("tcp", a.address)
	assert.NilError(t, err)

	_, _ = conn.Write([]byte{0, 0})
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))

	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Connections over the limit are closed, and those within it keep working.
func TestConnectionsOverLimitAreRejected(t *testing.T) {
	a, b := newEndpoint(t), newEndpoint(t, peer.WithMaxConns(1))
	assert.NilError(t, a.ping(t.Context(), b))
	assert.Assert(t, newEndpoint(t).ping(t.Context(), b) != nil)
	assert.NilError(t, a.ping(t.Context(), b))
}

// Decoding any input returns a valid frame or an error.
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
