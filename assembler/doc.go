// Package assembler joins the frames of a streamed response and detects missing frames, frames of other requests and incomplete responses.
package assembler
