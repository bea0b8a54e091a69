package engineserver

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberryward/cranberryward"
)

const bytesPerToken = 4

var words = [...]string{"river", "kelp", "valve", "ñandú", "meter", "vault", "runa", "simi", "hello", "Straße", "pump", "lesson", "\n", "truck", "shutoff", "credit"}

func tokensOf(bytes int) int { return (bytes + bytesPerToken - 1) / bytesPerToken }

type stream struct {
	request      cranberryward.GenerateRequest
	text         string
	tokens       []int
	emitted      int
	sent         int
	prefillSteps int
	cachedTokens int
	end          *cranberryward.FrameEnd
	canceled     bool
	lost         bool
	changed      chan struct{}
	readers      int
}

func newStream(request cranberryward.GenerateRequest) *stream {
	stream := &stream{
		request: request,
		changed: make(chan struct{}),
	}
	var text strings.Builder
	text.WriteString("[" + request.RequestID + "]")
	stream.tokens = append(stream.tokens, text.Len())
	for token := 1; token < max(request.MaxTokens, 1); token++ {
		text.WriteString(" " + words[xxhash.Sum64String(request.Prompt+strconv.Itoa(token))%uint64(len(words))])
		stream.tokens = append(stream.tokens, text.Len())
	}
	stream.text = text.String()
	return stream
}

func (stream *stream) wake() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (stream *stream) emit() {
	stream.sent = stream.tokens[stream.emitted]
	stream.emitted++
	if stream.emitted == len(stream.tokens) {
		stream.end = &cranberryward.FrameEnd{
			FinishReason:     "length",
			Length:           len(stream.text),
			PromptTokens:     tokensOf(len(stream.request.Prompt)),
			CompletionTokens: len(stream.tokens),
			CachedTokens:     stream.cachedTokens,
		}
	}
	stream.wake()
}

func (stream *stream) lose() {
	stream.lost = true
	stream.wake()
}

func (stream *stream) cancel() {
	stream.canceled = true
	stream.wake()
}
