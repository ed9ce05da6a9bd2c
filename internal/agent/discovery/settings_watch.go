package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"sync"
	"unicode"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxRejectionReason bounds the reason of a rejection that is reported to discovery, in bytes.
const maxRejectionReason = 200

// ErrAgentStopping ends the application of settings by an agent that stops.
var ErrAgentStopping = errors.New("the agent ends")

// ApplySettings puts settings in force and returns once they are. An error says why they are not:
// ErrAgentStopping where nothing is applied any more.
type ApplySettings func(context.Context, *endpoint.Settings) error

// settingsWatch is what the watch of discovery asks for and reports of the settings of a service. The watch's
// goroutine changes what was rejected, and the goroutine that applies reloads forgets it.
type settingsWatch struct {
	service, agent string
	apply          ApplySettings

	mu              sync.Mutex
	appliedVersion  uint64
	rejectedVersion uint64 // 0: none since the last settings that were applied
	rejectionReason string
	ended           bool // nothing is applied any more
}

// query is what a call of the watch has beside its index; "" once nothing is applied any more.
func (w *settingsWatch) query() string {
	if w == nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return ""
	}
	query := fmt.Sprintf("&%s=%s&%s=%s&%s=%d", endpoint.QueryService, url.QueryEscape(w.service),
		endpoint.QueryAgent, url.QueryEscape(w.agent), endpoint.QueryInForce, w.appliedVersion)
	if w.rejectedVersion > 0 {
		query += fmt.Sprintf("&%s=%d&%s=%s", endpoint.QueryRejected, w.rejectedVersion,
			endpoint.QueryReason, url.QueryEscape(w.rejectionReason))
	}
	return query
}

// receive applies settings that a response brought, unless they are no newer than those that were applied or
// rejected: a version never goes back.
func (w *settingsWatch) receive(ctx context.Context, settings *endpoint.Settings) {
	if !w.isNewer(settings.Version) {
		return
	}
	err := w.apply(ctx, settings)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(err, ErrAgentStopping):
		w.ended = true
	case err != nil:
		w.rejectedVersion = settings.Version
		w.rejectionReason = shortLine(err.Error(), maxRejectionReason)
	default:
		w.appliedVersion = settings.Version
		w.rejectedVersion = 0
		w.rejectionReason = ""
	}
}

func (w *settingsWatch) isNewer(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return version > max(w.appliedVersion, w.rejectedVersion)
}

// forgetRejection forgets what was rejected, so that it is sent and checked again: the reason may be gone.
func (w *settingsWatch) forgetRejection() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejectedVersion = 0
	w.rejectionReason = ""
}

// shortLine is a text without control characters, cut to a number of bytes.
func shortLine(text string, limit int) string {
	text = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
	if len(text) > limit {
		text = strings.ToValidUTF8(text[:limit], "")
	}
	return text
}
