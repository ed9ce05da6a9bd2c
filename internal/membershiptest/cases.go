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
type Measures map[string]float64

// Scale says how long a case's faults last and how much it may take to settle.
type Scale struct {
	Cut    time.Duration // a short partition
	Long   time.Duration // a partition longer than every dead and reclaim timeout
	Pause  time.Duration // shorter than the suspicion
	Faulty time.Duration // one-way cuts, overlaps, starving
	Loss   time.Duration // under loss on every link
	Within time.Duration // to settle in
}

// Case is one fault put to a fleet whose processes run and agree, but for the cases whose
// name begins with "start", which start the fleet.
type Case struct {
	Name string
	// Last tells that a run leaves no whole fleet for another case.
	Last bool
	Run  func(l *Lab, s Scale) (Measures, error)
}

// Cases are the hard cases of the fleet view.
var Cases = []Case{
	{"start at once", false, startAtOnce},
	{"start without seeds", false, startWithoutSeeds},
	{"kill a tenth", false, killTenth},
	{"restart at once", false, restartAtOnce},
	{"two sides, short", false, func(l *Lab, s Scale) (Measures, error) { return l.split(s.Cut, s) }},
	{"two sides, long", false, func(l *Lab, s Scale) (Measures, error) { return l.split(s.Long, s) }},
	{"overlapping sides", false, overlapping},
	{"one-way cuts", false, oneWay},
	{"pause a fifth", false, pauseFifth},
	{"starve a tenth", false, starveTenth},
	{"loss 5 %", false, func(l *Lab, s Scale) (Measures, error) { return l.lossy(0.05, s) }},
	{"loss 20 %", false, func(l *Lab, s Scale) (Measures, error) { return l.lossy(0.20, s) }},
	{"rolling restart", false, rolling},
	{"upgrade side by side", false, upgrade},
	{"strangers on the port", false, strangers},
	{"crash of all", false, crashAll},
	{"churn in a partition", false, churn},
	{"replayed packets", false, replayed},
	{"drawn faults", false, drawnFaults},
	{"seeds gone for good", true, seedsGone},
}

// Play runs one case and judges it: the histories keep the rules, and all agree at the end.
func (l *Lab) Play(c Case, s Scale) (Measures, error) {
	if !strings.HasPrefix(c.Name, "start") && len(l.Live()) == 0 {
		if err := l.StartSettled(s.Within); err != nil {
			return nil, fmt.Errorf("before the case: %w", err)
		}
	}
	// A case begins with a fleet that agrees, whatever the one before left.
	if len(l.Live()) > 0 {
		if _, err := l.Settle(time.Now(), s.Within); err != nil {
			return nil, fmt.Errorf("before the case: %w", err)
		}
	}
	l.cfg.Log("%s: begins", c.Name)
	defer l.Board.Clear() // also where the case ends in the middle
	m, err := c.Run(l, s)
	if err != nil {
		return m, fmt.Errorf("%s: %w", c.Name, err)
	}
	if broken := l.Check(); len(broken) > 0 {
		var first strings.Builder
		for _, v := range broken[:min(len(broken), 5)] {
			fmt.Fprintf(&first, "\n%v", v)
		}
		return m, fmt.Errorf("%s: %d rules broken, the first:%s\n%s", c.Name, len(broken), &first, l.course(broken[0].Change.Process))
	}
	l.cfg.Log("%s: %v", c.Name, m)
	return m, nil
}

// StartSettled starts all processes and waits until they agree.
func (l *Lab) StartSettled(within time.Duration) error {
	if err := l.Start(l.Names...); err != nil {
		return err
	}
	_, err := l.Settle(time.Now(), within)
	return err
}

// settled waits for agreement and adds the time it took to the figures.
func (l *Lab) settled(m Measures, since time.Time, s Scale) (Measures, error) {
	if m == nil {
		m = Measures{}
	}
	took, err := l.Settle(since, s.Within)
	m["settle ms"] = float64(took.Milliseconds())
	return m, err
}

func startAtOnce(l *Lab, s Scale) (Measures, error) {
	if err := l.Kill(l.Live()...); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := l.Start(l.Names...); err != nil {
		return nil, err
	}
	return l.settled(nil, began, s)
}

// startWithoutSeeds starts the seeds last: the others serve alone and join when one comes.
func startWithoutSeeds(l *Lab, s Scale) (Measures, error) {
	if err := l.Kill(l.Live()...); err != nil {
		return nil, err
	}
	if err := l.Start(l.Names[l.cfg.Seeds:]...); err != nil {
		return nil, err
	}
	if err := processtest.Await(s.Within, "each sees itself alone", func() bool {
		got := l.collect(l.Live())
		for _, st := range got {
			if st.Present != 1 || st.Quorate {
				return false
			}
		}
		return len(got) == len(l.Names)-l.cfg.Seeds
	}); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := l.Start(l.Names[:l.cfg.Seeds]...); err != nil {
		return nil, err
	}
	return l.settled(nil, began, s)
}

func killTenth(l *Lab, s Scale) (Measures, error) {
	gone := l.Some(0.1)
	began := time.Now()
	if err := l.Kill(gone...); err != nil {
		return nil, err
	}
	m, err := l.settled(nil, began, s)
	if err != nil {
		return m, err
	}
	took, missing := l.Detections(began)
	m["detect p50 ms"] = float64(Quantile(took, 0.5).Milliseconds())
	m["detect p99 ms"] = float64(Quantile(took, 0.99).Milliseconds())
	if missing > 0 {
		return m, fmt.Errorf("%d of %d deaths not seen", missing, missing+len(took))
	}
	return m, l.Start(gone...)
}

// restartAtOnce kills processes and starts them again under the same names and addresses.
func restartAtOnce(l *Lab, s Scale) (Measures, error) {
	some := l.Some(0.15)
	began := time.Now()
	if err := l.restart(false, some...); err != nil {
		return nil, err
	}
	return l.settled(nil, began, s)
}

// sides are the running processes in two parts, the first with two fifths of them.
func (l *Lab) sides() (a, b []string) {
	live := l.Live()
	cut := len(live) * 2 / 5
	return live[:cut], live[cut:]
}

// apart is whether two processes are in different groups.
func apart(groups ...[]string) func(x, y string) bool {
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
func (l *Lab) partitioned(s Scale, during func() error, groups ...[]string) (healed time.Time, err error) {
	began := time.Now()
	l.Board.Partition("case", groups...)
	err = during()
	l.Board.Heal("case")
	healed = time.Now()
	l.Excuse(began, healed.Add(s.Within), apart(groups...))
	return healed, err
}

func hold(d time.Duration) func() error {
	return func() error { time.Sleep(d); return nil }
}

func (l *Lab) split(d time.Duration, s Scale) (Measures, error) {
	a, b := l.sides()
	healed, err := l.partitioned(s, hold(d), a, b)
	if err != nil {
		return nil, err
	}
	return l.settled(nil, healed, s)
}

// overlapping lets A hear B and B hear C, but A not C.
func overlapping(l *Lab, s Scale) (Measures, error) {
	live := l.Live()
	third := len(live) / 3
	began := time.Now()
	// B carries the word: nobody may be declared dead, so there is no excuse.
	l.Board.Partition("case", live[:third], live[2*third:])
	time.Sleep(s.Faulty)
	l.Board.Heal("case")
	m, err := l.settled(nil, time.Now(), s)
	return l.flapped(m, began), err
}

func (l *Lab) flapped(m Measures, since time.Time) Measures {
	most, sum := l.Flaps(since)
	n := float64(len(l.Live()))
	m["doubts, most of a pair"] = float64(most)
	m["doubts a pair"] = float64(sum) / (n * (n - 1))
	return m
}

// oneWay cuts one direction of a third of all pairs.
func oneWay(l *Lab, s Scale) (Measures, error) {
	began := time.Now()
	live := l.Live()
	for i, x := range live {
		for _, y := range live[i+1:] {
			if l.draw.IntN(3) != 0 {
				continue
			}
			if l.draw.IntN(2) == 0 {
				x, y = y, x
			}
			l.Board.Set(x, y, faultproxy.Rule{Cut: true})
		}
	}
	time.Sleep(s.Faulty)
	l.Board.Clear()
	m, err := l.settled(nil, time.Now(), s)
	return l.flapped(m, began), err
}

func pauseFifth(l *Lab, s Scale) (Measures, error) {
	if err := l.Pause(s.Pause, l.Some(0.2)...); err != nil {
		return nil, err
	}
	return l.settled(nil, time.Now(), s)
}

// starveTenth gives a tenth of the processes a tenth of the time: they stay alive in all
// views, and doubt nobody who is well.
func starveTenth(l *Lab, s Scale) (Measures, error) {
	began := time.Now()
	some := l.Some(0.1)
	if err := l.Starve(s.Faulty, some...); err != nil {
		return nil, err
	}
	m, err := l.settled(nil, time.Now(), s)
	return l.flapped(m, began), err
}

func (l *Lab) lossy(share float64, s Scale) (Measures, error) {
	began := time.Now()
	l.Board.SetAll(faultproxy.Rule{Loss: share, Jitter: 2 * time.Millisecond, Duplicate: share / 5, Reorder: share / 5})
	time.Sleep(s.Loss)
	l.Board.Clear()
	m, err := l.settled(nil, time.Now(), s)
	return l.flapped(m, began), err
}

// rolling restarts all by SIGTERM, a tenth at a time.
func rolling(l *Lab, s Scale) (Measures, error) {
	live := l.Live()
	for part := range slices.Chunk(live, max(1, len(live)/10)) {
		if err := l.restart(true, part...); err != nil {
			return nil, err
		}
	}
	return l.settled(nil, time.Now(), s)
}

// upgrade runs a second process of an agent beside the first: it is no member until the
// first has ended, and then takes its place.
func upgrade(l *Lab, s Scale) (Measures, error) {
	old := l.Some(0)[0]
	if err := l.Start(Upgrade(old)); err != nil {
		return nil, err
	}
	if st, err := l.Status(Upgrade(old), 0); err != nil || st.Member {
		return nil, fmt.Errorf("the second process is a member beside the first (%v)", err)
	}
	if _, err := l.Settle(time.Now(), s.Within); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := l.Term(old); err != nil {
		return nil, err
	}
	m, err := l.settled(nil, began, s)
	if err != nil {
		return m, err
	}
	if st, err := l.Status(Upgrade(old), 0); err != nil || !st.Member {
		return m, fmt.Errorf("the second process is no member after the first (%v)", err)
	}
	if err := l.Term(Upgrade(old)); err != nil {
		return m, err
	}
	return m, l.Start(old)
}

// strangers send a member garbage, messages of another site, forged lengths and an old
// process's words, over UDP and TCP; it drops and counts them and goes on.
func strangers(l *Lab, s Scale) (Measures, error) {
	victim := l.Names[0]
	to := l.addr[victim][0]
	u, err := net.Dial("udp", to)
	if err != nil {
		return nil, err
	}
	defer u.Close()
	draw := rand.New(rand.NewPCG(l.cfg.Seed, 2))
	for i := range 400 {
		b := make([]byte, draw.IntN(1400))
		for j := range b {
			b[j] = byte(draw.Uint32())
		}
		switch i % 4 {
		case 0: // of another site
			b = append([]byte{244, 5, 'o', 't', 'h', 'e', 'r', 0}, b...)
		case 1: // of ours, a message of any type
			b = append([]byte{244, 3, 'l', 'a', 'b', byte(draw.IntN(16))}, b...)
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
		c.Write(forgedStream(i, draw))
		c.Close()
	}
	var bad uint64
	if err := processtest.Await(s.Within, "the strangers are counted", func() bool {
		st, err := l.Status(victim, 0)
		if err != nil {
			return false
		}
		bad = st.Traffic["bad_packets"] + st.Traffic["bad_streams"] + st.Traffic["foreign"]
		return st.Traffic["bad_streams"] >= 20 && st.Traffic["foreign"] >= 50 && st.Traffic["bad_packets"] >= 50
	}); err != nil {
		return nil, err
	}
	m, err := l.settled(nil, time.Now(), s)
	m["dropped"] = float64(bad)
	return m, err
}

// forgedStream is a frame with an oversized length, one of garbage, or a push/pull that
// claims members and state without end.
func forgedStream(i int, draw *rand.Rand) []byte {
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
	b := bytes.Repeat([]byte{byte(draw.Uint32())}, 200)
	return append(append(label, 0, 0, 0, 200), b...)
}

// crashAll kills all at one moment and starts them in a random order.
func crashAll(l *Lab, s Scale) (Measures, error) {
	if err := l.Kill(l.Live()...); err != nil {
		return nil, err
	}
	order := slices.Clone(l.Names)
	l.draw.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for part := range slices.Chunk(order, max(1, len(order)/5)) {
		if err := l.Start(part...); err != nil {
			return nil, err
		}
	}
	return l.settled(nil, time.Now(), s)
}

// churn kills and starts processes on both sides of a partition while it lasts.
func churn(l *Lab, s Scale) (Measures, error) {
	a, b := l.sides()
	healed, err := l.partitioned(s, func() error {
		for end := time.Now().Add(s.Long); time.Now().Before(end); {
			for _, side := range [][]string{a, b} {
				if err := l.restart(false, side[l.draw.IntN(len(side))]); err != nil {
					return err
				}
			}
			time.Sleep(s.Cut / 4)
		}
		return nil
	}, a, b)
	if err != nil {
		return nil, err
	}
	return l.settled(nil, healed, s)
}

// restart ends processes, orderly or not, and starts them again.
func (l *Lab) restart(orderly bool, names ...string) error {
	end := func(n string) error { return l.Kill(n) }
	if orderly {
		end = func(n string) error { return l.Term(n) }
	}
	return processtest.Each(names, func(n string) error { return errors.Join(end(n), l.Start(n)) })
}

// replayed lets a part of all packets come once more, up to a time later, while processes
// are killed, leave and start again: what was said by or of those that were replaced comes
// to their successors and to all others.
func replayed(l *Lab, s Scale) (Measures, error) {
	l.Board.SetAll(faultproxy.Rule{Replay: 0.3, ReplayIn: s.Faulty})
	for i := range 4 {
		if err := l.restart(i%2 == 1, l.Some(0.1)...); err != nil {
			return nil, err
		}
		time.Sleep(s.Faulty / 4)
	}
	m, err := l.settled(nil, time.Now(), s) // while old packets still come
	if err != nil {
		return m, err
	}
	time.Sleep(s.Faulty)
	l.Board.Clear()
	_, err = l.Settle(time.Now(), s.Within)
	return m, err
}

// drawnFaults puts a schedule to the fleet that is drawn from the lab's seed: in each step
// bad links for all, a partition in one of two, and meanwhile processes that are killed,
// leave, stand still or starve.
func drawnFaults(l *Lab, s Scale) (Measures, error) {
	var healed time.Time
	for step := range 4 {
		r := faultproxy.Rule{Loss: 0.05 * l.draw.Float64(), Jitter: time.Duration(l.draw.IntN(10)) * time.Millisecond,
			Duplicate: 0.1 * l.draw.Float64(), Reorder: 0.1 * l.draw.Float64(), Replay: 0.1 * l.draw.Float64(), ReplayIn: s.Cut}
		some, what := l.Some(0.02+0.13*l.draw.Float64()), l.draw.IntN(5)
		act := func() error {
			switch what {
			case 0:
				return l.restart(false, some...)
			case 1:
				return l.restart(true, some...)
			case 2:
				return l.Pause(s.Pause, some...)
			case 3:
				return l.Starve(s.Cut, some...)
			}
			time.Sleep(s.Cut)
			return nil
		}
		var groups [][]string
		if l.draw.IntN(2) == 0 {
			live := l.Live()
			l.draw.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
			for part := range slices.Chunk(live, len(live)/(2+l.draw.IntN(2))+1) {
				groups = append(groups, part)
			}
		}
		l.cfg.Log("drawn step %d: %d of what %d, %d groups, %+v", step, len(some), what, len(groups), r)
		l.Board.SetAll(r)
		var err error
		if healed, err = l.partitioned(s, act, groups...); err != nil {
			return nil, err
		}
	}
	l.Board.Clear()
	return l.settled(nil, healed, s)
}

// seedsGone kills every seed for good; the others go on, and one that starts again without
// any seed is found by them.
func seedsGone(l *Lab, s Scale) (Measures, error) {
	began := time.Now()
	if err := l.Kill(l.Names[:l.cfg.Seeds]...); err != nil {
		return nil, err
	}
	m, err := l.settled(nil, began, s)
	if err != nil {
		return m, err
	}
	again := l.Some(0)
	if err := l.Kill(again...); err != nil {
		return m, err
	}
	began = time.Now()
	if err := l.Start(again...); err != nil {
		return m, err
	}
	took, err := l.Settle(began, s.Within)
	m["found again ms"] = float64(took.Milliseconds())
	return m, err
}
