package assembler

import (
	"fmt"

	"github.com/cranberryward/cranberryward"
)

// Assembler joins the frames of one response in order.
type Assembler struct {
	requestID string
	position  int
	end       *cranberryward.FrameEnd
}

// New returns an assembler for the response to a request.
func New(requestID string) *Assembler {
	return &Assembler{
		requestID: requestID,
	}
}

// Position returns the number of bytes joined so far, which is the offset of the next new byte.
func (assembler *Assembler) Position() int { return assembler.position }

// End returns the end mark once the complete response has been joined, and nil before.
func (assembler *Assembler) End() *cranberryward.FrameEnd { return assembler.end }

func newBrokenFailure(message string) error {
	return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, message)
}

// Add returns the text that the frame adds, which is empty for a repeated frame; it fails for a frame of another request, a gap before the frame, text
// after the end, or an end mark whose length does not match.
func (assembler *Assembler) Add(frame cranberryward.Frame) (string, error) {
	if frame.RequestID != assembler.requestID {
		return "", newBrokenFailure("got a frame of another request")
	}
	if frame.Offset > assembler.position {
		return "", newBrokenFailure(fmt.Sprintf("frames are missing: got offset %d, want at most %d", frame.Offset, assembler.position))
	}
	text := frame.Text
	if overlap := assembler.position - frame.Offset; overlap >= len(text) {
		text = ""
	} else {
		text = text[overlap:]
	}
	if assembler.end != nil && text != "" {
		return "", newBrokenFailure(fmt.Sprintf("got text after the end of the response at byte %d", assembler.position))
	}
	assembler.position += len(text)
	if frame.End != nil {
		if frame.End.Length != assembler.position {
			return "", newBrokenFailure(fmt.Sprintf("response length does not match its end mark: got %d bytes, want %d", assembler.position, frame.End.Length))
		}
		assembler.end = frame.End
	}
	return text, nil
}
