package dispatch

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

// Status returns the loop's status; it never waits for the loop.
func (l *Loop) Status() LoopStatus {
	traffic := l.discovery.Traffic()
	return LoopStatus{
		ListVersion:     l.published.listVersion.Load(),
		Servers:         int(l.published.servers.Load()),
		SettingsVersion: l.published.settingsVersion.Load(),
		ListIn:          traffic.BytesIn,
		ListOut:         traffic.BytesOut,
		ListCalls:       traffic.Calls,
	}
}
