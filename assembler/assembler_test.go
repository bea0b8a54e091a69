package assembler

import (
	"testing"

	"github.com/cranberryward/cranberryward"
)

func frame(id string, offset int, text string, length int) cranberryward.Frame {
	frame := cranberryward.Frame{
		RequestID: id,
		Offset:    offset,
		Text:      text,
	}
	if length >= 0 {
		frame.End = &cranberryward.FrameEnd{
			Length: length,
		}
	}
	return frame
}

func TestAssembler(t *testing.T) {
	cases := map[string]struct {
		frames   []cranberryward.Frame
		want     string
		complete bool
		broken   bool
	}{
		"in order": {
			frames:   []cranberryward.Frame{frame("r", 0, "ab", -1), frame("r", 2, "c", 3)},
			want:     "abc",
			complete: true,
		},
		"repeated frame": {
			frames:   []cranberryward.Frame{frame("r", 0, "ab", -1), frame("r", 0, "ab", -1), frame("r", 2, "c", 3)},
			want:     "abc",
			complete: true,
		},
		"overlapping resume": {
			frames:   []cranberryward.Frame{frame("r", 0, "abc", -1), frame("r", 1, "bcd", 4)},
			want:     "abcd",
			complete: true,
		},
		"no end mark": {
			frames: []cranberryward.Frame{frame("r", 0, "ab", -1)},
			want:   "ab",
		},
		"reordered": {
			frames: []cranberryward.Frame{frame("r", 2, "c", -1)},
			broken: true,
		},
		"another request": {
			frames: []cranberryward.Frame{frame("q", 0, "ab", 2)},
			broken: true,
		},
		"end mark with a greater length": {
			frames: []cranberryward.Frame{frame("r", 0, "ab", 3)},
			broken: true,
		},
		"text after the end mark": {
			frames:   []cranberryward.Frame{frame("r", 0, "ab", 2), frame("r", 2, "c", -1)},
			want:     "ab",
			complete: true,
			broken:   true,
		},
		"repeated end mark": {
			frames:   []cranberryward.Frame{frame("r", 0, "ab", 2), frame("r", 0, "ab", 2)},
			want:     "ab",
			complete: true,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assembler, text, broken := New("r"), "", false
			for _, frame := range test.frames {
				added, err := assembler.Add(frame)
				text += added
				broken = broken || err != nil
			}
			if text != test.want || (assembler.End() != nil) != test.complete || broken != test.broken {
				t.Fatalf("got text %q, complete %v, broken %v; want %q, %v, %v", text, assembler.End() != nil, broken, test.want, test.complete, test.broken)
			}
		})
	}
}

// TestWrongOffsetsEndNoOtherResponse guards against taking a frame for a repetition because of a wrong offset: what it leaves out or moves must not end as a complete
// response.
func TestWrongOffsetsEndNoOtherResponse(t *testing.T) {
	texts := []string{"ab", "cde", "f", ""}
	const whole = "abcdef"
	for spoiled := range texts {
		for offset := range 2 * len(whole) {
			assembler := New("one")
			joined, position, failed := "", 0, false
			for i, text := range texts {
				at, length := position, -1
				if i == spoiled {
					at = offset
				}
				if i == len(texts)-1 {
					length = len(whole)
				}
				added, err := assembler.Add(frame("one", at, text, length))
				failed = failed || err != nil
				joined += added
				position += len(text)
			}
			if !failed && assembler.End() != nil && joined != whole {
				t.Errorf("frame %d at offset %d: a complete response %q, expected %q or a failure", spoiled, offset, joined, whole)
			}
		}
	}
}
