package configurer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
)

// copiedStore is a key-value service that can return from an older copy; the methods that are not implemented here are not called.
type copiedStore struct {
	cranberryward.KeyValueStore
	revision uint64
	records  map[string]cranberryward.Record
}

func (copiedStore *copiedStore) copy() storeCopy {
	return storeCopy{
		revision: copiedStore.revision,
		records:  maps.Clone(copiedStore.records),
	}
}

// storeCopy is what a store held at one time.
type storeCopy struct {
	revision uint64
	records  map[string]cranberryward.Record
}

func (copiedStore *copiedStore) restore(older storeCopy) {
	copiedStore.revision, copiedStore.records = older.revision, maps.Clone(older.records)
}

func (copiedStore *copiedStore) Get(_ context.Context, key string) (cranberryward.Record, error) {
	return copiedStore.records[key], nil
}

func (copiedStore *copiedStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (cranberryward.Record, error) {
	return copiedStore.Get(ctx, key)
}

func (copiedStore *copiedStore) CompareAndSwap(_ context.Context, key string, value []byte, expected uint64, _ cranberryward.LeaseID) (cranberryward.Record, error) {
	current := copiedStore.records[key]
	if current.Revision != expected {
		return current, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "another revision")
	}
	copiedStore.revision++
	if copiedStore.records == nil {
		copiedStore.records = map[string]cranberryward.Record{}
	}
	copiedStore.records[key] = cranberryward.Record{
		Key:      key,
		Value:    value,
		Revision: copiedStore.revision,
	}
	return copiedStore.records[key], nil
}

// node is a process that follows the log.
type node struct {
	t             *testing.T
	log           *Log
	configuration cranberryward.Configuration
	cursor        uint64
}

func (node *node) follow() {
	node.t.Helper()
	update, err := node.log.Follow(node.t.Context(), node.configuration, node.cursor, time.Second)
	if err != nil {
		node.t.Fatal(err)
	}
	if update.Configuration().Revision > node.configuration.Revision {
		node.configuration = update.Configuration()
	}
	node.cursor = update.Cursor()
}

// submit submits corrections that mark instances as leaving.
func (node *node) submit(instances ...string) {
	node.t.Helper()
	for _, instance := range instances {
		submission := cranberryward.Submission{
			ID:           "submission-" + instance,
			Kind:         cranberryward.SubmitCorrection,
			BaseRevision: node.configuration.Revision,
			Correction: &cranberryward.Correction{
				ID:   "correction-" + instance,
				Kind: cranberryward.CorrectLeaving,
				Name: instance,
			},
		}
		if _, err := node.log.Append(node.t.Context(), node.configuration, submission); err != nil {
			node.t.Fatal(err)
		}
		node.follow()
	}
}

// leaving returns the instances that the corrections in force mark as leaving.
func (node *node) leaving() string {
	var names []string
	for _, correction := range node.configuration.Corrections {
		names = append(names, correction.Name)
	}
	slices.Sort(names)
	return fmt.Sprint(names)
}

// TestStoreReturnsFromAnOlderCopy guards against a log that lacks accepted submissions, or holds others under their revisions, after the key-value service has returned
// from an older copy: all processes must come to the same configuration, with everything that was accepted before and after.
func TestStoreReturnsFromAnOlderCopy(t *testing.T) {
	for name, test := range map[string]struct {
		after    func(lasting, restarted *node)
		expected string
	}{
		"nothing else is submitted":                 {func(lasting, restarted *node) { lasting.follow() }, "[a b c d]"},
		"submitted through a process that lives on": {func(lasting, restarted *node) { lasting.submit("e") }, "[a b c d e]"},
		"submitted through one that has restarted": {func(lasting, restarted *node) {
			restarted.follow()
			restarted.submit("e")
			lasting.follow()
		}, "[a b c d e]"},
		"as much is submitted there as was lost": {func(lasting, restarted *node) {
			restarted.follow()
			restarted.submit("e", "f")
			lasting.follow()
		}, "[a b c d e f]"},
		"more is submitted there than was lost": {func(lasting, restarted *node) {
			restarted.follow()
			restarted.submit("e", "f", "g")
			lasting.follow()
		}, "[a b c d e f g]"},
	} {
		t.Run(name, func(t *testing.T) {
			store := &copiedStore{}
			newNode := func() *node {
				return &node{
					t:   t,
					log: NewLog(store),
				}
			}
			lasting := newNode()
			lasting.submit("a", "b")
			older := store.copy()
			lasting.submit("c", "d")
			store.restore(older)
			restarted := newNode()
			test.after(lasting, restarted)
			late := newNode()
			for _, node := range []*node{lasting, restarted, late} {
				node.follow()
				if leaving := node.leaving(); leaving != test.expected || node.configuration.Revision != lasting.configuration.Revision {
					t.Errorf("revision %d with %s, expected %d with %s", node.configuration.Revision, leaving, lasting.configuration.Revision, test.expected)
				}
			}
		})
	}
}
