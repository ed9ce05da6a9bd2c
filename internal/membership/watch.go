package membership

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
)

const (
	// watchedSuccessors is the number of members that each member watches over an open connection: its successors on a
	// ring of hashed names. The connections of a process end when the process ends, so up to this many other members
	// detect a crash immediately. Probes only have to detect members that stop responding, and can be slow enough not to
	// cause false positives under load.
	watchedSuccessors = 3
	// watchRoundsPerProbe is how many times per probe interval the connections are updated to the current successors.
	watchRoundsPerProbe = 4
	// msgWatch is the first message on a stream that stays open while both processes run. It is not part of
	// memberlist's protocol.
	msgWatch messageType = 200
)

// watcher holds the connections to the members that a process watches.
type watcher struct {
	m          *Membership
	mu         sync.Mutex
	conns      map[string]net.Conn // by process identity
	goroutines sync.WaitGroup
}

// watchSuccessors maintains connections to this member's successors until the context is done.
func (m *Membership) watchSuccessors(ctx context.Context) {
	w := &watcher{m: m, conns: map[string]net.Conn{}}
	defer w.close()
	ticker := time.NewTicker(milliseconds(m.cfg.ProbeIntervalMs) / watchRoundsPerProbe)
	defer ticker.Stop()
	wanted := make([]Member, 0, watchedSuccessors)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wanted = m.successors(wanted[:0])
		for _, member := range w.closeUnwanted(wanted) {
			w.open(ctx, member)
		}
	}
}

// close closes all connections and waits until their goroutines have ended.
func (w *watcher) close() {
	w.mu.Lock()
	for _, conn := range w.conns {
		_ = conn.Close() // no unsent data can be lost
	}
	w.mu.Unlock()
	w.goroutines.Wait()
}

// closeUnwanted closes the connections to members that are not wanted, and returns the wanted ones without a
// connection.
func (w *watcher) closeUnwanted(wanted []Member) []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	for process, conn := range w.conns {
		isWanted := slices.ContainsFunc(wanted, func(member Member) bool { return member.Process == process })
		if !isWanted {
			delete(w.conns, process)
			_ = conn.Close() // no unsent data can be lost
		}
	}
	var unwatched []Member
	for _, member := range wanted {
		if w.conns[member.Process] == nil {
			unwatched = append(unwatched, member)
		}
	}
	return unwatched
}

// open connects to a member and watches the connection. Failures are left to the next round and to confirmSuspects.
func (w *watcher) open(ctx context.Context, member Member) {
	conn, err := w.m.dialWatch(&member)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.conns[member.Process] = conn
	w.mu.Unlock()
	w.goroutines.Add(1)
	go func() {
		defer w.goroutines.Done()
		w.watch(ctx, &member, conn)
	}()
}

// watch waits until a connection ends, and calls handleWatchEnd if it was not ended by this process.
func (w *watcher) watch(ctx context.Context, member *Member, conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1)) // the member sends nothing, so this returns when the connection ends
	_ = conn.Close()                  // the connection has ended already
	w.mu.Lock()
	endedByPeer := w.conns[member.Process] == conn
	if endedByPeer {
		delete(w.conns, member.Process)
	}
	w.mu.Unlock()
	if endedByPeer && ctx.Err() == nil {
		w.m.handleWatchEnd(ctx, member)
	}
}

// handleWatchEnd handles the end of the connection to a watched member: it declares the member dead if its address
// refuses connections.
func (m *Membership) handleWatchEnd(ctx context.Context, watched *Member) {
	current, ok := m.snapshot.Load().Member(watched.Name)
	if !ok || current.Process != watched.Process || !current.State.isPresent() {
		return
	}
	if m.checkAddress(ctx, watched) == addressRefuses {
		m.declareDead(&current)
	}
}

// successors appends to dst the members that this one watches: those whose hashed names follow its own, the nearest
// first. It makes a single pass and allocates nothing, because each round of watchSuccessors calls it.
func (m *Membership) successors(dst []Member) []Member {
	members := m.snapshot.Load().Members
	own := xxhash.Sum64String(m.cfg.Name)
	var nearest [watchedSuccessors]struct {
		distance uint64 // from the hash of this process's name, around the ring
		index    int
	}
	found := 0
	for i := range members {
		if !m.isAlivePeer(&members[i]) {
			continue
		}
		distance := xxhash.Sum64String(members[i].Name) - own
		at := found
		for at > 0 && distance < nearest[at-1].distance {
			at--
		}
		if at == watchedSuccessors {
			continue
		}
		found = min(found+1, watchedSuccessors)
		copy(nearest[at+1:found], nearest[at:])
		nearest[at].distance = distance
		nearest[at].index = i
	}
	for _, successor := range nearest[:found] {
		dst = append(dst, members[successor.index])
	}
	return dst
}

// dialWatch opens a watch connection to a member and waits for the acknowledgement.
func (m *Membership) dialWatch(member *Member) (net.Conn, error) {
	timeout := milliseconds(m.cfg.ProbeIntervalMs)
	address := memberlist.Address{Name: member.Name, Addr: member.Addr}
	conn, err := m.transport.DialAddressTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	if err := m.startWatch(conn, timeout); err != nil {
		_ = conn.Close() // the first error is returned
		return nil, err
	}
	return conn, nil
}

// startWatch sends the label and the watch message on a connection and waits for the acknowledgement.
func (m *Membership) startWatch(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := memberlist.AddLabelHeaderToStream(conn, m.cfg.Site); err != nil {
		return err
	}
	if _, err := conn.Write(append([]byte{byte(msgWatch)}, m.cfg.Name...)); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}
