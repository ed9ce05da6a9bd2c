package message

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the header fields that are for one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEndHeaders are the header fields that are passed on.
func EndToEndHeaders(header http.Header) http.Header {
	passedOn := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			passedOn.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		passedOn.Del(name)
	}
	return passedOn
}
