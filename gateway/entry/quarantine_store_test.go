package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/standin/storeserver"
	"github.com/rotisserie/eris"
)

// TestQuarantinesInTheStore follows a quarantine through the platform's store: it is written once, appears in views that are read and updated, cannot be overwritten
// by a process that does not know it, and goes with its time to live.
func TestQuarantinesInTheStore(t *testing.T) {
	server := storeserver.New()
	front := httptest.NewServer(server)
	t.Cleanup(front.Close)
	server.Put("op/config", []byte(`{"Version":1}`))
	store := platform.NewStore(strings.TrimPrefix(front.URL, "http://"))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	before, err := store.ReadView(ctx)
	if err != nil {
		t.Fatal(err)
	}
	quarantine := cranberryward.Quarantine{
		PromptPart: cranberryward.PromptPart{
			Service: "engine",
			ID:      "bad",
		},
		Level: 1,
		Until: time.Now().Add(time.Minute),
	}
	const ttl = 300 * time.Millisecond
	saved, err := store.SaveQuarantine(ctx, quarantine, ttl)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.SaveQuarantine(ctx, quarantine, ttl); !eris.Is(err, cranberryward.ErrQuarantineChanged) {
		t.Errorf("a second process that does not know the quarantine got %v", err)
	}
	server.Put("cranberryward/quarantine/engine/foreign", []byte("\x00\xff"))
	read, err := store.ReadView(ctx)
	if err != nil {
		t.Fatal(err)
	}
	updated, err := store.UpdateView(ctx, before)
	if err != nil {
		t.Fatal(err)
	}
	for name, view := range map[string]cranberryward.View{"read": read, "updated": updated} {
		if len(view.Quarantines) != 1 {
			t.Fatalf("the %s view has quarantines %+v, expected one", name, view.Quarantines)
		}
		for _, found := range view.Quarantines {
			if found.PromptPart != quarantine.PromptPart || found.Level != 1 || found.Position() != saved.Position() || !found.Until.Equal(quarantine.Until) {
				t.Errorf("the %s view has %+v, expected %+v at revision %d", name, found, quarantine, saved.Revision)
			}
		}
	}
	if len(before.Quarantines) != 0 {
		t.Error("the update changed the view that it started from")
	}
	deadline := time.After(10 * time.Second)
	for len(updated.Quarantines) > 0 {
		select {
		case <-deadline:
			t.Fatal("the quarantine outlived its time to live")
		case <-time.After(ttl / 10):
		}
		if updated, err = store.UpdateView(ctx, updated); err != nil {
			t.Fatal(err)
		}
	}
	quarantine.Service = strings.Repeat("long", 60)
	if _, err := store.SaveQuarantine(ctx, quarantine, ttl); err == nil {
		t.Error("a key that is too long for the store was written")
	}
}
