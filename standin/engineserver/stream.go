package engineserver

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberryward/cranberryward"
)

const bytesPerToken = 4

var vocabulary = [...]string{"river", "kelp", "valve", "ñandú", "meter", "vault", "runa", "simi", "hello", "Straße", "pump", "lesson", "\n", "truck", "shutoff", "credit"}

func tokenCount(bytes int) int { return (bytes + bytesPerToken - 1) / bytesPerToken }

type stream struct {
	request       cranberryward.GenerateRequest
	text          string
	tokenEnds     []int
	emittedTokens int
	emittedBytes  int
	prefillSteps  int
	cachedTokens  int
	end           *cranberryward.FrameEnd
	canceled      bool
	lost          bool
	crashed       bool
	changed       chan struct{}
	readers       int
}

func newStream(request cranberryward.GenerateRequest) *stream {
	stream := &stream{
		request: request,
		changed: make(chan struct{}),
	}
	var text strings.Builder
	text.WriteString("[" + request.RequestID + "]")
	stream.tokenEnds = append(stream.tokenEnds, text.Len())
	for token := 1; token < max(request.MaxTokens, 1); token++ {
		text.WriteString(" " + vocabulary[xxhash.Sum64String(request.Prompt+strconv.Itoa(token))%uint64(len(vocabulary))])
		stream.tokenEnds = append(stream.tokenEnds, text.Len())
	}
	stream.text = text.String()
	return stream
}

func (stream *stream) notify() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (stream *stream) emitToken() {
	stream.emittedBytes = stream.tokenEnds[stream.emittedTokens]
	stream.emittedTokens++
	if stream.emittedTokens == len(stream.tokenEnds) {
		stream.end = &cranberryward.FrameEnd{
			FinishReason:     "length",
			Length:           len(stream.text),
			PromptTokens:     tokenCount(len(stream.request.Prompt)),
			CompletionTokens: len(stream.tokenEnds),
			CachedTokens:     stream.cachedTokens,
		}
	}
	stream.notify()
}

func (stream *stream) markLost() {
	stream.lost = true
	stream.notify()
}

func (stream *stream) cancel() {
	stream.canceled = true
	stream.notify()
}
