package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/cranberryward/cranberryward/reserver"
)

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 17
)

// modelRequest is a chat or text completion request in a common form.
type modelRequest struct {
	metadata metadata
	// reservation holds the memory of the request and its answer.
	reservation *reserver.Reservation
	model       string
	prompt      string
	// messageIDs identify the messages of a chat; other chats may share all but the last one.
	messageIDs   []string
	maxTokens    int
	stream       bool
	includeUsage bool
	chat         bool
}

// sharedMessages returns the IDs of the messages that other chats may share.
func (modelRequest modelRequest) sharedMessages() []string {
	return modelRequest.messageIDs[:max(len(modelRequest.messageIDs)-1, 0)]
}

func (entry *entry) handleChat(writer http.ResponseWriter, request *http.Request) {
	metadata, err := entry.readMetadata(request)
	if err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	reservation := entry.memory.Reserve()
	defer reservation.Close()
	var body ChatRequest
	if err := entry.readJSON(writer, request, metadata, reservation, &body); err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	prompt, messageIDs, err := chatPrompt(body.Messages)
	if err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	entry.handleModelRequest(writer, request, modelRequest{
		metadata:     metadata,
		reservation:  reservation,
		model:        body.Model,
		prompt:       prompt,
		messageIDs:   messageIDs,
		maxTokens:    max(body.MaxTokens, body.MaxCompletionTokens),
		stream:       body.Stream,
		includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
		chat:         true,
	})
}

func (entry *entry) handleCompletion(writer http.ResponseWriter, request *http.Request) {
	metadata, err := entry.readMetadata(request)
	if err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	reservation := entry.memory.Reserve()
	defer reservation.Close()
	var body CompletionRequest
	if err := entry.readJSON(writer, request, metadata, reservation, &body); err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	prompt, err := completionPrompt(body.Prompt)
	if err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	entry.handleModelRequest(writer, request, modelRequest{
		metadata:     metadata,
		reservation:  reservation,
		model:        body.Model,
		prompt:       prompt,
		maxTokens:    body.MaxTokens,
		stream:       body.Stream,
		includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
	})
}

// writeFailure logs and counts a failed request, and writes the failure as the response.
func (entry *entry) writeFailure(writer http.ResponseWriter, metadata metadata, err error) {
	entry.metrics.increment("refused_" + string(cranberryward.FailureOf(err).Reason()))
	_ = entry.logger.Log("event", "refused", "request_id", metadata.requestID, "workspace", metadata.workspace,
		"verdict", cranberryward.VerdictOf(err), "revision", entry.localState.Revision(), "error", err)
	writer.Header().Set(cranberryward.HeaderRequestID, metadata.requestID)
	listener.WriteError(writer, metadata.requestID, err)
}

// chatPrompt joins the messages of a chat into one prompt, and returns an ID of each that equal messages share.
func chatPrompt(messages []ChatMessage) (prompt string, ids []string, err error) {
	if len(messages) == 0 {
		return "", nil, invalid("field messages", "at least one message", "[]")
	}
	var joined strings.Builder
	for i, message := range messages {
		field := "field messages[" + strconv.Itoa(i) + "]"
		if message.Role == "" {
			return "", nil, invalid(field+".role", "a role such as user", "")
		}
		text, err := messageText(message.Content, field+".content")
		if err != nil {
			return "", nil, err
		}
		joined.WriteString(message.Role + ": " + text + "\n")
		ids = append(ids, quarantiner.Fingerprint(message.Role, text))
	}
	return joined.String(), ids, nil
}

func messageText(raw json.RawMessage, field string) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []ContentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", invalid(field, "a string or a list of text parts", string(raw))
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", invalid(field+".type", "text", part.Type)
		}
		joined.WriteString(part.Text)
	}
	return joined.String(), nil
}

func completionPrompt(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && text != "" {
		return text, nil
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil && len(texts) == 1 {
		return texts[0], nil
	}
	return "", invalid("field prompt", "a string or a list of one string", string(raw))
}

func (entry *entry) handleModelRequest(writer http.ResponseWriter, request *http.Request, modelRequest modelRequest) {
	if modelRequest.model == "" {
		entry.writeFailure(writer, modelRequest.metadata, invalid("field model", "a model name", ""))
		return
	}
	if modelRequest.maxTokens < 0 || modelRequest.maxTokens > maxTokensLimit {
		entry.writeFailure(writer, modelRequest.metadata, invalid("field max_tokens", "a whole number from 1 to "+strconv.Itoa(maxTokensLimit), strconv.Itoa(modelRequest.maxTokens)))
		return
	}
	if modelRequest.maxTokens == 0 {
		modelRequest.maxTokens = defaultMaxTokens
	}
	entry.metrics.increment("model_requests")
	responder := newResponder(request.Context(), writer, modelRequest)
	end, err := entry.dispatch(request.Context(), modelRequest, responder.writeText)
	entry.metrics.record(entry.metrics.requestDuration, elapsed(modelRequest.metadata))
	responder.finish(end, err)
}
