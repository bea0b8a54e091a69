package configurer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/rotisserie/eris"
)

const (
	headKey          = "config/head"
	snapshotKey      = "config/snapshot"
	sheetKeyPrefix   = "config/sheet/"
	maxTailEntries   = 32
	appendRetryDelay = 50 * time.Millisecond
	callTimeout      = 2 * time.Second
)

type head struct {
	Revision uint64                             `json:"revision"`
	Tail     []cranberryward.ConfigurationEntry `json:"tail"`
}

// Log is the log of accepted submissions, to which entries are appended by a compare-and-swap of its head.
type Log struct {
	store cranberryward.KeyValueStore
}

// NewLog returns the log in the store.
func NewLog(store cranberryward.KeyValueStore) *Log {
	return &Log{
		store: store,
	}
}

// Update is the result of reading the log.
type Update struct {
	configuration cranberryward.Configuration
	entries       []cranberryward.ConfigurationEntry
	cursor        uint64
}

// Configuration returns the configuration after the last entry of the log.
func (update Update) Configuration() cranberryward.Configuration { return update.configuration }

// Entries returns the entries that were applied, without those that a snapshot replaced.
func (update Update) Entries() []cranberryward.ConfigurationEntry { return update.entries }

// Cursor returns the store's revision of the head, for the next call of Follow.
func (update Update) Cursor() uint64 { return update.cursor }

// Follow waits for a head newer than the cursor and returns the updated configuration.
func (log *Log) Follow(ctx context.Context, current cranberryward.Configuration, cursor uint64, wait time.Duration) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	record, err := log.store.Watch(ctx, headKey, cursor, wait)
	if err != nil {
		return Update{}, err
	}
	if record, err = log.repair(ctx, current, record); err != nil {
		return Update{}, err
	}
	return log.catchUp(ctx, current, record)
}

func (log *Log) catchUp(ctx context.Context, current cranberryward.Configuration, record cranberryward.Record) (Update, error) {
	update := Update{
		configuration: current,
		cursor:        record.Revision,
	}
	if !record.Exists() {
		return update, nil
	}
	var head head
	if err := decode(record.Value, &head); err != nil {
		return Update{}, err
	}
	if head.Revision <= current.Revision {
		return update, nil
	}
	if len(head.Tail) == 0 || head.Tail[0].Revision > current.Revision+1 {
		snapshot, _, err := log.loadSnapshot(ctx)
		if err != nil {
			return Update{}, err
		}
		if snapshot.Revision > update.configuration.Revision {
			update.configuration = snapshot
		}
	}
	for _, entry := range head.Tail {
		if entry.Revision != update.configuration.Revision+1 {
			continue
		}
		full, err := log.loadSheet(ctx, entry)
		if err != nil {
			return Update{}, err
		}
		update.configuration = Apply(update.configuration, full)
		update.entries = append(update.entries, full)
	}
	if update.configuration.Revision != head.Revision {
		return Update{}, eris.Errorf("configuration log is at revision %d, but entries could be read only up to revision %d", head.Revision, update.configuration.Revision)
	}
	return update, nil
}

func (log *Log) loadSnapshot(ctx context.Context) (configuration cranberryward.Configuration, revision uint64, err error) {
	record, err := log.store.Get(ctx, snapshotKey)
	if err != nil || !record.Exists() {
		return configuration, 0, err
	}
	return configuration, record.Revision, decode(record.Value, &configuration)
}

func (log *Log) loadSheet(ctx context.Context, entry cranberryward.ConfigurationEntry) (cranberryward.ConfigurationEntry, error) {
	if entry.Submission.SheetKey == "" {
		return entry, nil
	}
	record, err := log.store.Get(ctx, entry.Submission.SheetKey)
	if err != nil {
		return entry, err
	}
	var sheet cranberryward.Sheet
	if err := decode(record.Value, &sheet); err != nil {
		return entry, err
	}
	entry.Submission.Sheet = &sheet
	return entry, nil
}

// Append adds a submission and returns its revision, or for an id that was accepted before the earlier revision.
func (log *Log) Append(ctx context.Context, current cranberryward.Configuration, submission cranberryward.Submission) (uint64, error) {
	if err := Validate(submission); err != nil {
		return 0, err
	}
	mayBeAccepted := false
	for {
		revision, err := log.tryAppend(ctx, &current, submission)
		if err == nil {
			return revision, nil
		}
		failure := cranberryward.FailureOf(err)
		retriable := failure.Reason() == cranberryward.ReasonStale || failure.Reason() == cranberryward.ReasonUnreachable ||
			failure.Reason() == cranberryward.ReasonDeadline || failure.Reason() == cranberryward.ReasonOverloaded
		mayBeAccepted = mayBeAccepted || failure.Verdict() == cranberryward.MayHaveRun
		if !retriable {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, appendFailure(mayBeAccepted, submission.ID, err)
		case <-time.After(appendRetryDelay):
		}
	}
}

func appendFailure(mayBeAccepted bool, id string, cause error) error {
	if mayBeAccepted {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonPlatformUnavailable,
			"the submission may have been accepted; submit it again with the id "+id).WithCause(cause).WithResend(true)
	}
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonPlatformUnavailable,
		"the key-value service cannot be reached; the submission was not accepted").WithCause(cause)
}

func (log *Log) tryAppend(ctx context.Context, current *cranberryward.Configuration, submission cranberryward.Submission) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, err := log.store.Get(ctx, headKey)
	if err != nil {
		return 0, notRunFailure(err)
	}
	if record, err = log.repair(ctx, *current, record); err != nil {
		return 0, notRunFailure(err)
	}
	update, err := log.catchUp(ctx, *current, record)
	if err != nil {
		return 0, notRunFailure(err)
	}
	*current = update.configuration
	if revision := current.AcceptedRevision(submission.ID); revision != 0 {
		return revision, nil
	}
	if err := CheckConflict(*current, submission); err != nil {
		return 0, err
	}
	stored := submission
	if submission.Sheet != nil {
		stored.SheetKey = sheetKeyPrefix + submission.ID
		stored.Sheet = nil
		if err := log.storeSheet(ctx, stored.SheetKey, *submission.Sheet); err != nil {
			return 0, notRunFailure(err)
		}
	}
	entry := cranberryward.ConfigurationEntry{
		Revision:   current.Revision + 1,
		AcceptedAt: time.Now().UTC(),
		Submission: stored,
	}
	return entry.Revision, log.updateHead(ctx, *current, record, entry)
}

// notRunFailure gives an error the verdict NotRun, because nothing is accepted before the head is updated.
func notRunFailure(err error) error {
	failure := cranberryward.FailureOf(err)
	reason := failure.Reason()
	if reason == cranberryward.ReasonInternal {
		reason = cranberryward.ReasonUnreachable
	}
	return cranberryward.NewFailure(cranberryward.NotRun, reason, "access to the configuration log failed").WithCause(err)
}

func (log *Log) storeSheet(ctx context.Context, key string, sheet cranberryward.Sheet) error {
	value, err := encode(sheet)
	if err != nil {
		return err
	}
	record, err := log.store.CompareAndSwap(ctx, key, value, 0, "")
	if err != nil && cranberryward.FailureOf(err).Reason() == cranberryward.ReasonConflict && bytes.Equal(record.Value, value) {
		return nil
	}
	return err
}

func (log *Log) updateHead(ctx context.Context, current cranberryward.Configuration, record cranberryward.Record, entry cranberryward.ConfigurationEntry) error {
	var head head
	if record.Exists() {
		if err := decode(record.Value, &head); err != nil {
			return err
		}
	}
	if len(head.Tail) >= maxTailEntries {
		if err := log.storeSnapshot(ctx, current); err != nil {
			return notRunFailure(err)
		}
		head.Tail = head.Tail[len(head.Tail)-maxTailEntries/2:]
	}
	head.Revision = entry.Revision
	head.Tail = append(head.Tail, entry)
	value, err := encode(head)
	if err != nil {
		return err
	}
	_, err = log.store.CompareAndSwap(ctx, headKey, value, record.Revision, "")
	if err != nil && cranberryward.FailureOf(err).Reason() == cranberryward.ReasonConflict {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonStale, "another submission was accepted first").WithCause(err)
	}
	return err
}

func (log *Log) storeSnapshot(ctx context.Context, current cranberryward.Configuration) error {
	stored, revision, err := log.loadSnapshot(ctx)
	if err != nil || stored.Revision >= current.Revision {
		return err
	}
	value, err := encode(current)
	if err != nil {
		return err
	}
	_, err = log.store.CompareAndSwap(ctx, snapshotKey, value, revision, "")
	if err != nil && cranberryward.FailureOf(err).Reason() == cranberryward.ReasonConflict {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonStale, "another process wrote the snapshot").WithCause(err)
	}
	return err
}

func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	return buffer.Bytes(), nil
}

func decode(data []byte, value any) error {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "decompress configuration")
	}
	text, err := io.ReadAll(reader)
	if err != nil {
		return eris.Wrap(err, "decompress configuration")
	}
	return eris.Wrap(json.Unmarshal(text, value), "decode configuration")
}
