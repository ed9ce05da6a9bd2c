package faultproxy

import (
	"bytes"
	"errors"
	"net"
	"time"
)

// maxPacketBytes is the maximum size of a packet.
const maxPacketBytes = 64 << 10

// relayPackets relays the packets sent to a process until Close.
func (p *Proxy) relayPackets(to *relay) {
	defer p.wg.Done()
	buf := make([]byte, maxPacketBytes)
	for {
		n, addr, err := to.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error about an earlier packet
		}
		p.packets.Add(1)
		p.bytes.Add(uint64(n))
		p.relayPacket(to, p.drawVerdict(pair{from: p.senderOf(addr.Addr()), to: to.name}), buf[:n])
	}
}

// relayPacket relays or drops one packet according to its verdict.
func (p *Proxy) relayPacket(to *relay, v verdict, packet []byte) {
	switch {
	case v.cut:
		p.cut.Add(1)
		return
	case v.lost:
		p.lost.Add(1)
		return
	case v == verdict{}:
		to.deliver(packet)
		return
	}
	packet = bytes.Clone(packet)
	to.deliverAfter(v.delay, packet)
	if v.duplicate {
		to.deliverAfter(v.delay, packet)
	}
	if v.replay {
		to.deliverAfter(v.delay+v.replayDelay, packet)
	}
}

// deliver sends a packet to the relay's process.
func (r *relay) deliver(packet []byte) {
	_, _ = r.udp.WriteToUDPAddrPort(packet, r.processAddr) // a packet that can't be sent is lost, as on a network
}

// deliverAfter sends a packet after a delay. The caller must not modify the packet afterwards.
func (r *relay) deliverAfter(delay time.Duration, packet []byte) {
	if delay == 0 {
		r.deliver(packet)
		return
	}
	time.AfterFunc(delay, func() { r.deliver(packet) })
}
