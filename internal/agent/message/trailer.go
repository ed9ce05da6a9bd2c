package message

import "errors"

// MaxTrailer is the greatest size of the trailer of a chunked message, in bytes. Its fields are dropped.
const MaxTrailer = 4 << 10

// ErrLongTrailer is the error of a message whose trailer is larger than MaxTrailer.
var ErrLongTrailer = errors.New("trailer is too long")
