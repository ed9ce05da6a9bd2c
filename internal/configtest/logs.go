package configtest

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// The messages and attributes that are read from an agent's log.
const (
	messageListening = "listening"
	messageApplied   = "settings applied"
	messageRejected  = "settings rejected" // prefix of the message
	attributeVersion = "version"
	attributeMarker  = "max_attempts"
)

var (
	logLine     = regexp.MustCompile(`^time=(\S+) level=\S+ msg=("(?:[^"\\]|\\.)*"|\S+)(.*)$`)
	numberField = regexp.MustCompile(` (version|max_attempts)=(\d+)`)
	errorField  = regexp.MustCompile(` err=("(?:[^"\\]|\\.)*"|\S+)`)
)

// logEntry is a parsed line of an agent's log.
type logEntry struct {
	at      time.Time
	message string
	err     string
	numbers map[string]uint64
}

// readLog reads an agent's log, which has the entries of all its processes. It skips lines that do not have the format
// of an entry, such as incomplete ones.
func (h *Harness) readLog(agent string) ([]logEntry, error) {
	text, err := os.ReadFile(filepath.Join(h.cfg.Dir, agent+".log"))
	if err != nil {
		return nil, err
	}
	var entries []logEntry
	for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan(); {
		match := logLine.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		entry, err := parseEntry(match[1], match[2], match[3])
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// parseEntry parses the time, the message and the attributes of a log line.
func parseEntry(at, message, attributes string) (logEntry, error) {
	entry := logEntry{message: strings.Trim(message, `"`), numbers: map[string]uint64{}}
	var err error
	if entry.at, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return entry, err
	}
	for _, field := range numberField.FindAllStringSubmatch(attributes, -1) {
		if entry.numbers[field[1]], err = strconv.ParseUint(field[2], 10, 64); err != nil {
			return entry, err
		}
	}
	if field := errorField.FindStringSubmatch(attributes); field != nil {
		entry.err = field[1]
	}
	return entry, nil
}

// observation returns the observation that the entry records, and whether it records one.
func (e logEntry) observation() (Observation, bool) {
	version, ok := e.numbers[attributeVersion]
	switch {
	case ok && e.message == messageApplied:
		return Observation{At: e.at, Version: version, Marker: int(e.numbers[attributeMarker])}, true
	case ok && strings.HasPrefix(e.message, messageRejected):
		return Observation{At: e.at, Version: version, Rejected: true, Reason: e.err}, true
	default:
		return Observation{}, false
	}
}

// incarnations returns the incarnations of an agent's process. An incarnation starts when the process logs that it
// listens. The end that the harness recorded is set only once the next incarnation listens. Otherwise later changes
// would not be due at an agent that fails to start again.
func (h *Harness) incarnations(agent string) ([]*ProcessIncarnation, error) {
	entries, err := h.readLog(agent)
	if err != nil {
		return nil, err
	}
	runs := h.agents.Incarnations(agent)
	var incarnations []*ProcessIncarnation
	for _, entry := range entries {
		if entry.message == messageListening {
			if n := len(incarnations); n > 0 && n <= len(runs) {
				incarnations[n-1].End = runs[n-1].End
			}
			started := processtest.Incarnation{Start: entry.at}
			incarnations = append(incarnations, &ProcessIncarnation{Agent: agent, Incarnation: started})
		}
		if len(incarnations) == 0 {
			continue
		}
		if observation, ok := entry.observation(); ok {
			current := incarnations[len(incarnations)-1]
			current.Observations = append(current.Observations, observation)
		}
	}
	return incarnations, nil
}
