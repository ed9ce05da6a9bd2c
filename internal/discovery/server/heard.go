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
	maxWhy = 200
	// maxHeard bounds the agents that an instance remembers: beyond it the one that has been
	// silent for longest is forgotten.
	maxHeard = 8192
	// heardFor is how long an agent is remembered after its last call: longer than regions
	// lose each other for, so that who came without the newest settings is still named.
	heardFor = 2 * time.Hour
)

// AgentReport is what a call of a watch tells of its agent: the versions of its service's
// settings that it has in force (0: those of its file) and that it last refused, if that is
// newer, and why (one line, 200 bytes at most).
type AgentReport struct {
	InForce uint64 `json:"in_force"`
	Refused uint64 `json:"refused,omitempty"`
	Why     string `json:"why,omitempty"`
}

// HeardAgent is what an instance last heard of an agent.
type HeardAgent struct {
	Agent    string `json:"agent"`
	SilentMs int64  `json:"silent_ms"` // since its last call came to this instance
	AgentReport
}

// Heard is what one instance has heard of a service's agents in the last two hours.
type Heard struct {
	ID      string            `json:"id"`      // the instance
	Service string            `json:"service"` // of the agents
	Version uint64            `json:"version"` // of the newest settings applied here; 0: none are kept
	Agents  []HeardAgent      `json:"agents"`  // by name
	Peers   map[string]string `json:"peers"`   // the other instances' admin addresses by id
}

// heard remembers agents by name, in memory only: an instance that starts has heard nobody.
type heard struct {
	mu     sync.Mutex
	agents map[string]heardFrom
}

type heardFrom struct {
	service string
	AgentReport
	at time.Time
}

func newHeard() *heard { return &heard{agents: map[string]heardFrom{}} }

// note remembers a call of an agent.
func (h *heard) note(service, agent string, report AgentReport, now time.Time) {
	agent = oneLine(agent, maxName)
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.agents[agent]; !known && len(h.agents) >= maxHeard {
		h.forget(now)
	}
	h.agents[agent] = heardFrom{service: service, AgentReport: report, at: now}
}

// forget drops who has been silent for too long, or else who has been so for longest. The
// caller holds mu.
func (h *heard) forget(now time.Time) {
	oldest, at := "", now
	for agent, from := range h.agents {
		if now.Sub(from.at) > heardFor {
			delete(h.agents, agent)
		} else if !from.at.After(at) {
			oldest, at = agent, from.at
		}
	}
	if len(h.agents) >= maxHeard {
		delete(h.agents, oldest)
	}
}

// of is what was heard of a service's agents, by name.
func (h *heard) of(service string, now time.Time) []HeardAgent {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := []HeardAgent{}
	for _, agent := range slices.Sorted(maps.Keys(h.agents)) {
		from := h.agents[agent]
		if silent := now.Sub(from.at); from.service == service && silent <= heardFor {
			out = append(out, HeardAgent{Agent: agent, SilentMs: silent.Milliseconds(), AgentReport: from.AgentReport})
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
