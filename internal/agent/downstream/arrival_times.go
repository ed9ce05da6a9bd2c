package downstream

import "time"

// maxArrivals is the greatest number of reads whose times are kept. Later reads count as part of the last one.
const maxArrivals = 16

// arrivalTimes records when the bytes in a read buffer arrived.
type arrivalTimes struct {
	reads []arrival
}

// arrival is one read: the position after its last byte, counted from the begin of the buffer, and its time.
type arrival struct {
	end int64
	at  time.Time
}

// add records a read of n bytes.
func (a *arrivalTimes) add(n int, at time.Time) {
	last := len(a.reads) - 1
	switch {
	case last < 0:
		a.reads = append(a.reads, arrival{int64(n), at})
	case last+1 < maxArrivals:
		a.reads = append(a.reads, arrival{a.reads[last].end + int64(n), at})
	default:
		a.reads[last].end += int64(n) // with the earlier time, so that no answer is too late
	}
}

// consume removes the first n bytes.
func (a *arrivalTimes) consume(n int) {
	kept := a.reads[:0]
	for _, read := range a.reads {
		if read.end -= int64(n); read.end > 0 {
			kept = append(kept, read)
		}
	}
	a.reads = kept
}

// timeOf returns when the first size bytes had arrived, or the zero time if they have not yet.
func (a *arrivalTimes) timeOf(size int64) time.Time {
	for _, read := range a.reads {
		if read.end >= size {
			return read.at
		}
	}
	return time.Time{}
}
