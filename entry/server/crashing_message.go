package server

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/oklog/ulid/v2"
)

const (
	// maxMessageCrashes is the number of crashes without an answer between them after which chats with a message are refused: the requests that were at
	// a backend server that crashed had not begun to be answered, but any of them may have caused it.
	maxMessageCrashes = 3
	// messageCrashPrefix precedes the model and the ID of a message in the name of a crash record.
	messageCrashPrefix = "message/"
	// maxMessagesPerCrash bounds the messages that one crash is recorded against.
	maxMessagesPerCrash = 4
	// sameCrashWindow is the time within which several requests see the same crash of a backend server.
	sameCrashWindow = 2 * time.Second
)

func messageCrashName(part cranberryward.PromptPart) string {
	return messageCrashPrefix + part.Service + "/" + part.ID
}

// quarantineThreshold returns how many crash records against a name quarantine the requests that it stands for.
func (entry *entry) quarantineThreshold(name string) int {
	if strings.HasPrefix(name, messageCrashPrefix) {
		return maxMessageCrashes
	}
	return entry.settings.MaxCrashes
}

// quarantined returns whether the request or one of its shared messages has crashed too many backend servers.
func (modelCall *modelCall) quarantined() bool {
	effectiveConfiguration := modelCall.entry.localState.EffectiveConfiguration()
	if effectiveConfiguration.Crashes(modelCall.fingerprint) >= modelCall.entry.settings.MaxCrashes {
		return true
	}
	for _, id := range modelCall.request.sharedMessages() {
		name := messageCrashName(modelCall.messagePart(id))
		if effectiveConfiguration.Crashes(name) >= maxMessageCrashes {
			return true
		}
	}
	return false
}

func (modelCall *modelCall) messagePart(id string) cranberryward.PromptPart {
	return cranberryward.PromptPart{
		Service: modelCall.request.model,
		ID:      id,
	}
}

// recordMessageCrash records a crash against the most suspect messages of a chat that had not begun to be answered, once for each crash.
func (modelCall *modelCall) recordMessageCrash(ctx context.Context) {
	entry := modelCall.entry
	if len(modelCall.request.sharedMessages()) == 0 || modelCall.assembler.Position() > 0 {
		return
	}
	// Without answered requests to compare with, every message of a chat would be suspect, also those that many chats share.
	if !entry.messages.Established() {
		return
	}
	charged := entry.messages.RecordCrash(modelCall.request.model, modelCall.targetAddress, modelCall.request.sharedMessages(), false)
	crash := strconv.FormatInt(time.Now().UnixNano()/int64(sameCrashWindow), 36)
	var submissions sync.WaitGroup
	for _, part := range charged[:min(len(charged), maxMessagesPerCrash)] {
		submissions.Go(func() {
			name := messageCrashName(part)
			entry.submitCrash(ctx, "crash/"+part.ID+"/"+modelCall.targetAddress+"/"+crash, name)
		})
	}
	submissions.Wait()
}

// recordMessagesServed records that the answer to a chat has begun, and withdraws the crashes that are recorded against its messages.
func (modelCall *modelCall) recordMessagesServed() {
	entry := modelCall.entry
	entry.messages.RecordServed(modelCall.request.model, modelCall.request.messageIDs)
	for _, id := range modelCall.request.sharedMessages() {
		name := messageCrashName(modelCall.messagePart(id))
		if entry.localState.EffectiveConfiguration().Crashes(name) > 0 {
			go entry.withdrawCrashes(name)
		}
	}
}

// withdrawCrashes withdraws the crashes that are recorded against a name.
func (entry *entry) withdrawCrashes(name string) {
	if _, running := entry.withdrawals.LoadOrStore(name, true); running {
		return
	}
	defer entry.withdrawals.Delete(name)
	ctx, cancel := context.WithTimeout(entry.background, crashRecordTimeout)
	defer cancel()
	for _, correction := range entry.localState.Configuration().Corrections {
		if correction.Kind != cranberryward.CorrectCrash || correction.Name != name {
			continue
		}
		status, err := entry.submit(ctx, cranberryward.Submission{
			ID:       ulid.Make().String(),
			Kind:     cranberryward.SubmitWithdrawal,
			Author:   crashAuthor,
			Withdraw: correction.ID,
		}, crashRecordTimeout)
		_ = entry.logger.Log("event", "crash_withdrawn", "name", name, "revision", status.Revision, "in_force", status.InForce, "error", err)
	}
}
