package agent

// LoopStatus is a snapshot of what the event loop has in force, and of its calls to discovery.
type LoopStatus struct {
	// ListVersion is the version of the endpoint list in force, and Servers the number of servers in it.
	ListVersion uint64
	Servers     int
	// SettingsVersion is the version of the settings in force; 0: they came from a file.
	SettingsVersion uint64
	// ListIn and ListOut are the bytes of calls to discovery, their heads included, and ListCalls the calls,
	// since the start.
	ListIn, ListOut, ListCalls uint64
}

// status returns the loop's status; it never waits for the loop.
func (l *eventLoop) status() LoopStatus {
	traffic := l.discovery.traffic()
	return LoopStatus{
		ListVersion:     l.published.listVersion.Load(),
		Servers:         int(l.published.servers.Load()),
		SettingsVersion: l.published.settingsVersion.Load(),
		ListIn:          traffic.bytesIn,
		ListOut:         traffic.bytesOut,
		ListCalls:       traffic.calls,
	}
}
