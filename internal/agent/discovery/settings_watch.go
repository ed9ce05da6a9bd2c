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

// maxRejectionReason is the largest length of a reported rejection reason, in bytes.
const maxRejectionReason = 200

// ErrAgentStopping is the error of applying settings to an agent that is stopping.
var ErrAgentStopping = errors.New("agent is stopping")

// ApplySettings puts settings in force and returns once they are in force. If the settings are rejected, it returns the
// reason as an error. Once the agent applies no more settings, that error is ErrAgentStopping.
type ApplySettings func(context.Context, *endpoint.Settings) error

// settingsWatch is the part of the discovery watch that requests the settings of a service and reports which version is
// in force or rejected. The watch's goroutine updates it, and the goroutine that applies reloads clears a rejection.
type settingsWatch struct {
	service, agent string
	apply          ApplySettings

	mu              sync.Mutex
	appliedVersion  uint64
	rejectedVersion uint64 // 0 if none since settings were last applied
	rejectionReason string
	stopped         bool // no settings are applied any more
}

// query returns the query parameters that a watch call has in addition to its index and wait. It is empty once no
// settings are applied any more.
func (w *settingsWatch) query() string {
	if w == nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
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

// receive applies the settings of a response if they are newer than those that were applied or rejected. It never
// returns to an older version.
func (w *settingsWatch) receive(ctx context.Context, settings *endpoint.Settings) {
	if !w.isNewer(settings.Version) {
		return
	}
	err := w.apply(ctx, settings)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(err, ErrAgentStopping):
		w.stopped = true
	case err != nil:
		w.rejectedVersion = settings.Version
		w.rejectionReason = shortLine(err.Error(), maxRejectionReason)
	default:
		w.appliedVersion = settings.Version
		w.rejectedVersion = 0
		w.rejectionReason = ""
	}
}

// isNewer reports whether a version is newer than those that were applied or rejected.
func (w *settingsWatch) isNewer(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return version > max(w.appliedVersion, w.rejectedVersion)
}

// forgetRejection clears the rejected version, so that it is sent and checked again: the reason for the rejection may
// no longer apply.
func (w *settingsWatch) forgetRejection() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejectedVersion = 0
	w.rejectionReason = ""
}

// shortLine returns text with control characters replaced by spaces, truncated to at most limit bytes.
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
