package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// noValues stands in a cell for an empty list.
const noValues = "none"

// joinReasons joins texts, each once.
func joinReasons(reasons []string) string {
	slices.Sort(reasons)
	reasons = slices.Compact(reasons)
	if len(reasons) == 0 {
		return "nothing"
	}
	return escapeCell(strings.Join(reasons, "; "))
}

// escapeCell replaces what would break a Markdown table.
func escapeCell(text string) string {
	return strings.NewReplacer("|", "/", "\n", " ", "`", "'").Replace(text)
}

// joinInts lists integers.
func joinInts(values []int) string {
	var texts []string
	for _, v := range values {
		texts = append(texts, strconv.Itoa(v))
	}
	return strings.Join(texts, ", ")
}

// joinIntsOrNone lists integers, or says that there are none.
func joinIntsOrNone(values []int) string {
	if len(values) == 0 {
		return noValues
	}
	return joinInts(values)
}

// joinNumbersOrNone lists numbers, or says that there are none.
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

// formatRange is the range from the least to the largest value.
func formatRange(values []float64) string {
	if len(values) == 0 {
		return noValues
	}
	least := formatNumber(slices.Min(values))
	most := formatNumber(slices.Max(values))
	if least == most {
		return least
	}
	return least + " to " + most
}

// formatEstimate is a value with its interval, which is left out where it is the value itself.
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
	// Numbers from minRounded (the least that rounds to four digits) to maxDecimal are written out
	// with zeros, others as %g does.
	minRounded = 999.5
	maxDecimal = 1e7
)

// formatNumber formats a number with three significant digits. NaN and infinity don't appear on the
// page.
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

// joinNames lists names for a message.
func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}
