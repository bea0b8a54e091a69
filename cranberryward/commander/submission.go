package commander

import (
	"context"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/administrator"
	"github.com/cranberryward/cranberryward/entry/server"
	"github.com/cranberryward/cranberryward/waiter"
)

const (
	submitAttempts   = 3
	submitRetryDelay = 500 * time.Millisecond
)

// Submit sends a submission, retrying with the same id while the outcome is unknown, and prints in which zones it is in force.
func Submit(ctx context.Context, streams Streams, client *administrator.Client, submission cranberryward.Submission, asJSON bool) error {
	var status server.SubmissionStatus
	var err error
	for attempt := range submitAttempts {
		status, err = client.Submit(ctx, submission)
		failure := cranberryward.FailureOf(failureOrRan(err))
		if err == nil || failure.Verdict() != cranberryward.MayHaveRun {
			break
		}
		streams.Progressf("submission %s: outcome of attempt %d of %d unknown", submission.ID, attempt+1, submitAttempts)
		if attempt+1 < submitAttempts {
			waiter.Sleep(ctx, submitRetryDelay)
		}
	}
	if err != nil {
		return submissionError(submission.ID, err)
	}
	if asJSON {
		if err := streams.JSON(status); err != nil {
			return err
		}
	} else {
		printSubmissionStatus(streams, status)
	}
	if !status.InForce {
		return NewExitError(ExitNotInForce, "accepted, but not yet confirmed in force in every availability zone")
	}
	return nil
}

// failureOrRan replaces a nil error, which FailureOf does not accept, by a failure with the verdict Ran.
func failureOrRan(err error) error {
	if err == nil {
		return cranberryward.NewFailure(cranberryward.Ran, "", "")
	}
	return err
}

// submissionError tells the user how to find out the outcome of a submission that may have been accepted.
func submissionError(id string, err error) error {
	failure := cranberryward.FailureOf(err)
	if failure.Verdict() == cranberryward.MayHaveRun {
		return NewExitError(ExitMayBeAccepted, "submission "+id+" may have been accepted: "+failure.Error()+"; submit again with --id "+id)
	}
	return err
}

func printSubmissionStatus(streams Streams, status server.SubmissionStatus) {
	streams.Progressf("submission %s accepted as revision %d", status.ID, status.Revision)
	rows := [][]string{}
	for _, zone := range status.Zones {
		state := "in force"
		if !zone.InForce {
			state = "not confirmed"
		}
		rows = append(rows, []string{zone.Zone, state, strconv.FormatUint(zone.Revision, 10), strconv.Itoa(zone.Processes) + "/" + strconv.Itoa(zone.Listed), zone.Error})
	}
	streams.Table([]string{"ZONE", "STATE", "REVISION", "PROCESSES", "ERROR"}, rows)
}
