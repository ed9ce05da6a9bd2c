package server

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// maxWhy bounds an agent's reason for a refusal, in bytes.
	maxReasonBytes = 200
	// maxHeard bounds the agents that an instance remembers: beyond it the one that has been
	// silent for longest is forgotten.
	maxReports = 8192
	// heardFor is how long an agent is remembered after its last call: longer than regions
	// lose each other for, so that who came without the newest settings is still named.
	reportRetention = 2 * time.Hour
)

// AgentReport is what a call of a watch tells of its agent: the versions of its service's
// settings that it has in force (0: those of its file) and that it last refused, if that is
// newer, and why (one line, 200 bytes at most).
type SettingsReport struct {
	InForce  uint64 `json:"in_force"`
	Rejected uint64 `json:"refused,omitempty"`
	Reason   string `json:"why,omitempty"`
}

// HeardAgent is what an instance last heard of an agent.
type AgentReport struct {
	Agent    string `json:"agent"`
	SilentMs int64  `json:"silent_ms"` // since its last call came to this instance
	SettingsReport
}

// Heard is what one instance has heard of a service's agents in the last two hours.
type AgentReports struct {
	ID      string            `json:"id"`      // the instance
	Service string            `json:"service"` // of the agents
	Version uint64            `json:"version"` // of the newest settings applied here; 0: none are kept
	Agents  []AgentReport     `json:"agents"`  // by name
	Peers   map[string]string `json:"peers"`   // the other instances' admin addresses by id
}

// heard remembers agents by name, in memory only: an instance that starts has heard nobody.
type reportRegistry struct {
	mu     sync.Mutex
	agents map[string]receivedReport
}

type receivedReport struct {
	service string
	SettingsReport
	receivedAt time.Time
}

func newReportRegistry() *reportRegistry { return &reportRegistry{agents: map[string]receivedReport{}} }

// note remembers a call of an agent.
func (h *reportRegistry) record(service, agent string, report SettingsReport, now time.Time) {
	agent = oneLine(agent, maxNameBytes)
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.agents[agent]; !known && len(h.agents) >= maxReports {
		h.evict(now)
	}
	h.agents[agent] = receivedReport{service: service, SettingsReport: report, receivedAt: now}
}

// forget drops who has been silent for too long, or else who has been so for longest. The
// caller holds mu.
func (h *reportRegistry) evict(now time.Time) {
	oldest, at := "", now
	for agent, from := range h.agents {
		if now.Sub(from.receivedAt) > reportRetention {
			delete(h.agents, agent)
		} else if !from.receivedAt.After(at) {
			oldest, at = agent, from.receivedAt
		}
	}
	if len(h.agents) >= maxReports {
		delete(h.agents, oldest)
	}
}

// of is what was heard of a service's agents, by name.
func (h *reportRegistry) ofService(service string, now time.Time) []AgentReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := []AgentReport{}
	for _, agent := range slices.Sorted(maps.Keys(h.agents)) {
		from := h.agents[agent]
		if silent := now.Sub(from.receivedAt); from.service == service && silent <= reportRetention {
			out = append(out, AgentReport{Agent: agent, SilentMs: silent.Milliseconds(), SettingsReport: from.SettingsReport})
		}
	}
	return out
}

// oneLine is text without control characters (a space for each) and cut to limit bytes.
func oneLine(text string, limit int) string {
	text = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, strings.ToValidUTF8(text, "?"))
	for len(text) > limit {
		_, size := utf8.DecodeLastRuneInString(text)
		text = text[:len(text)-size]
	}
	return text
}
