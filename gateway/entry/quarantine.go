package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

const (
	// saveTimeout bounds the calls that store a quarantine.
	saveTimeout = time.Second
	// saveInterval is how often an entry looks for quarantines to store, and saveRetryPause is the mean pause after a failure, for each entry that may try
	// at the same time.
	saveInterval   = 250 * time.Millisecond
	saveRetryPause = 250 * time.Millisecond
	// minSaveRetryPause is the least such pause.
	minSaveRetryPause = time.Second
)

// announceParts tells the other entries at once what this one learns about prompt parts that crash backend servers, and repeats it with the loads.
func (entry *Entry) announceParts() {
	if reports := entry.forwarder.PartReports(); len(reports) > 0 {
		entry.relayer.AnnounceParts(reports)
	}
}

// sendParts tells an entry that is starting what this one knows about prompt parts and requests that crash backend servers, before it has a configuration to serve by.
func (entry *Entry) sendParts(address string) {
	if reports := entry.forwarder.AllPartReports(); len(reports) > 0 {
		entry.relayer.SendParts(address, reports)
	}
}

// keepQuarantines stores the quarantines that this entry should store until the context ends.
func (entry *Entry) keepQuarantines(ctx context.Context) {
	pause := saveInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = saveInterval
		for _, quarantine := range entry.forwarder.UnsavedQuarantines(entry.entryCount()) {
			saved, err := entry.saveQuarantine(ctx, quarantine)
			if eris.Is(err, cranberryward.ErrQuarantineChanged) {
				continue // the next snapshot has what another entry has stored
			}
			if err != nil {
				_ = level.Info(entry.logger).Log("event", "quarantine_not_stored", "service", quarantine.Service, "part", quarantine.ID, "error", err)
				mean := max(minSaveRetryPause, time.Duration(entry.entryCount())*saveRetryPause)
				pause = mean/2 + rand.N(mean)
				break
			}
			entry.forwarder.MarkQuarantineSaved(saved)
			_ = level.Info(entry.logger).Log("event", "quarantine_stored", "service", quarantine.Service, "part", quarantine.ID, "level", quarantine.Level, "remaining_ms", time.Until(quarantine.Until).Milliseconds())
		}
	}
}

// saveQuarantine stores a quarantine and returns it with its revision.
func (entry *Entry) saveQuarantine(ctx context.Context, quarantine cranberryward.Quarantine) (cranberryward.Quarantine, error) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	return entry.store.SaveQuarantine(ctx, quarantine, quarantiner.StorageTime(quarantine))
}
