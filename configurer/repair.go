package configurer

import (
	"context"

	"github.com/cranberryward/cranberryward"
)

// repair writes the configuration of this process to the log, followed by the entries that it does not know, if the log lacks entries that it knows, as after the
// key-value service has returned from an older copy; it returns the current record of the head.
func (log *Log) repair(ctx context.Context, current cranberryward.Configuration, record cranberryward.Record) (cranberryward.Record, error) {
	var written head
	if record.Exists() {
		if err := decode(record.Value, &written); err != nil {
			return record, err
		}
	}
	if !written.lacksEntriesOf(current) {
		return record, nil
	}
	next := current
	next.Revision = max(current.Revision, written.Revision)
	for _, entry := range written.Tail {
		if current.AcceptedRevision(entry.Submission.ID) != 0 {
			continue
		}
		full, err := log.loadSheet(ctx, entry)
		if err != nil {
			return record, err
		}
		full.Revision = next.Revision + 1
		next = Apply(next, full)
	}
	if err := log.storeSnapshot(ctx, next); err != nil {
		return record, err
	}
	value, err := encode(head{Revision: next.Revision})
	if err != nil {
		return record, err
	}
	if _, err := log.store.CompareAndSwap(ctx, headKey, value, record.Revision, ""); err != nil {
		return record, err
	}
	return log.store.Get(ctx, headKey)
}

// lacksEntriesOf returns whether a configuration has entries that the log does not have, or has under other revisions.
func (head head) lacksEntriesOf(configuration cranberryward.Configuration) bool {
	if head.Revision < configuration.Revision {
		return true
	}
	for _, entry := range head.Tail {
		if entry.Revision <= configuration.Revision && configuration.AcceptedRevision(entry.Submission.ID) != entry.Revision {
			return true
		}
	}
	return false
}
