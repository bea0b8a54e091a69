package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/listener"
)

func elapsed(metadata metadata) time.Duration { return time.Since(metadata.started) }

// responder writes the response to a model request, as one JSON body or as server-sent events.
type responder struct {
	ctx     context.Context
	writer  http.ResponseWriter
	request modelRequest
	text    strings.Builder
	started bool
}

func newResponder(ctx context.Context, writer http.ResponseWriter, request modelRequest) *responder {
	writer.Header().Set(cranberryward.HeaderRequestID, request.metadata.requestID)
	return &responder{
		ctx:     ctx,
		writer:  writer,
		request: request,
	}
}

func (responder *responder) newResponse(choice *Choice) CompletionResponse {
	response := CompletionResponse{
		ID:      "chatcmpl-" + responder.request.metadata.requestID,
		Object:  "chat.completion",
		Created: responder.request.metadata.started.Unix(),
		Model:   responder.request.model,
		Choices: []Choice{},
	}
	if !responder.request.chat {
		response.ID = "cmpl-" + responder.request.metadata.requestID
		response.Object = "text_completion"
	} else if responder.request.stream {
		response.Object = "chat.completion.chunk"
	}
	if choice != nil {
		response.Choices = append(response.Choices, *choice)
	}
	return response
}

func (responder *responder) newChoice(text string, finishReason *string) *Choice {
	choice := &Choice{
		FinishReason: finishReason,
	}
	switch {
	case !responder.request.chat:
		choice.Text = &text
	case responder.request.stream:
		choice.Delta = &ChatDelta{
			Content: text,
		}
		if !responder.started {
			choice.Delta.Role = "assistant"
		}
	default:
		choice.Message = &ChatDelta{
			Role:    "assistant",
			Content: text,
		}
	}
	return choice
}

// writeText sends generated text to the caller, or collects it if the response is not streamed.
func (responder *responder) writeText(text string) error {
	if text == "" {
		return nil
	}
	if !responder.request.stream {
		return responder.collect(text)
	}
	return responder.writeEvent(responder.newResponse(responder.newChoice(text, nil)))
}

// collect keeps the text until the response is whole, once there is room for it.
func (responder *responder) collect(text string) error {
	if err := responder.request.reservation.AwaitForAnswer(responder.ctx, int64((1+answerCopies)*len(text))); err != nil {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonDeadline, "no memory was left for the response in time").WithCause(err)
	}
	responder.text.WriteString(text)
	return nil
}

func (responder *responder) writeEvent(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if !responder.started {
		responder.started = true
		responder.writer.Header().Set("Content-Type", "text/event-stream")
		responder.writer.Header().Set("Cache-Control", "no-cache")
	}
	event := append(append([]byte("data: "), data...), '\n', '\n')
	if _, err := responder.writer.Write(event); err != nil {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonCanceled, "the caller closed the connection").WithCause(err)
	}
	return http.NewResponseController(responder.writer).Flush()
}

func newUsage(end *cranberryward.FrameEnd) *Usage {
	return &Usage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: end.CompletionTokens,
		TotalTokens:      end.PromptTokens + end.CompletionTokens,
		PromptDetails: &PromptTokensDetails{
			CachedTokens: end.CachedTokens,
		},
	}
}

// finish ends the response; a stream that failed ends with an error event, so that it never looks complete.
func (responder *responder) finish(end *cranberryward.FrameEnd, err error) {
	switch {
	case err != nil && !responder.started:
		listener.WriteError(responder.writer, responder.request.metadata.requestID, err)
	case err != nil:
		_ = responder.writeEvent(cranberryward.NewErrorMessage(err, responder.request.metadata.requestID))
	case responder.request.stream:
		responder.finishStream(end)
	default:
		response := responder.newResponse(responder.newChoice(responder.text.String(), &end.FinishReason))
		response.Usage = newUsage(end)
		responder.writer.Header().Set(cranberryward.HeaderVerdict, cranberryward.Ran.String())
		listener.WriteJSON(responder.writer, http.StatusOK, response)
	}
}

func (responder *responder) finishStream(end *cranberryward.FrameEnd) {
	_ = responder.writeEvent(responder.newResponse(responder.newChoice("", &end.FinishReason)))
	if responder.request.includeUsage {
		response := responder.newResponse(nil)
		response.Usage = newUsage(end)
		_ = responder.writeEvent(response)
	}
	_, _ = responder.writer.Write([]byte("data: [DONE]\n\n"))
	_ = http.NewResponseController(responder.writer).Flush()
}
