package processtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	CPU         time.Duration // user and system time since the start of the process
	RSS         int64         // resident memory in bytes
	Descriptors int           // number of open file descriptors
	Threads     int
}

// Indices of fields of /proc/PID/stat after the command, from zero, and the units of the values (proc(5)).
const (
	statUserTime   = 11 // clock ticks
	statSystemTime = 12 // clock ticks
	statThreads    = 17
	statRSS        = 21 // pages
	clockTick      = 10 * time.Millisecond
)

const kilobytesPerMB, bytesPerKilobyte = 1 << 10, 1 << 10

// ProcessUsage reads the resource usage of a running process from /proc (proc(5)).
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

// parseStat parses the text of /proc/PID/stat, which has all of a Usage except the descriptors.
func parseStat(stat string) (Usage, error) {
	// The command is in parentheses and may contain any characters, also parentheses and spaces.
	commandEnd := strings.LastIndexByte(stat, ')')
	fields := strings.Fields(stat[commandEnd+1:])
	if len(fields) <= statRSS {
		return Usage{}, fmt.Errorf("%d fields after the command, too few", len(fields))
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

// AvailableMemoryMB returns the machine's available memory in MB from /proc/meminfo (proc(5)), or 0 if it is unknown.
func AvailableMemoryMB() int {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "MemAvailable: %d kB", &kilobytes); n == 1 { // ignore the error: other lines do not match
			return kilobytes / kilobytesPerMB
		}
	}
	return 0
}

// The lines of /proc/PID/status that StatusBytes reads (proc(5)).
const (
	PeakMemory      = "VmHWM"   // the most resident memory so far
	AnonymousMemory = "RssAnon" // resident memory that is not from files
	FileMemory      = "RssFile" // resident pages of files, such as the program, which processes share
)

// StatusBytes reads a line of /proc/PID/status of a running process, in bytes.
func StatusBytes(pid int, name string) (int64, error) {
	path := fmt.Sprintf("/proc/%d/status", pid)
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, name+": %d kB", &kilobytes); n == 1 { // ignore the error: other lines do not match
			return kilobytes * bytesPerKilobyte, nil
		}
	}
	return 0, fmt.Errorf("%s has no line %s", path, name)
}
