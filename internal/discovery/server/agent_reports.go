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
	// maxReasonBytes bounds the reason that an agent gives for rejecting settings.
	maxReasonBytes = 200
	// maxReports bounds the number of reports that an instance stores. When it is reached, the
	// oldest report is evicted.
	maxReports = 8192
	// reportRetention is how long a report is stored. It exceeds the time for which regions lose contact
	// with each other, so that an agent that stopped calling before it had the newest settings is still
	// listed.
	reportRetention = 2 * time.Hour
)

// SettingsReport is the state of an agent's settings as reported by its watch request.
type SettingsReport struct {
	// InForce is the version in force; 0: the settings in the agent's configuration file.
	InForce uint64 `json:"in_force"`
	// Rejected is the last version that the agent rejected, if it is newer than InForce.
	Rejected uint64 `json:"refused,omitempty"`
	// Reason is the reason for the rejection, on one line of at most 200 bytes.
	Reason string `json:"why,omitempty"`
}

// AgentReport is the last report of one agent to one instance.
type AgentReport struct {
	Agent    string `json:"agent"`
	SilentMs int64  `json:"silent_ms"` // milliseconds since the agent's last call to this instance
	SettingsReport
}

// AgentReports lists the agents of one service that have called one instance within the last two
// hours. It is the response body of GET /v1/settings/{service}/heard.
type AgentReports struct {
	ID      string            `json:"id"`      // of the instance
	Service string            `json:"service"` // of the agents
	Version uint64            `json:"version"` // of the newest settings applied by the instance; 0: none
	Agents  []AgentReport     `json:"agents"`  // ordered by name
	Peers   map[string]string `json:"peers"`   // the other instances' admin addresses by id
}

// reportRegistry stores the last report of each agent, by the agent's name. It is kept in memory
// only, so it is empty after a restart. It is safe for concurrent use.
type reportRegistry struct {
	mu     sync.Mutex
	agents map[string]receivedReport
}

// receivedReport is an agent's last report and the time at which it was received.
type receivedReport struct {
	service string
	SettingsReport
	receivedAt time.Time
}

func newReportRegistry() *reportRegistry {
	return &reportRegistry{agents: map[string]receivedReport{}}
}

// record stores an agent's report, and evicts others if the registry is full.
func (r *reportRegistry) record(service, agent string, report SettingsReport, now time.Time) {
	agent = oneLine(agent, maxNameBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.agents[agent]
	if !known && len(r.agents) >= maxReports {
		r.evict(now)
	}
	r.agents[agent] = receivedReport{service: service, SettingsReport: report, receivedAt: now}
}

// evict removes the expired reports or, if there are none, the oldest report. The caller holds mu.
func (r *reportRegistry) evict(now time.Time) {
	oldestAgent := ""
	oldestTime := now
	for agent, report := range r.agents {
		switch {
		case now.Sub(report.receivedAt) > reportRetention:
			delete(r.agents, agent)
		case !report.receivedAt.After(oldestTime):
			oldestAgent = agent
			oldestTime = report.receivedAt
		}
	}
	if len(r.agents) >= maxReports {
		delete(r.agents, oldestAgent)
	}
}

// forService returns the unexpired reports of a service's agents, ordered by agent name.
func (r *reportRegistry) forService(service string, now time.Time) []AgentReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := []AgentReport{}
	for _, agent := range slices.Sorted(maps.Keys(r.agents)) {
		report := r.agents[agent]
		age := now.Sub(report.receivedAt)
		if report.service != service || age > reportRetention {
			continue
		}
		reports = append(reports, AgentReport{
			Agent:          agent,
			SilentMs:       age.Milliseconds(),
			SettingsReport: report.SettingsReport,
		})
	}
	return reports
}

// oneLine replaces each control character of a text with a space and truncates the text to at most
// limit bytes, at a character boundary.
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
