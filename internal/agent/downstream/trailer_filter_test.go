package downstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	chunkedHead = "POST /api/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	trailerText = "a:\r\nb: c\r\nLong-Name: 0\r\n"
)

// filterReader applies a trailerFilter to what it reads.
type filterReader struct {
	source io.Reader
	filter trailerFilter
}

func (r *filterReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	kept, malformed := r.filter.filter(p[:n])
	return len(kept), errors.Join(malformed, err)
}

// The HTTP server sees no field of a trailer, in whatever pieces the body arrives, and the same body.
func TestTrailerFieldsAreRemoved(t *testing.T) {
	for name, body := range map[string]string{
		"no trailer":          "3\r\nabc\r\n0\r\n\r\n",
		"trailer":             "3\r\nabc\r\n0\r\n" + trailerText + "\r\n",
		"extensions":          "3;x=y\r\nabc\r\n0;z\r\n" + trailerText + "\r\n",
		"data like a trailer": "9\r\na:\r\n0\r\n\r\n\r\n0\r\n" + trailerText + "\r\n",
		"no body":             "0\r\n" + trailerText + "\r\n",
		"capital digits":      "0A\r\n0123456789\r\n00\r\n" + trailerText + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			want := readChunked(t, strings.NewReader(chunkedHead+body), nil)
			for piece, source := range map[string]io.Reader{
				"whole":     strings.NewReader(body),
				"bytes":     iotest.OneByteReader(strings.NewReader(body)),
				"half":      iotest.HalfReader(strings.NewReader(body)),
				"with next": strings.NewReader(body + "GET / HTTP/1.1\r\n\r\n"),
			} {
				filtered := bufio.NewReader(&filterReader{source: source})
				got := readChunked(t, io.MultiReader(strings.NewReader(chunkedHead), filtered), func(req *http.Request) {
					if len(req.Trailer) > 0 {
						t.Errorf("%s: trailer %v", piece, req.Trailer)
					}
				})
				if got != want {
					t.Errorf("%s: body %q, want %q", piece, got, want)
				}
			}
		})
	}
}

// readChunked reads a request as the HTTP server does, and returns its body. check is called after the body.
func readChunked(t *testing.T, source io.Reader, check func(req *http.Request)) string {
	t.Helper()
	req, err := http.ReadRequest(bufio.NewReader(source))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatal(err)
	}
	if check != nil {
		check(req)
	}
	return string(body)
}

// A body that the HTTP server accepts passes the filter unchanged but for the fields of its trailer, and a trailer
// without an end is no longer read than an allowed one.
func TestFilterIsNotStricterThanTheServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.StringMatching(`([0-3 ;x\r\n]|\r\n|0\r\n|1\r\na\r\n|a:\r\n){0,20}`).Draw(t, "body")
		read := func(source io.Reader) (string, error) {
			req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(chunkedHead), source)))
			if err != nil {
				return "", err
			}
			text, err := io.ReadAll(req.Body)
			return string(text), err
		}
		want, err := read(strings.NewReader(body))
		if err != nil {
			return
		}
		got, err := read(&filterReader{source: strings.NewReader(body)})
		if err != nil || got != want {
			t.Fatalf("body %q with the error %v, want %q", got, err, want)
		}
	})
	endless := strings.NewReader("0\r\n" + strings.Repeat("a:\r\n", message.MaxTrailer))
	if _, err := io.Copy(io.Discard, &filterReader{source: endless}); !errors.Is(err, message.ErrLongTrailer) {
		t.Errorf("error %v, want %v", err, message.ErrLongTrailer)
	}
}

// A request whose trailer has very many fields keeps none of them while it is in progress.
func TestTrailerOfAConnectionIsRemoved(t *testing.T) {
	client, conn := newFramedPair(t, largeLimits)
	write(t, client, chunkedHead+"3\r\nabc\r\n0\r\n"+trailerText+"\r\n")
	readChunked(t, conn, func(req *http.Request) {
		if len(req.Trailer) > 0 {
			t.Errorf("trailer %v", req.Trailer)
		}
	})
}
