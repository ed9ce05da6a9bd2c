package processtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage are the resources of a process: processor time, user and system, since its start, resident memory now, open
// descriptors and threads.
type Usage struct {
	CPU         time.Duration
	RSS         int64 // bytes
	Descriptors int
	Threads     int
}

// The fields of /proc/PID/stat that are read, counted from zero behind the command, and their units (proc(5)).
const (
	statUserTime   = 11 // clock ticks
	statSystemTime = 12 // clock ticks
	statThreads    = 17
	statRSS        = 21 // pages
	clockTick      = 10 * time.Millisecond
)

const kilobytesPerMB = 1 << 10

// ProcessUsage reads the resources of a running process from /proc (proc(5)).
func ProcessUsage(pid int) (Usage, error) {
	path := fmt.Sprintf("/proc/%d/stat", pid)
	stat, err := os.ReadFile(path)
	if err != nil {
		return Usage{}, err
	}
	usage, err := parseStat(string(stat))
	if err != nil {
		return usage, fmt.Errorf("%s: %w", path, err)
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	usage.Descriptors = len(descriptors)
	return usage, err
}

// parseStat reads all of a Usage but the descriptors from a line of /proc/PID/stat.
func parseStat(stat string) (Usage, error) {
	// The command is in brackets and may have any characters; the fields that are read follow it.
	commandEnd := strings.LastIndexByte(stat, ')')
	fields := strings.Fields(stat[commandEnd+1:])
	if len(fields) <= statRSS {
		return Usage{}, fmt.Errorf("%d fields behind the command", len(fields))
	}
	var numbers [statRSS + 1]int64
	for _, i := range []int{statUserTime, statSystemTime, statThreads, statRSS} {
		number, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return Usage{}, err
		}
		numbers[i] = number
	}
	return Usage{
		CPU:     time.Duration(numbers[statUserTime]+numbers[statSystemTime]) * clockTick,
		Threads: int(numbers[statThreads]),
		RSS:     numbers[statRSS] * int64(os.Getpagesize()),
	}, nil
}

// FreeMB returns this machine's available memory in MB (proc(5), meminfo); 0 if it can't be read.
func FreeMB() int {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "MemAvailable: %d kB", &kilobytes); n == 1 { // other lines do not match
			return kilobytes / kilobytesPerMB
		}
	}
	return 0
}
