package server

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/waiter"
	"github.com/oklog/ulid/v2"
)

const (
	appendTimeout        = 8 * time.Second
	inForceTimeoutMargin = time.Second
	zonePollInterval     = 50 * time.Millisecond
	crashAuthor          = "cranberryward"
)

// ZoneStatus is the lowest revision in force in one availability zone, with the numbers of processes that confirmed a revision and of listed ones.
type ZoneStatus struct {
	Zone      string `json:"zone"`
	InForce   bool   `json:"in_force"`
	Revision  uint64 `json:"revision"`
	Processes int    `json:"processes"`
	Listed    int    `json:"listed"`
	Error     string `json:"error,omitempty"`
}

// SubmissionStatus says whether a submission was accepted and in which zones it is in force.
type SubmissionStatus struct {
	ID       string       `json:"id"`
	Accepted bool         `json:"accepted"`
	Revision uint64       `json:"revision"`
	InForce  bool         `json:"in_force"`
	Zones    []ZoneStatus `json:"zones"`
}

// submit appends a submission to the configuration log and waits until it is in force in every zone or the wait is over.
func (entry *entry) submit(ctx context.Context, submission cranberryward.Submission, wait time.Duration) (SubmissionStatus, error) {
	status := SubmissionStatus{
		ID: submission.ID,
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	revision, err := entry.configurationLog.Append(appendCtx, entry.localState.Configuration(), submission)
	_ = entry.logger.Log("event", "submission", "submission_id", submission.ID, "kind", submission.Kind, "author", submission.Author,
		"base_revision", submission.BaseRevision, "revision", revision, "verdict", cranberryward.VerdictOf(err), "error", err)
	if err != nil {
		return status, err
	}
	status.Accepted = true
	status.Revision = revision
	status.Zones = entry.zoneStatuses(ctx, revision, wait)
	status.InForce = allInForce(status.Zones)
	return status, nil
}

func allInForce(zoneStatuses []ZoneStatus) bool {
	for _, zoneStatus := range zoneStatuses {
		if !zoneStatus.InForce {
			return false
		}
	}
	return len(zoneStatuses) > 0
}

// zoneStatuses returns which revision is in force in each zone, after waiting for the given one.
func (entry *entry) zoneStatuses(ctx context.Context, revision uint64, wait time.Duration) []ZoneStatus {
	membership, err := entry.listAllZones(ctx, 0)
	if err != nil {
		membership = entry.localState.Membership()
	}
	zones := map[string]bool{entry.settings.Zone: true}
	for _, instance := range membership.Instances {
		zones[instance.Zone] = true
	}
	ctx, cancel := context.WithTimeout(ctx, wait+inForceTimeoutMargin)
	defer cancel()
	var mutex sync.Mutex
	var waitGroup sync.WaitGroup
	var zoneStatuses []ZoneStatus
	for zone := range zones {
		waitGroup.Go(func() {
			zoneStatus := entry.pollZone(ctx, membership, zone, revision, wait)
			mutex.Lock()
			defer mutex.Unlock()
			zoneStatuses = append(zoneStatuses, zoneStatus)
		})
	}
	waitGroup.Wait()
	sort.Slice(zoneStatuses, func(i, j int) bool { return zoneStatuses[i].Zone < zoneStatuses[j].Zone })
	return zoneStatuses
}

// pollZone queries a zone's root processes until every listed process has confirmed the revision or the wait is over.
func (entry *entry) pollZone(ctx context.Context, membership cranberryward.Membership, zone string, revision uint64, wait time.Duration) ZoneStatus {
	deadline := time.Now().Add(wait)
	for {
		zoneStatus := entry.queryZone(ctx, membership, zone, revision, max(time.Until(deadline), 0))
		if zoneStatus.InForce || ctx.Err() != nil || time.Until(deadline) <= zonePollInterval {
			return zoneStatus
		}
		waiter.Sleep(ctx, zonePollInterval)
	}
}

func (entry *entry) queryZone(ctx context.Context, membership cranberryward.Membership, zone string, revision uint64, wait time.Duration) ZoneStatus {
	reply, err := distributor.QueryInForce(ctx, entry.rpcClient, membership, zone, revision, wait)
	zoneStatus := ZoneStatus{
		Zone:      zone,
		Revision:  reply.Revision,
		Processes: reply.Processes,
		Listed:    reply.Listed,
	}
	if err != nil {
		zoneStatus.Error = err.Error()
	}
	zoneStatus.InForce = err == nil && reply.Revision >= revision && reply.Processes >= reply.Listed
	return zoneStatus
}

// recordCrash counts a crash against a request in every zone, before the caller gets a response and may send the request again.
func (entry *entry) recordCrash(ctx context.Context, fingerprint string) {
	entry.submitCrash(ctx, ulid.Make().String(), fingerprint)
}

// submitCrash submits a crash record with an ID, which is accepted once.
func (entry *entry) submitCrash(ctx context.Context, id, name string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashRecordTimeout)
	defer cancel()
	status, err := entry.submit(ctx, cranberryward.Submission{
		ID:     id,
		Kind:   cranberryward.SubmitCorrection,
		Author: crashAuthor,
		Correction: &cranberryward.Correction{
			ID:      id,
			Kind:    cranberryward.CorrectCrash,
			Name:    name,
			Expires: time.Now().Add(entry.settings.QuarantineTime),
		},
	}, crashRecordTimeout)
	_ = entry.logger.Log("event", "crash_recorded", "fingerprint", name, "revision", status.Revision, "in_force", status.InForce, "error", err)
}
