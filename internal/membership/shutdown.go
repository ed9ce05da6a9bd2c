package membership

// Leave announces that this process ends, for LeaveMs at the most, and closes all sockets. It may be called once.
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

// announceLeave announces that this process ends, unless its sockets are closed already.
func (m *Membership) announceLeave() {
	m.shutdownMutex.Lock()
	defer m.shutdownMutex.Unlock()
	list := m.list.Load()
	if list == nil || m.socketsClosed() {
		return
	}
	if err := list.Leave(milliseconds(m.cfg.LeaveMs)); err != nil {
		m.log.Warn("membership: leave may not have reached all members", "err", err)
	}
}

// Kill closes all sockets at once and announces nothing: to the others it is as if the process had been killed. It
// may be called at any time, also during Leave and after it, and returns once all goroutines have ended.
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
	m.shutdown() // the address may have been bound meanwhile
}

// socketsClosed tells whether the process's sockets are closed already.
func (m *Membership) socketsClosed() bool { return m.transport.ctx.Err() != nil }

// shutdown ends memberlist, if it runs.
func (m *Membership) shutdown() {
	m.shutdownMutex.Lock()
	defer m.shutdownMutex.Unlock()
	if list := m.list.Load(); list != nil {
		_ = list.Shutdown() // memberlist has logged an error
	}
}
