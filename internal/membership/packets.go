package membership

import (
	"bytes"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxPacketBytes is the size of the receive buffer: the maximum size of a packet.
const maxPacketBytes = 64 << 10

// receivePackets receives packets and hands them to memberlist until Shutdown.
func (t *transport) receivePackets() {
	buf := make([]byte, maxPacketBytes)
	for t.ctx.Err() == nil {
		n, from, err := t.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // for example, an earlier packet was refused by its destination
		}
		packet := &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: from, Timestamp: time.Now()}
		if t.isAnnounced() && t.acceptPacket(packet) {
			t.deliver(packet)
		}
	}
}

// isAnnounced reports whether this process may receive messages yet.
func (t *transport) isAnnounced() bool {
	select {
	case <-t.announced:
		return true
	default:
		return false
	}
}

// deliver hands a packet to memberlist, and reports whether memberlist took the packet before Shutdown.
func (t *transport) deliver(packet *memberlist.Packet) bool {
	select {
	case t.packets <- packet:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// acceptPacket reports whether a packet may be handed to memberlist, and turns death reports that are not believed into
// suspicions.
func (t *transport) acceptPacket(packet *memberlist.Packet) bool {
	t.counters.packetsIn.Add(1)
	t.counters.bytesIn.Add(uint64(len(packet.Buf)))
	b, label, err := memberlist.RemoveLabelHeaderFromPacket(packet.Buf)
	if err == nil && label != t.cfg.Site {
		t.counters.foreignSite.Add(1)
		t.logger.Printf("[WARN] packet of another site, %.64q, from %v", label, packet.From)
		return false
	}
	hasState := false
	if err == nil {
		err = checkPacket(b, 0, func(message []byte) {
			hasState = hasState || changesState(message)
			t.acceptMessage(message)
		})
	}
	if err != nil {
		t.counters.badPackets.Add(1)
		t.logger.Printf("[WARN] packet of %d bytes from %v dropped: %v", len(packet.Buf), packet.From, err)
		return false
	}
	if hasState {
		t.handlers.onStateMessage()
	}
	return true
}

// acceptMessage processes one message of a packet before memberlist receives it.
func (t *transport) acceptMessage(message []byte) {
	if demoteDeathReport(message, t.handlers.acceptDeathReport) {
		t.counters.demotedDeaths.Add(1)
	}
	if typeOf(message) == msgAlive {
		t.handlers.onAlive(message)
	}
}

// injectMessage hands memberlist a message as if it had been received.
func (t *transport) injectMessage(message []byte) {
	packet, err := memberlist.AddLabelHeaderToPacket(message, t.cfg.Site)
	if err != nil {
		return // complete has checked the site's length
	}
	from := &net.UDPAddr{IP: t.localIP}
	if t.deliver(&memberlist.Packet{Buf: packet, From: from, Timestamp: time.Now()}) {
		t.handlers.onStateMessage()
	}
}

// WriteTo sends a packet to an address (host:port).
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a packet to a member's address.
func (t *transport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	if err := t.checkNetworks(address.Addr); err != nil {
		return time.Time{}, err
	}
	t.counters.packetsOut.Add(1)
	t.counters.bytesOut.Add(uint64(len(b)))
	if hasStateMessage(b) {
		t.handlers.onStateMessage()
	}
	to, err := net.ResolveUDPAddr("udp", address.Addr)
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.udp.WriteToUDP(b, to)
	return time.Now(), err
}

// hasStateMessage reports whether a packet that memberlist sends has a message that can change a member's state.
func hasStateMessage(packet []byte) bool {
	b, _, err := memberlist.RemoveLabelHeaderFromPacket(packet)
	if err != nil {
		return false
	}
	hasState := false
	// memberlist's own packets have no message that checkPacket rejects; if one did, the messages before it count.
	_ = checkPacket(b, 0, func(message []byte) { hasState = hasState || changesState(message) })
	return hasState
}
