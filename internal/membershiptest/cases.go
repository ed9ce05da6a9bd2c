package membershiptest

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
)

// Measures are a case's figures by name, with their unit in the name.
type Metrics map[string]float64

// Scale says how long a case's faults last and how much it may take to settle.
type Scale struct {
	ShortPartition time.Duration // a short partition
	LongPartition  time.Duration // a partition longer than every dead and reclaim timeout
	Pause          time.Duration // shorter than the suspicion
	FaultTime      time.Duration // one-way cuts, overlaps, starving
	LossTime       time.Duration // under loss on every link
	ConvergeWithin time.Duration // to settle in
}

// Case is one fault put to a fleet whose processes run and agree, but for the cases whose
// name begins with "start", which start the fleet.
type Case struct {
	Name string
	// Last tells that a run leaves no whole fleet for another case.
	EndsCluster bool
	Run         func(h *Harness, scale Scale) (Metrics, error)
}

// Cases are the hard cases of the fleet view.
var Cases = []Case{
	{"start at once", false, startTogether},
	{"start without seeds", false, startWithoutSeeds},
	{"kill a tenth", false, killTenth},
	{"restart at once", false, restartTogether},
	{"two sides, short", false, func(h *Harness, scale Scale) (Metrics, error) { return h.partition(scale.ShortPartition, scale) }},
	{"two sides, long", false, func(h *Harness, scale Scale) (Metrics, error) { return h.partition(scale.LongPartition, scale) }},
	{"overlapping sides", false, overlappingPartitions},
	{"one-way cuts", false, oneWayCuts},
	{"pause a fifth", false, pauseFifth},
	{"starve a tenth", false, starveTenth},
	{"loss 5 %", false, func(h *Harness, scale Scale) (Metrics, error) { return h.loseMessages(0.05, scale) }},
	{"loss 20 %", false, func(h *Harness, scale Scale) (Metrics, error) { return h.loseMessages(0.20, scale) }},
	{"rolling restart", false, rollingRestart},
	{"upgrade side by side", false, upgradeSideBySide},
	{"strangers on the port", false, forgedTraffic},
	{"crash of all", false, crashAll},
	{"churn in a partition", false, churnDuringPartition},
	{"replayed packets", false, replayedPackets},
	{"drawn faults", false, drawnFaults},
	{"seeds gone for good", true, seedsGone},
}

// Play runs one case and judges it: the histories keep the rules, and all agree at the end.
func (h *Harness) RunCase(c Case, scale Scale) (Metrics, error) {
	if !strings.HasPrefix(c.Name, "start") && len(h.Running()) == 0 {
		if err := h.StartSettled(scale.ConvergeWithin); err != nil {
			return nil, fmt.Errorf("before the case: %w", err)
		}
	}
	// A case begins with a fleet that agrees, whatever the one before left.
	if len(h.Running()) > 0 {
		if _, err := h.AwaitConvergence(time.Now(), scale.ConvergeWithin); err != nil {
			return nil, fmt.Errorf("before the case: %w", err)
		}
	}
	h.cfg.Log("%s: begins", c.Name)
	defer h.Proxy.Clear() // also where the case ends in the middle
	metrics, err := c.Run(h, scale)
	if err != nil {
		return metrics, fmt.Errorf("%s: %w", c.Name, err)
	}
	if broken := h.Check(); len(broken) > 0 {
		var first strings.Builder
		for _, v := range broken[:min(len(broken), 5)] {
			fmt.Fprintf(&first, "\n%v", v)
		}
		return metrics, fmt.Errorf("%s: %d rules broken, the first:%s\n%s", c.Name, len(broken), &first, h.timeline(broken[0].Change.Process))
	}
	h.cfg.Log("%s: %v", c.Name, metrics)
	return metrics, nil
}

// StartSettled starts all processes and waits until they agree.
func (h *Harness) StartSettled(within time.Duration) error {
	if err := h.Start(h.Names...); err != nil {
		return err
	}
	_, err := h.AwaitConvergence(time.Now(), within)
	return err
}

// settled waits for agreement and adds the time it took to the figures.
func (h *Harness) measureConvergence(metrics Metrics, since time.Time, scale Scale) (Metrics, error) {
	if metrics == nil {
		metrics = Metrics{}
	}
	took, err := h.AwaitConvergence(since, scale.ConvergeWithin)
	metrics["settle ms"] = float64(took.Milliseconds())
	return metrics, err
}

func startTogether(h *Harness, scale Scale) (Metrics, error) {
	if err := h.Kill(h.Running()...); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := h.Start(h.Names...); err != nil {
		return nil, err
	}
	return h.measureConvergence(nil, began, scale)
}

// startWithoutSeeds starts the seeds last: the others serve alone and join when one comes.
func startWithoutSeeds(h *Harness, scale Scale) (Metrics, error) {
	if err := h.Kill(h.Running()...); err != nil {
		return nil, err
	}
	if err := h.Start(h.Names[h.cfg.Seeds:]...); err != nil {
		return nil, err
	}
	if err := processtest.Await(scale.ConvergeWithin, "each sees itself alone", func() bool {
		got := h.collectChanges(h.Running())
		for _, st := range got {
			if st.Present != 1 || st.Quorate {
				return false
			}
		}
		return len(got) == len(h.Names)-h.cfg.Seeds
	}); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := h.Start(h.Names[:h.cfg.Seeds]...); err != nil {
		return nil, err
	}
	return h.measureConvergence(nil, began, scale)
}

func killTenth(h *Harness, scale Scale) (Metrics, error) {
	gone := h.DrawRunning(0.1)
	began := time.Now()
	if err := h.Kill(gone...); err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(nil, began, scale)
	if err != nil {
		return metrics, err
	}
	took, missing := h.DetectionTimes(began)
	metrics["detect p50 ms"] = float64(Quantile(took, 0.5).Milliseconds())
	metrics["detect p99 ms"] = float64(Quantile(took, 0.99).Milliseconds())
	if missing > 0 {
		return metrics, fmt.Errorf("%d of %d deaths not seen", missing, missing+len(took))
	}
	return metrics, h.Start(gone...)
}

// restartAtOnce kills processes and starts them again under the same names and addresses.
func restartTogether(h *Harness, scale Scale) (Metrics, error) {
	some := h.DrawRunning(0.15)
	began := time.Now()
	if err := h.restart(false, some...); err != nil {
		return nil, err
	}
	return h.measureConvergence(nil, began, scale)
}

// sides are the running processes in two parts, the first with two fifths of them.
func (h *Harness) sides() (a, b []string) {
	live := h.Running()
	cut := len(live) * 2 / 5
	return live[:cut], live[cut:]
}

// apart is whether two processes are in different groups.
func inDifferentGroups(groups ...[]string) func(x, y string) bool {
	side := map[string]int{}
	for i, g := range groups {
		for _, n := range g {
			side[n] = i + 1
		}
	}
	return func(x, y string) bool { return side[x] != 0 && side[y] != 0 && side[x] != side[y] }
}

// partitioned cuts groups from each other while something is done, and excuses deaths
// between them until a while after.
func (h *Harness) duringPartition(scale Scale, during func() error, groups ...[]string) (healed time.Time, err error) {
	began := time.Now()
	h.Proxy.Partition("case", groups...)
	err = during()
	h.Proxy.Heal("case")
	healed = time.Now()
	h.Exempt(began, healed.Add(scale.ConvergeWithin), inDifferentGroups(groups...))
	return healed, err
}

func sleep(d time.Duration) func() error {
	return func() error { time.Sleep(d); return nil }
}

func (h *Harness) partition(d time.Duration, scale Scale) (Metrics, error) {
	a, b := h.sides()
	healed, err := h.duringPartition(scale, sleep(d), a, b)
	if err != nil {
		return nil, err
	}
	return h.measureConvergence(nil, healed, scale)
}

// overlapping lets A hear B and B hear C, but A not C.
func overlappingPartitions(h *Harness, scale Scale) (Metrics, error) {
	live := h.Running()
	third := len(live) / 3
	began := time.Now()
	// B carries the word: nobody may be declared dead, so there is no excuse.
	h.Proxy.Partition("case", live[:third], live[2*third:])
	time.Sleep(scale.FaultTime)
	h.Proxy.Heal("case")
	metrics, err := h.measureConvergence(nil, time.Now(), scale)
	return h.addFlaps(metrics, began), err
}

func (h *Harness) addFlaps(metrics Metrics, since time.Time) Metrics {
	most, sum := h.Flaps(since)
	n := float64(len(h.Running()))
	metrics["doubts, most of a pair"] = float64(most)
	metrics["doubts a pair"] = float64(sum) / (n * (n - 1))
	return metrics
}

// oneWay cuts one direction of a third of all pairs.
func oneWayCuts(h *Harness, scale Scale) (Metrics, error) {
	began := time.Now()
	live := h.Running()
	for i, x := range live {
		for _, y := range live[i+1:] {
			if h.random.IntN(3) != 0 {
				continue
			}
			if h.random.IntN(2) == 0 {
				x, y = y, x
			}
			h.Proxy.Set(x, y, faultproxy.Rule{Cut: true})
		}
	}
	time.Sleep(scale.FaultTime)
	h.Proxy.Clear()
	metrics, err := h.measureConvergence(nil, time.Now(), scale)
	return h.addFlaps(metrics, began), err
}

func pauseFifth(h *Harness, scale Scale) (Metrics, error) {
	if err := h.Pause(scale.Pause, h.DrawRunning(0.2)...); err != nil {
		return nil, err
	}
	return h.measureConvergence(nil, time.Now(), scale)
}

// starveTenth gives a tenth of the processes a tenth of the time: they stay alive in all
// views, and doubt nobody who is well.
func starveTenth(h *Harness, scale Scale) (Metrics, error) {
	began := time.Now()
	some := h.DrawRunning(0.1)
	if err := h.Starve(scale.FaultTime, some...); err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(nil, time.Now(), scale)
	return h.addFlaps(metrics, began), err
}

func (h *Harness) loseMessages(share float64, scale Scale) (Metrics, error) {
	began := time.Now()
	h.Proxy.SetAll(faultproxy.Rule{Loss: share, Jitter: 2 * time.Millisecond, Duplicate: share / 5, Reorder: share / 5})
	time.Sleep(scale.LossTime)
	h.Proxy.Clear()
	metrics, err := h.measureConvergence(nil, time.Now(), scale)
	return h.addFlaps(metrics, began), err
}

// rolling restarts all by SIGTERM, a tenth at a time.
func rollingRestart(h *Harness, scale Scale) (Metrics, error) {
	live := h.Running()
	for part := range slices.Chunk(live, max(1, len(live)/10)) {
		if err := h.restart(true, part...); err != nil {
			return nil, err
		}
	}
	return h.measureConvergence(nil, time.Now(), scale)
}

// upgrade runs a second process of an agent beside the first: it is no member until the
// first has ended, and then takes its place.
func upgradeSideBySide(h *Harness, scale Scale) (Metrics, error) {
	old := h.DrawRunning(0)[0]
	if err := h.Start(UpgradeName(old)); err != nil {
		return nil, err
	}
	if st, err := h.Status(UpgradeName(old), 0); err != nil || st.Member {
		return nil, fmt.Errorf("the second process is a member beside the first (%v)", err)
	}
	if _, err := h.AwaitConvergence(time.Now(), scale.ConvergeWithin); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := h.Term(old); err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(nil, began, scale)
	if err != nil {
		return metrics, err
	}
	if st, err := h.Status(UpgradeName(old), 0); err != nil || !st.Member {
		return metrics, fmt.Errorf("the second process is no member after the first (%v)", err)
	}
	if err := h.Term(UpgradeName(old)); err != nil {
		return metrics, err
	}
	return metrics, h.Start(old)
}

// strangers send a member garbage, messages of another site, forged lengths and an old
// process's words, over UDP and TCP; it drops and counts them and goes on.
func forgedTraffic(h *Harness, scale Scale) (Metrics, error) {
	victim := h.Names[0]
	to := h.relays[victim][0]
	u, err := net.Dial("udp", to)
	if err != nil {
		return nil, err
	}
	defer u.Close()
	random := rand.New(rand.NewPCG(h.cfg.Seed, 2))
	for i := range 400 {
		b := make([]byte, random.IntN(1400))
		for j := range b {
			b[j] = byte(random.Uint32())
		}
		switch i % 4 {
		case 0: // of another site
			b = append([]byte{244, 5, 'o', 't', 'h', 'e', 'r', 0}, b...)
		case 1: // of ours, a message of any type
			b = append([]byte{244, 3, 'l', 'a', 'b', byte(random.IntN(16))}, b...)
		case 2: // compressed
			b = append([]byte{244, 3, 'l', 'a', 'b', 9}, b...)
		}
		u.Write(b)
	}
	for i := range 40 {
		c, err := net.Dial("tcp", to)
		if err != nil {
			return nil, err
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		c.Write(forgedStream(i, random))
		c.Close()
	}
	var bad uint64
	if err := processtest.Await(scale.ConvergeWithin, "the strangers are counted", func() bool {
		st, err := h.Status(victim, 0)
		if err != nil {
			return false
		}
		bad = st.Traffic["bad_packets"] + st.Traffic["bad_streams"] + st.Traffic["foreign"]
		return st.Traffic["bad_streams"] >= 20 && st.Traffic["foreign"] >= 50 && st.Traffic["bad_packets"] >= 50
	}); err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(nil, time.Now(), scale)
	metrics["dropped"] = float64(bad)
	return metrics, err
}

// forgedStream is a frame with an oversized length, one of garbage, or a push/pull that
// claims members and state without end.
func forgedStream(i int, random *rand.Rand) []byte {
	label := []byte{0, 0, 0, 5, 244, 3, 'l', 'a', 'b'}
	switch i % 3 {
	case 0:
		return append(label, 0xff, 0xff, 0xff, 0xff)
	case 1:
		b := []byte{6, 0x83, 0xa5, 'N', 'o', 'd', 'e', 's', 0xd3, 0x3f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xac}
		b = append(b, "UserStateLen"...)
		b = append(b, 0xd3, 0x3f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xa4, 'J', 'o', 'i', 'n', 0xc3)
		return append(append(label, 0, 0, 0, byte(len(b))), b...)
	}
	b := bytes.Repeat([]byte{byte(random.Uint32())}, 200)
	return append(append(label, 0, 0, 0, 200), b...)
}

// crashAll kills all at one moment and starts them in a random order.
func crashAll(h *Harness, scale Scale) (Metrics, error) {
	if err := h.Kill(h.Running()...); err != nil {
		return nil, err
	}
	order := slices.Clone(h.Names)
	h.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for part := range slices.Chunk(order, max(1, len(order)/5)) {
		if err := h.Start(part...); err != nil {
			return nil, err
		}
	}
	return h.measureConvergence(nil, time.Now(), scale)
}

// churn kills and starts processes on both sides of a partition while it lasts.
func churnDuringPartition(h *Harness, scale Scale) (Metrics, error) {
	a, b := h.sides()
	healed, err := h.duringPartition(scale, func() error {
		for end := time.Now().Add(scale.LongPartition); time.Now().Before(end); {
			for _, side := range [][]string{a, b} {
				if err := h.restart(false, side[h.random.IntN(len(side))]); err != nil {
					return err
				}
			}
			time.Sleep(scale.ShortPartition / 4)
		}
		return nil
	}, a, b)
	if err != nil {
		return nil, err
	}
	return h.measureConvergence(nil, healed, scale)
}

// restart ends processes, orderly or not, and starts them again.
func (h *Harness) restart(orderly bool, names ...string) error {
	end := func(n string) error { return h.Kill(n) }
	if orderly {
		end = func(n string) error { return h.Term(n) }
	}
	return processtest.Each(names, func(n string) error { return errors.Join(end(n), h.Start(n)) })
}

// replayed lets a part of all packets come once more, up to a time later, while processes
// are killed, leave and start again: what was said by or of those that were replaced comes
// to their successors and to all others.
func replayedPackets(h *Harness, scale Scale) (Metrics, error) {
	h.Proxy.SetAll(faultproxy.Rule{Replay: 0.3, MaxReplayDelay: scale.FaultTime})
	for i := range 4 {
		if err := h.restart(i%2 == 1, h.DrawRunning(0.1)...); err != nil {
			return nil, err
		}
		time.Sleep(scale.FaultTime / 4)
	}
	metrics, err := h.measureConvergence(nil, time.Now(), scale) // while old packets still come
	if err != nil {
		return metrics, err
	}
	time.Sleep(scale.FaultTime)
	h.Proxy.Clear()
	_, err = h.AwaitConvergence(time.Now(), scale.ConvergeWithin)
	return metrics, err
}

// drawnFaults puts a schedule to the fleet that is drawn from the lab's seed: in each step
// bad links for all, a partition in one of two, and meanwhile processes that are killed,
// leave, stand still or starve.
func drawnFaults(h *Harness, scale Scale) (Metrics, error) {
	var healed time.Time
	for step := range 4 {
		rule := faultproxy.Rule{Loss: 0.05 * h.random.Float64(), Jitter: time.Duration(h.random.IntN(10)) * time.Millisecond,
			Duplicate: 0.1 * h.random.Float64(), Reorder: 0.1 * h.random.Float64(), Replay: 0.1 * h.random.Float64(), MaxReplayDelay: scale.ShortPartition}
		some, what := h.DrawRunning(0.02+0.13*h.random.Float64()), h.random.IntN(5)
		act := func() error {
			switch what {
			case 0:
				return h.restart(false, some...)
			case 1:
				return h.restart(true, some...)
			case 2:
				return h.Pause(scale.Pause, some...)
			case 3:
				return h.Starve(scale.ShortPartition, some...)
			}
			time.Sleep(scale.ShortPartition)
			return nil
		}
		var groups [][]string
		if h.random.IntN(2) == 0 {
			live := h.Running()
			h.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
			for part := range slices.Chunk(live, len(live)/(2+h.random.IntN(2))+1) {
				groups = append(groups, part)
			}
		}
		h.cfg.Log("drawn step %d: %d of what %d, %d groups, %+v", step, len(some), what, len(groups), rule)
		h.Proxy.SetAll(rule)
		var err error
		if healed, err = h.duringPartition(scale, act, groups...); err != nil {
			return nil, err
		}
	}
	h.Proxy.Clear()
	return h.measureConvergence(nil, healed, scale)
}

// seedsGone kills every seed for good; the others go on, and one that starts again without
// any seed is found by them.
func seedsGone(h *Harness, scale Scale) (Metrics, error) {
	began := time.Now()
	if err := h.Kill(h.Names[:h.cfg.Seeds]...); err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(nil, began, scale)
	if err != nil {
		return metrics, err
	}
	again := h.DrawRunning(0)
	if err := h.Kill(again...); err != nil {
		return metrics, err
	}
	began = time.Now()
	if err := h.Start(again...); err != nil {
		return metrics, err
	}
	took, err := h.AwaitConvergence(began, scale.ConvergeWithin)
	metrics["found again ms"] = float64(took.Milliseconds())
	return metrics, err
}
