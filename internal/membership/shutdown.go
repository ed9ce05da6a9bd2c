package membership

// Leave announces that this process is shutting down, within LeaveMs at most, and closes all sockets. It must be called
// at most once.
func (m *Membership) Leave() {
	m.mu.Lock()
	m.leaving = true
	killed := m.killed
	m.mu.Unlock()
	m.stop()
	if killed {
		return
	}
	m.announceLeave()
	m.tasks.Wait()
	m.shutdown()
}

// announceLeave announces that this process is shutting down, unless its sockets are already closed.
func (m *Membership) announceLeave() {
	m.shutdownMu.Lock()
	defer m.shutdownMu.Unlock()
	list := m.list.Load()
	if list == nil || m.socketsClosed() {
		return
	}
	if err := list.Leave(milliseconds(m.cfg.LeaveMs)); err != nil {
		m.log.Warn("membership: leave may not have reached all members", "err", err)
	}
}

// Kill closes all sockets immediately and without an announcement; to other members it looks as if the process had been
// killed. It may be called at any time, even during or after Leave, and returns once all goroutines have ended.
func (m *Membership) Kill() {
	m.mu.Lock()
	m.leaving = true
	m.killed = true
	m.mu.Unlock()
	m.stop()
	if m.list.Load() != nil {
		m.transport.kill()
	}
	m.shutdown()
	m.tasks.Wait()
	m.shutdown() // a task may have bound the address after the first call
}

// socketsClosed reports whether the sockets are already closed.
func (m *Membership) socketsClosed() bool { return m.transport.ctx.Err() != nil }

// shutdown shuts memberlist down if it is running.
func (m *Membership) shutdown() {
	m.shutdownMu.Lock()
	defer m.shutdownMu.Unlock()
	if list := m.list.Load(); list != nil {
		_ = list.Shutdown() // memberlist logs errors itself
	}
}
