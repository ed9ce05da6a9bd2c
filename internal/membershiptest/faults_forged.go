package membershiptest

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// The first bytes of memberlist's messages that are forged.
	labelType    = 244
	pushPullType = 6
	compressType = 9

	forgedPackets     = 400
	forgedPacketBytes = 1400 // below this many
	forgedStreams     = 40
	forgedStreamBytes = 200
	forgedTimeout     = 5 * time.Second
	foreignSite       = "other"

	// The least counts that the forged messages lead to.
	minBadStreams     = 20
	minForeignPackets = 50
	minBadPackets     = 50
)

// forgedTraffic sends a member garbage, messages of another site and forged lengths, over UDP and TCP; it drops and
// counts them and continues.
func forgedTraffic(h *Harness, scale Scale) (Metrics, error) {
	victim := h.Names[0]
	random := rand.New(rand.NewPCG(h.cfg.Seed, 2))
	if err := sendForgedPackets(h.relays[victim].bind, random); err != nil {
		return nil, err
	}
	if err := sendForgedStreams(h.relays[victim].bind, random); err != nil {
		return nil, err
	}
	var dropped uint64
	err := processtest.Await(scale.ConvergeWithin, "the forged messages are counted", func() bool {
		status, err := h.Status(victim, 0)
		if err != nil {
			return false
		}
		packets := status.Traffic[membership.BadPackets]
		streams := status.Traffic[membership.BadStreams]
		foreign := status.Traffic[membership.ForeignSite]
		dropped = packets + streams + foreign
		return streams >= minBadStreams && foreign >= minForeignPackets && packets >= minBadPackets
	})
	if err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(time.Now(), scale)
	metrics["dropped"] = float64(dropped)
	return metrics, err
}

// label is the header of memberlist's messages of a site.
func label(site string) []byte {
	return append([]byte{labelType, byte(len(site))}, site...)
}

// sendForgedPackets sends packets of another site, of any type, compressed, and of garbage.
func sendForgedPackets(to string, random *rand.Rand) error {
	conn, err := net.Dial("udp", to)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // a UDP socket has nothing to flush
	for i := range forgedPackets {
		packet := randomBytes(random, random.IntN(forgedPacketBytes))
		switch i % 4 {
		case 0:
			packet = append(append(label(foreignSite), 0), packet...)
		case 1:
			packet = append(append(label(testSite), byte(random.IntN(16))), packet...)
		case 2:
			packet = append(append(label(testSite), compressType), packet...)
		}
		_, _ = conn.Write(packet) // the receiver's counts are checked
	}
	return nil
}

func randomBytes(random *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// sendForgedStreams sends streams, each on a connection of its own.
func sendForgedStreams(to string, random *rand.Rand) error {
	for i := range forgedStreams {
		conn, err := net.DialTimeout("tcp", to, forgedTimeout)
		if err != nil {
			return err
		}
		// The receiver's counts are checked.
		_ = conn.SetDeadline(time.Now().Add(forgedTimeout))
		_, _ = conn.Write(forgedStream(i, random))
		_ = conn.Close()
	}
	return nil
}

// frame is a message with its length before it.
func frame(message []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// forgedStream is a frame with an oversized length, a push/pull that claims members and state without end, or garbage.
func forgedStream(i int, random *rand.Rand) []byte {
	stream := frame(label(testSite))
	switch i % 3 {
	case 0:
		return append(stream, 0xff, 0xff, 0xff, 0xff)
	case 1:
		return append(stream, frame(oversizedPushPull())...)
	default:
		return append(stream, frame(bytes.Repeat([]byte{byte(random.Uint32())}, forgedStreamBytes))...)
	}
}

// oversizedPushPull is the header of a push/pull, in msgpack, that claims 2^62 - 1 members and as many bytes.
func oversizedPushPull() []byte {
	huge := []byte{0xd3, 0x3f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	message := []byte{pushPullType, 0x83, 0xa5}
	message = append(message, "Nodes"...)
	message = append(message, huge...)
	message = append(message, 0xac)
	message = append(message, "UserStateLen"...)
	message = append(message, huge...)
	message = append(message, 0xa4)
	message = append(message, "Join"...)
	return append(message, 0xc3)
}
