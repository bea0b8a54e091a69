package caller

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

const replyEntries = 20000

// slowService replies with a value that takes a while to decode.
type slowService struct{}

// Fetch replies with as many entries as requested.
func (slowService) Fetch(entries int, reply *map[int]string) error {
	*reply = map[int]string{}
	for i := range entries {
		(*reply)[i] = "entry"
	}
	return nil
}

func newTestClient(t *testing.T) (*Client, string) {
	t.Helper()
	server, err := NewServer("127.0.0.1:0", "key")
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Register("Slow", slowService{}); err != nil {
		t.Fatal(err)
	}
	server.Start()
	t.Cleanup(server.Stop)
	client := NewClient("key")
	t.Cleanup(client.Close)
	return client, server.Address()
}

// TestAbandonedCallLeavesReplyUntouched guards against decoding a late reply into the caller's variable after Call has returned an error, which the
// race detector reports.
func TestAbandonedCallLeavesReplyUntouched(t *testing.T) {
	client, address := newTestClient(t)
	abandoned := 0
	for round := range 60 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(round)*time.Millisecond)
		reply := map[int]string{-1: "before"}
		err := client.Call(ctx, address, "Slow.Fetch", replyEntries, &reply)
		cancel()
		switch {
		case err == nil && len(reply) != replyEntries:
			t.Fatalf("a call without an error returned %d entries, expected %d", len(reply), replyEntries)
		case err != nil && (len(reply) != 1 || reply[-1] != "before"):
			t.Fatalf("an abandoned call changed the caller's variable: %d entries", len(reply))
		case err != nil:
			abandoned++
		}
	}
	if abandoned == 0 {
		t.Error("no call was abandoned")
	}
}

// TestCanceledCallKeepsConnection checks that one canceled call does not fail the others on the same connection.
func TestCanceledCallKeepsConnection(t *testing.T) {
	client, address := newTestClient(t)
	var reply map[int]string
	if err := client.Call(t.Context(), address, "Slow.Fetch", 1, &reply); err != nil {
		t.Fatal(err)
	}
	other := make(chan error, 1)
	go func() {
		var reply map[int]string
		other <- client.Call(t.Context(), address, "Slow.Fetch", replyEntries, &reply)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := client.Call(ctx, address, "Slow.Fetch", 1, &reply); err == nil {
		t.Log("the canceled call was answered before it could be abandoned")
	}
	if err := <-other; err != nil {
		t.Errorf("the other call failed: %v", err)
	}
}

// TestHandshakeEndsWithTheContext guards against waiting for a peer that accepts a connection and is frozen for longer than the caller allows.
func TestHandshakeEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connection, peer := net.Pipe()
		defer func() { _ = errors.Join(connection.Close(), peer.Close()) }()
		const allowed = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), allowed)
		defer cancel()
		begun := time.Now()
		if err := clientHandshake(ctx, connection, "key"); err == nil {
			t.Error("a handshake with a silent peer succeeded")
		}
		if took := time.Since(begun); took != allowed {
			t.Errorf("the handshake ended after %s, expected %s", took, allowed)
		}
	})
}
