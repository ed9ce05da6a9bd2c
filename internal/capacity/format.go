package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// noValues is the cell text for an empty list.
const noValues = "none"

// joinReasons sorts reasons, drops duplicates and joins them for a table cell.
func joinReasons(reasons []string) string {
	slices.Sort(reasons)
	reasons = slices.Compact(reasons)
	if len(reasons) == 0 {
		return "nothing"
	}
	return escapeCell(strings.Join(reasons, "; "))
}

// escapeCell replaces the characters that would break a Markdown table.
func escapeCell(text string) string {
	return strings.NewReplacer("|", "/", "\n", " ", "`", "'").Replace(text)
}

// joinInts returns a comma-separated list of integers.
func joinInts(values []int) string {
	var texts []string
	for _, v := range values {
		texts = append(texts, strconv.Itoa(v))
	}
	return strings.Join(texts, ", ")
}

// joinIntsOrNone is like joinInts, but returns noValues for an empty list.
func joinIntsOrNone(values []int) string {
	if len(values) == 0 {
		return noValues
	}
	return joinInts(values)
}

// joinNumbersOrNone returns a comma-separated list of numbers, or noValues for an empty list.
func joinNumbersOrNone(values []float64) string {
	if len(values) == 0 {
		return noValues
	}
	var texts []string
	for _, v := range values {
		texts = append(texts, formatNumber(v))
	}
	return strings.Join(texts, ", ")
}

// formatRange formats the range from the smallest to the largest value.
func formatRange(values []float64) string {
	if len(values) == 0 {
		return noValues
	}
	smallest := formatNumber(slices.Min(values))
	largest := formatNumber(slices.Max(values))
	if smallest == largest {
		return smallest
	}
	return smallest + " to " + largest
}

// formatEstimate formats a value with its interval, which is omitted if both ends format like the value.
func formatEstimate(v float64, interval Interval) string {
	value := formatNumber(v)
	lo := formatNumber(interval.Lo)
	hi := formatNumber(interval.Hi)
	if lo == value && hi == value {
		return value
	}
	return fmt.Sprintf("%s (%s to %s)", value, lo, hi)
}

// formatCount formats a count as formatNumber does.
func formatCount(n int) string { return formatNumber(float64(n)) }

const (
	significantDigits = 3
	// Numbers from minRounded to maxDecimal are written out with zeros, and all others as %g does.
	// minRounded is the least number that rounds to four digits.
	minRounded = 999.5
	maxDecimal = 1e7
)

// formatNumber formats a number with three significant digits. NaN and infinity are shown as "not known".
func formatNumber(v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "not known"
	}
	if math.Abs(v) < minRounded || math.Abs(v) >= maxDecimal {
		return strconv.FormatFloat(v, 'g', significantDigits, 64)
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'e', significantDigits-1, 64), 64)
	return strconv.FormatFloat(rounded, 'f', 0, 64)
}

// joinNames returns a comma-separated list of names for a message.
func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}
