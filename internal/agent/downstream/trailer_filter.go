package downstream

import (
	"bytes"
	"errors"

	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	// maxChunkDigits is the greatest number of digits of the size of a chunk.
	maxChunkDigits = 16
	hexBase        = 16
)

// errMalformedChunk is the error of a body that is not in the chunked encoding.
var errMalformedChunk = errors.New("malformed chunked encoding")

// chunkState is a position in the chunked encoding (RFC 9112, section 7.1).
type chunkState uint8

const (
	chunkSize           chunkState = iota // in the digits of the size of a chunk
	chunkExtension                        // behind them, up to the end of the line
	chunkData                             // in the data of a chunk
	chunkCarriageReturn                   // before the CR behind the data
	chunkLineFeed                         // before the LF behind that CR
	trailerLine                           // at the begin of a line behind the last chunk
	trailerField                          // in a field of the trailer
	trailerEnd                            // before the LF of the empty line that ends the trailer
	chunksDone                            // behind the body
)

// trailerFilter removes the fields of the trailer from a body in the chunked encoding, as it arrives. They are not
// passed on, and the HTTP server would keep them parsed, at many times their size. The zero value is at the begin of a
// body.
//
// It is never stricter than the HTTP server, so that a body that it lets pass has no other framing for the server.
type trailerFilter struct {
	state   chunkState
	digits  int    // number of digits of the size so far
	left    uint64 // size of the current chunk, or what is left of it
	removed int    // bytes of the trailer so far
}

// filter removes the fields of the trailer from the next bytes of a body, in place, and returns what remains.
func (f *trailerFilter) filter(text []byte) ([]byte, error) {
	kept := text[:0]
	for len(text) > 0 {
		n, keep, err := f.next(text)
		if err != nil {
			return kept, err
		}
		if keep {
			kept = append(kept, text[:n]...)
		}
		text = text[n:]
	}
	return kept, nil
}

// next consumes the first n bytes of text and reports whether they are kept.
func (f *trailerFilter) next(text []byte) (n int, keep bool, err error) {
	switch f.state {
	case chunkSize:
		return 1, true, f.readSize(text[0])
	case chunkExtension:
		return f.skipLine(text, f.afterSize()), true, nil
	case chunkData:
		return f.readData(text), true, nil
	case chunkCarriageReturn:
		return 1, true, f.expect('\r', text[0], chunkLineFeed)
	case chunkLineFeed:
		return 1, true, f.expect('\n', text[0], chunkSize)
	case trailerLine, trailerField:
		return f.removeField(text)
	case trailerEnd:
		return 1, true, f.expect('\n', text[0], chunksDone)
	default: // chunksDone
		return len(text), true, nil
	}
}

// readSize reads a byte of the size of a chunk, or what follows it.
func (f *trailerFilter) readSize(next byte) error {
	digit, isDigit := hexDigit(next)
	switch {
	case isDigit && f.digits == maxChunkDigits:
		return errMalformedChunk
	case isDigit:
		f.left = f.left*hexBase + digit
		f.digits++
	case f.digits == 0:
		return errMalformedChunk
	case next == '\n':
		f.state = f.afterSize()
	default:
		f.state = chunkExtension
	}
	return nil
}

// afterSize returns the state behind the line with the size of a chunk.
func (f *trailerFilter) afterSize() chunkState {
	if f.left == 0 {
		return trailerLine
	}
	return chunkData
}

// readData reads the data of a chunk, and returns how many bytes of text that is.
func (f *trailerFilter) readData(text []byte) int {
	n := min(f.left, uint64(len(text)))
	f.left -= n
	if f.left == 0 {
		f.digits = 0
		f.state = chunkCarriageReturn
	}
	return int(n)
}

// skipLine reads up to the end of a line, after which the state is next, and returns how many bytes of text that is.
func (f *trailerFilter) skipLine(text []byte, next chunkState) int {
	lineFeed := bytes.IndexByte(text, '\n')
	if lineFeed < 0 {
		return len(text)
	}
	f.state = next
	return lineFeed + 1
}

// expect returns an error if a byte is not the wanted one. The state behind it is next.
func (f *trailerFilter) expect(want, got byte, next chunkState) error {
	if got != want {
		return errMalformedChunk
	}
	f.state = next
	return nil
}

// removeField reads bytes behind the last chunk. Only those of the empty line that ends the trailer are kept.
func (f *trailerFilter) removeField(text []byte) (n int, keep bool, err error) {
	if f.state == trailerLine {
		switch text[0] {
		case '\r':
			f.state = trailerEnd
			return 1, true, nil
		case '\n':
			f.state = chunksDone
			return 1, true, nil
		}
	}
	f.state = trailerField
	n = f.skipLine(text, trailerLine)
	f.removed += n
	if f.removed > message.MaxTrailer {
		return n, false, message.ErrLongTrailer
	}
	return n, false, nil
}

// hexDigit returns the value of a hexadecimal digit and reports whether the byte is one.
func hexDigit(text byte) (value uint64, ok bool) {
	const firstLetterValue = 10
	switch {
	case '0' <= text && text <= '9':
		return uint64(text - '0'), true
	case 'a' <= text && text <= 'f':
		return uint64(text-'a') + firstLetterValue, true
	case 'A' <= text && text <= 'F':
		return uint64(text-'A') + firstLetterValue, true
	}
	return 0, false
}
