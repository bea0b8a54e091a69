package deployer

import (
	"context"
	"net"
	"strings"
	"testing"

	entryserver "github.com/cranberryward/cranberryward/entry/server"
)

// TestFreeAddressesAreReserved guards against two processes that choose the same address, as one finds it free before the other has used it.
func TestFreeAddressesAreReserved(t *testing.T) {
	address, err := FreeAddress("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	if reservation, err := net.ListenPacket("udp", address); err == nil {
		_ = reservation.Close() // the test has failed
		t.Errorf("another process may choose %s too", address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("%s cannot be used: %v", address, err)
	}
	_ = listener.Close() // nothing is served
}

// TestFailedStartNamesTheAddress guards against a panic, which hides the error, when a deployment stops after an entry could not open a listener.
func TestFailedStartNamesTheAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	for name, change := range map[string]func(settings *entryserver.Settings){
		"for callers":        func(settings *entryserver.Settings) { settings.Listen = taken.Addr().String() },
		"for administration": func(settings *entryserver.Settings) { settings.AdminListen = taken.Addr().String() },
		"for peers":          func(settings *entryserver.Settings) { settings.PeerListen = taken.Addr().String() },
	} {
		t.Run(name, func(t *testing.T) {
			options := DefaultOptions()
			options.ChangeEntry = change
			deployment, err := Start(t.Context(), options)
			if err == nil {
				deployment.Stop(context.Background())
				t.Fatal("started on an address that is taken")
			}
			if !strings.Contains(err.Error(), taken.Addr().String()) {
				t.Errorf("error %q, expected one that names %s", err, taken.Addr())
			}
		})
	}
}
