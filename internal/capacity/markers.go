package capacity

import (
	"errors"
	"strings"
)

// The marker lines that enclose the generated tables in a page.
const (
	BeginMarker = "<!-- experiment capacity: begin -->"
	EndMarker   = "<!-- experiment capacity: end -->"
)

// errMarkers is returned for a page without exactly one pair of markers.
var errMarkers = errors.New("the markers " + BeginMarker + " and " + EndMarker +
	" must each occur exactly once, in order, on lines of their own")

// ReplaceTables returns the page's text with the tables between its markers replaced. Each marker must
// occur exactly once, on a line of its own, BeginMarker first.
func ReplaceTables(page, tables string) (string, error) {
	if strings.Count(page, BeginMarker) != 1 || strings.Count(page, EndMarker) != 1 {
		return "", errMarkers
	}
	before, rest, hasBegin := strings.Cut(page, BeginMarker+"\n")
	_, after, hasEnd := strings.Cut(rest, EndMarker+"\n")
	if !hasBegin || !hasEnd || before != "" && !strings.HasSuffix(before, "\n") {
		return "", errMarkers
	}
	tables = strings.TrimRight(tables, "\n")
	return before + BeginMarker + "\n" + tables + "\n" + EndMarker + "\n" + after, nil
}
