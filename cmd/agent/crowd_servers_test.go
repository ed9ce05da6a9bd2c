package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// crowdServer is a server for crowds: it reads bodies, slowly if the form says so, and answers long or short.
func crowdServer(slow bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if slow {
			readPaced(r)
		} else {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		simulateWork(serviceTime)
		switch r.URL.Path {
		case longResponsePath:
			w.Header().Set("Content-Length", fmt.Sprint(longBodySize))
			writeLongBody(w, longBodySize)
		case trailerResponsePath:
			size, _ := strconv.Atoi(r.URL.Query().Get("size")) // the crowd sends numbers only
			writeLongBody(w, size)
			for i := range shortTrailerSize / len("1ff: \r\n") {
				w.Header().Set(http.TrailerPrefix+fmt.Sprintf("%x", i), "")
			}
		case headResponsePath:
			for i := range headFields {
				w.Header().Set(fmt.Sprint("X-", i), strings.Repeat("h", headFieldSize))
			}
			writeBody(w, "done")
		default:
			writeBody(w, "done")
		}
	}
}

// writeLongBody writes size bytes of a body, or until that fails.
func writeLongBody(w io.Writer, size int) {
	piece := strings.Repeat("y", 32<<10)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
	}
}

// readPaced reads the body of a request at serverReadRate.
func readPaced(r *http.Request) {
	buffer := make([]byte, serverReadRate*int(paceInterval)/int(time.Second))
	for {
		if _, err := io.ReadFull(r.Body, buffer); err != nil {
			return
		}
		pause(r.Context(), paceInterval)
	}
}
