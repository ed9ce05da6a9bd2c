package processtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has taken: processor time, user and system, since its start, resident
// memory now, open descriptors and threads.
type Usage struct {
	CPU         time.Duration
	RSS         int64 // bytes
	Descriptors int
	Threads     int
}

// ProcessUsage reads what a running process has taken from /proc (proc(5)).
func ProcessUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// Behind the command, in brackets, utime and stime are the 12th and 13th fields, in
	// ticks of 10 ms; num_threads is the 18th and rss the 22nd, in pages.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	if len(fields) < 22 {
		return u, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var n [4]int64
	for i, at := range []int{11, 12, 17, 21} {
		if n[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return u, err
		}
	}
	u.CPU, u.Threads, u.RSS = time.Duration(n[0]+n[1])*10*time.Millisecond, int(n[2]), n[3]*int64(os.Getpagesize())
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(fds)
	return u, err
}
