package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/dispatch"
	"fernbeam.example/fernbeam/internal/agent/handover"
)

const (
	// minSaveInterval is the minimum mean time between two saves, and saveBurst the number of saves that may follow each
	// other without a pause, as those of the start and of the first answer of discovery.
	minSaveInterval = time.Second
	saveBurst       = 3
	// refreshInterval is how often the state is saved without a change, which renews the time at which discovery last
	// answered. It is well below handover.MaxListAge.
	refreshInterval = time.Minute
)

// stateHandover takes over the state that the process before this one has saved, and saves that of this process for the
// next one. Only the process that holds the lock saves.
type stateHandover struct {
	file    *handover.File
	log     *slog.Logger
	loop    *dispatch.Loop // set before the first call of a method other than inherit and stateChanged
	changed chan struct{}  // has a value if the state has changed since the last save
	// onFileReplaced is called when the other process has read another configuration file; it may be nil.
	onFileReplaced func()
	// otherFileSum is the checksum of the file that the other process has read, and loadFailed is set if the last state
	// could not be used. Only the goroutine of the lock uses them after the start.
	otherFileSum uint32
	loadFailed   bool

	mu         sync.Mutex
	discovery  handover.DiscoveryChoice
	fileSum    uint32
	saving     bool // this process holds the lock
	saveFailed bool // the last save has failed
}

// newStateHandover returns the handover by the file at path for the agent with the given configuration.
func newStateHandover(cfg *config.Config, path string) *stateHandover {
	agent := handover.Identity{Name: cfg.Name, Listen: cfg.Listen}
	return &stateHandover{
		file:           handover.NewFile(path, agent, cfg.MaxHandoverBytes()),
		log:            cfg.Logger(),
		changed:        make(chan struct{}, 1),
		onFileReplaced: cfg.Hooks.OnFileReplaced,
	}
}

// inherit returns the configuration with the state that another process has handed over, or the configuration itself if
// there is none that can be used.
func (h *stateHandover) inherit(cfg *config.Config, predecessorRuns bool) *config.Config {
	state := h.load()
	if state != nil {
		cfg = h.inheritDiscovery(cfg, state)
	}
	h.setConfig(cfg)
	if state == nil || state.List == nil {
		return cfg
	}
	list := state.List
	now := cfg.SystemClock().Wall()
	if err := list.CheckAge(now); err != nil && !predecessorRuns {
		h.log.Warn("handed-over endpoint list not used", "err", err)
		return cfg
	}
	h.log.Info("endpoint list handed over", "version", list.Version, "servers", len(list.Servers),
		"sources", list.Sources, "confirmed_ms_ago", now.UnixMilli()-list.ConfirmedMs)
	return cfg.WithHandedOverList(list)
}

// inheritDiscovery returns the configuration with the address of discovery that follows from what the other process
// used.
func (h *stateHandover) inheritDiscovery(cfg *config.Config, state *handover.State) *config.Config {
	h.otherFileSum = state.FileSum
	next := cfg.WithInheritedDiscovery(state.Discovery)
	if next.Discovery != cfg.Discovery {
		h.log.Info("discovery of the file used, which is newer than the environment", "discovery", next.Discovery,
			"environment", next.DiscoveryChoice.Environment)
	}
	return next
}

// setConfig sets what is saved of the configuration in force.
func (h *stateHandover) setConfig(cfg *config.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.discovery = cfg.DiscoveryChoice
	h.fileSum = cfg.FileSum
}

// configReloaded saves the state with a configuration that has come into force.
func (h *stateHandover) configReloaded(cfg *config.Config) {
	h.setConfig(cfg)
	h.stateChanged()
}

// load returns the saved state if it is there, has changed since the last call, and can be used. The first of several
// failures is logged.
func (h *stateHandover) load() *handover.State {
	state, err := h.file.LoadChanged()
	if err != nil && !h.loadFailed {
		h.log.Warn("handed-over state not used", "err", err)
	}
	h.loadFailed = err != nil
	return state
}

// otherHolds implements lockObserver. It follows what the other process saves meanwhile.
func (h *stateHandover) otherHolds() {
	state := h.load()
	if state == nil {
		return
	}
	h.followFile(state.FileSum)
	if state.List != nil {
		h.loop.AdoptList(state.List)
	}
}

// followFile has the configuration file read again if the other process has read it since and found another text than
// this process. The signal to read it may have reached that process alone.
func (h *stateHandover) followFile(sum uint32) {
	replaced := sum != h.otherFileSum
	h.otherFileSum = sum
	h.mu.Lock()
	replaced = replaced && sum != h.fileSum
	h.mu.Unlock()
	if replaced && h.onFileReplaced != nil {
		h.onFileReplaced()
	}
}

// acquired implements lockObserver.
func (h *stateHandover) acquired(ctx context.Context) {
	h.otherHolds() // what the other process saved last
	h.mu.Lock()
	h.saving = true
	h.mu.Unlock()
	go h.keepSaved(ctx)
}

// otherWaits implements lockObserver. The other process needs what is not saved yet.
func (h *stateHandover) otherWaits() { h.save() }

// releasing implements lockObserver. The next process may save once it returns, and this one no longer does.
func (h *stateHandover) releasing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saving = false
}

// stateChanged requests a save. It doesn't block.
func (h *stateHandover) stateChanged() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// keepSaved saves the state now, after changes, and from time to time, until ctx is done.
func (h *stateHandover) keepSaved(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	limit := rate.NewLimiter(rate.Every(minSaveInterval), saveBurst)
	for limit.Wait(ctx) == nil {
		h.save()
		select {
		case <-h.changed:
		case <-refresh.C:
		case <-ctx.Done():
			return
		}
	}
}

// save saves the state if this process holds the lock and its loop runs. The first of several failures is logged, and
// each is followed by another save, as it may have been for a lack of descriptors or of space.
func (h *stateHandover) save() {
	list, ok := h.loop.HandoverList()
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.saving {
		return
	}
	err := h.file.Save(handover.State{Discovery: h.discovery, FileSum: h.fileSum, List: list})
	if err != nil && !h.saveFailed {
		h.log.Warn("state not saved for the next process", "err", err)
	}
	h.saveFailed = err != nil
	if err != nil {
		h.stateChanged()
	}
}
