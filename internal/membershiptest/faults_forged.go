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

// The first bytes of the forged memberlist messages.
const (
	labelType    = 244
	pushPullType = 6
	compressType = 9
	messageTypes = 16 // bound of the random types; types below it exist or may exist
)

// The first bytes of the msgpack values in forged messages. The fixed-length types have the length in their low bits.
const (
	msgpackFixMap    = 0x80
	msgpackFixString = 0xa0
	msgpackInt64     = 0xd3
	msgpackTrue      = 0xc3
)

const (
	forgedPackets     = 400
	forgedPacketBytes = 1400 // exclusive upper bound
	forgedStreams     = 40
	forgedStreamBytes = 200
	dialTimeout       = 5 * time.Second
	forgedTimeout     = 5 * time.Second
	foreignSite       = "other"
	// forgedRandomStream selects the stream of random numbers, within that of the harness's seed, for forged messages.
	forgedRandomStream = 2

	// The minimum counts that the victim must report.
	minBadStreams     = 20
	minForeignPackets = 50
	minBadPackets     = 50
)

// forgedTraffic sends garbage, messages of another site and messages with forged lengths to a member over UDP and TCP.
// The member must drop and count them and continue to work.
func forgedTraffic(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	victim := h.Names[0]
	random := rand.New(rand.NewPCG(h.cfg.Seed, forgedRandomStream))
	if err := sendForgedPackets(ctx, h.addresses[victim].Bind, random); err != nil {
		return nil, err
	}
	if err := sendForgedStreams(ctx, h.addresses[victim].Bind, random); err != nil {
		return nil, err
	}
	var dropped uint64
	err := processtest.Await(scale.ConvergeWithin, "counts of the forged messages", func() bool {
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

// label returns the header of memberlist messages with the label of a site.
func label(site string) []byte {
	return append([]byte{labelType, byte(len(site))}, site...)
}

// sendForgedPackets sends random bytes in packets of another site, in packets of random types, as compressed messages
// and without any header.
func sendForgedPackets(ctx context.Context, to string, random *rand.Rand) error {
	conn, err := dial(ctx, "udp", to)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // a UDP socket has no buffered data
	kinds := []func() []byte{
		func() []byte { return append(label(foreignSite), 0) },
		func() []byte { return append(label(testSite), byte(random.IntN(messageTypes))) },
		func() []byte { return append(label(testSite), compressType) },
		func() []byte { return nil },
	}
	for i := range forgedPackets {
		garbage := randomBytes(random, random.IntN(forgedPacketBytes))
		start := kinds[i%len(kinds)]()
		_, _ = conn.Write(append(start, garbage...)) // the receiver's counts show whether packets arrived
	}
	return nil
}

// randomBytes returns n random bytes.
func randomBytes(random *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// sendForgedStreams sends forged streams, each on its own connection.
func sendForgedStreams(ctx context.Context, to string, random *rand.Rand) error {
	for i := range forgedStreams {
		conn, err := dial(ctx, "tcp", to)
		if err != nil {
			return err
		}
		// Errors are ignored: the receiver's counts show whether the streams arrived.
		_ = conn.SetDeadline(time.Now().Add(forgedTimeout))
		_, _ = conn.Write(forgedStream(i, random))
		_ = conn.Close()
	}
	return nil
}

// frame returns a message prefixed with its length.
func frame(message []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// forgedStream returns a stream with an oversized frame length, with a push/pull that claims excessive numbers of
// members and bytes of state, or with garbage. The number i selects the kind.
func forgedStream(i int, random *rand.Rand) []byte {
	kinds := []func() []byte{
		func() []byte { return binary.BigEndian.AppendUint32(nil, math.MaxUint32) },
		func() []byte { return frame(oversizedPushPull()) },
		func() []byte { return frame(bytes.Repeat([]byte{byte(random.Uint32())}, forgedStreamBytes)) },
	}
	return append(frame(label(testSite)), kinds[i%len(kinds)]()...)
}

// oversizedPushPull returns the msgpack header of a push/pull that claims 2^62 - 1 members and as many bytes of state.
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

// appendString appends a short string in msgpack format.
func appendString(message []byte, text string) []byte {
	return append(append(message, msgpackFixString|byte(len(text))), text...)
}
