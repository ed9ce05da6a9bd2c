package membershiptest

import (
	"bytes"
	"context"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// The first bytes of memberlist's messages that are forged.
const (
	labelType    = 244
	pushPullType = 6
	compressType = 9
	messageTypes = 16 // the types below this number exist, or may exist
)

// The first bytes of msgpack's values that are forged, those of a fixed length with it in their low bits.
const (
	msgpackFixMap    = 0x80
	msgpackFixString = 0xa0
	msgpackInt64     = 0xd3
	msgpackTrue      = 0xc3
)

const (
	forgedPackets     = 400
	forgedPacketBytes = 1400 // below this many
	forgedStreams     = 40
	forgedStreamBytes = 200
	dialTimeout       = 5 * time.Second
	forgedTimeout     = 5 * time.Second
	foreignSite       = "other"
	// forgedSequence is the sequence of the seed that forged messages are drawn from.
	forgedSequence = 2

	// The least counts that the forged messages lead to.
	minBadStreams     = 20
	minForeignPackets = 50
	minBadPackets     = 50
)

// forgedTraffic sends a member garbage, messages of another site and forged lengths, over UDP and TCP; it drops and
// counts them and continues.
func forgedTraffic(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	victim := h.Names[0]
	random := rand.New(rand.NewPCG(h.cfg.Seed, forgedSequence))
	if err := sendForgedPackets(ctx, h.addresses[victim].Bind, random); err != nil {
		return nil, err
	}
	if err := sendForgedStreams(ctx, h.addresses[victim].Bind, random); err != nil {
		return nil, err
	}
	var dropped uint64
	err := processtest.Await(scale.ConvergeWithin, "the forged messages are counted", func() bool {
		status, err := h.Status(ctx, victim, 0)
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
	metrics, err := h.measureConvergence(ctx, time.Now(), scale)
	metrics["dropped"] = float64(dropped)
	return metrics, err
}

// dial opens a connection within dialTimeout.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// label is the header of memberlist's messages of a site.
func label(site string) []byte {
	return append([]byte{labelType, byte(len(site))}, site...)
}

// sendForgedPackets sends packets of another site, of any type, compressed, and of garbage.
func sendForgedPackets(ctx context.Context, to string, random *rand.Rand) error {
	conn, err := dial(ctx, "udp", to)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // a UDP socket has nothing to flush
	kinds := []func() []byte{
		func() []byte { return append(label(foreignSite), 0) },
		func() []byte { return append(label(testSite), byte(random.IntN(messageTypes))) },
		func() []byte { return append(label(testSite), compressType) },
		func() []byte { return nil },
	}
	for i := range forgedPackets {
		garbage := randomBytes(random, random.IntN(forgedPacketBytes))
		start := kinds[i%len(kinds)]()
		_, _ = conn.Write(append(start, garbage...)) // the receiver's counts are checked
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
func sendForgedStreams(ctx context.Context, to string, random *rand.Rand) error {
	for i := range forgedStreams {
		conn, err := dial(ctx, "tcp", to)
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
	kinds := []func() []byte{
		func() []byte { return binary.BigEndian.AppendUint32(nil, math.MaxUint32) },
		func() []byte { return frame(oversizedPushPull()) },
		func() []byte { return frame(bytes.Repeat([]byte{byte(random.Uint32())}, forgedStreamBytes)) },
	}
	return append(frame(label(testSite)), kinds[i%len(kinds)]()...)
}

// oversizedPushPull is the header of a push/pull, in msgpack, that claims 2^62 - 1 members and as many bytes.
func oversizedPushPull() []byte {
	const (
		fields = 3
		claim  = 1<<62 - 1
	)
	huge := binary.BigEndian.AppendUint64([]byte{msgpackInt64}, claim)
	message := []byte{pushPullType, msgpackFixMap | fields}
	message = append(appendString(message, "Nodes"), huge...)
	message = append(appendString(message, "UserStateLen"), huge...)
	return append(appendString(message, "Join"), msgpackTrue)
}

// appendString appends a short string in msgpack.
func appendString(message []byte, text string) []byte {
	return append(append(message, msgpackFixString|byte(len(text))), text...)
}
