package caller

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
)

func computeMAC(key string, nonce []byte, purpose string) []byte {
	sum := hmac.New(sha256.New, []byte(key))
	sum.Write([]byte(purpose))
	sum.Write(nonce)
	return sum.Sum(nil)
}

// serverHandshake proves to each side that the other one knows the shared key, before any call.
func serverHandshake(connection net.Conn, key string) error {
	if err := connection.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return eris.Wrap(err, "set the handshake deadline")
	}
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	if _, err := connection.Write(nonce); err != nil {
		return eris.Wrap(err, "send the server's handshake nonce")
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(connection, response); err != nil {
		return eris.Wrap(err, "read the client's handshake response")
	}
	if !hmac.Equal(response[nonceBytes:], computeMAC(key, nonce, "client")) {
		return eris.New("handshake: peer does not know the shared key")
	}
	if _, err := connection.Write(computeMAC(key, response[:nonceBytes], "server")); err != nil {
		return eris.Wrap(err, "send the server's handshake MAC")
	}
	return eris.Wrap(connection.SetDeadline(time.Time{}), "clear the handshake deadline")
}

// clientHandshake is the client's side of serverHandshake; it ends with the context's deadline at the latest.
func clientHandshake(ctx context.Context, connection net.Conn, key string) error {
	limit := time.Now().Add(handshakeTimeout)
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Before(limit) {
		limit = deadline
	}
	if err := connection.SetDeadline(limit); err != nil {
		return eris.Wrap(err, "set the handshake deadline")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(connection, nonce); err != nil {
		return eris.Wrap(err, "read the server's handshake nonce")
	}
	clientNonce := make([]byte, nonceBytes)
	_, _ = rand.Read(clientNonce)
	if _, err := connection.Write(append(clientNonce, computeMAC(key, nonce, "client")...)); err != nil {
		return eris.Wrap(err, "send the client's handshake response")
	}
	serverMAC := make([]byte, sha256.Size)
	if _, err := io.ReadFull(connection, serverMAC); err != nil {
		return eris.Wrap(err, "read the server's handshake MAC")
	}
	if !hmac.Equal(serverMAC, computeMAC(key, clientNonce, "server")) {
		return eris.New("handshake: server does not know the shared key")
	}
	return eris.Wrap(connection.SetDeadline(time.Time{}), "clear the handshake deadline")
}
