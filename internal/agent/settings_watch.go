package agent

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

// settingsWatch is what a watch tells the list service of the settings that the agent has, and
// asks of it. The watch's goroutine changes what was refused, and whoever reloads forgets it.
type settingsWatch struct {
	service, agent string
	// take takes settings over and returns once they are in force; an error is why they are not:
	// errNotServing where nothing is taken over any more.
	apply func(context.Context, *endpoint.Settings) error

	mu                              sync.Mutex
	appliedVersion, rejectedVersion uint64
	rejectionReason                 string
	ended                           bool
}

// errNotServing ends the taking over of settings by an agent that ends.
var errAgentStopping = errors.New("the agent ends")

// query is what a call of the watch has beside its index; "" once nothing is taken over any more.
func (w *settingsWatch) query() string {
	if w == nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return ""
	}
	q := fmt.Sprintf("&%s=%s&%s=%s&%s=%d", endpoint.QueryService, url.QueryEscape(w.service),
		endpoint.QueryAgent, url.QueryEscape(w.agent), endpoint.QueryInForce, w.appliedVersion)
	if w.rejectedVersion > 0 {
		q += fmt.Sprintf("&%s=%d&%s=%s", endpoint.QueryRefused, w.rejectedVersion, endpoint.QueryWhy, url.QueryEscape(w.rejectionReason))
	}
	return q
}

// come takes settings that an answer brought, unless they are no newer than what was taken or
// refused: a version never goes back.
func (w *settingsWatch) receive(ctx context.Context, s *endpoint.Settings) {
	w.mu.Lock()
	old := s.Version <= max(w.appliedVersion, w.rejectedVersion)
	w.mu.Unlock()
	if old {
		return
	}
	err := w.apply(ctx, s)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(err, errAgentStopping):
		w.ended = true
	case err != nil:
		w.rejectedVersion, w.rejectionReason = s.Version, shortLine(err.Error(), maxRejectionReason)
	default:
		w.appliedVersion, w.rejectedVersion, w.rejectionReason = s.Version, 0, ""
	}
}

// retry forgets what was refused, so that it is told and judged again: what it was refused for may
// have changed.
func (w *settingsWatch) forgetRejection() {
	if w != nil {
		w.mu.Lock()
		w.rejectedVersion, w.rejectionReason = 0, ""
		w.mu.Unlock()
	}
}

// shortLine is a text without control characters, cut to so many bytes.
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
