package jpentry

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minStopTime is the minimum duration of a planned stop. It covers two failed
	// readiness checks, 500 ms apart, after which the platform sends no more
	// packets.
	minStopTime = 1300 * time.Millisecond

	// stopQuietPeriod is the time without a packet after which a planned stop ends.
	stopQuietPeriod = 300 * time.Millisecond

	// exitReserve is the part of the stop timeout that is reserved for the exit
	// of the process.
	exitReserve = time.Second

	// settingsInterval is how often the settings are read again, since they may
	// change without a signal.
	settingsInterval = 5 * time.Second
)

// stop announces that the instance is leaving and waits, while packets are still
// forwarded, until no more packets arrive or the stop timeout is near.
func (en *Entry) stop(ctx context.Context) {
	began := time.Now()
	en.stopping.Store(true)
	klog.InfoS("entry: stopping", "instance", en.settings.ID)
	en.mu.Lock()
	en.timeline.Add("entry", "instance_leaving", en.settings.ID, "")
	en.group.Leave(began)
	en.observe(began)
	en.dispatcher.StopWaiting()
	released := en.takeReleased(began)
	deadline := began.Add(max(en.settings.StopTimeout-exitReserve, minStopTime))
	en.mu.Unlock()
	en.finishReleased(released)
	for ctx.Err() == nil {
		now := time.Now()
		lastPacket := time.Unix(0, en.lastPacket.Load())
		if now.After(deadline) || now.Sub(began) >= minStopTime && now.Sub(lastPacket) >= stopQuietPeriod {
			return
		}
		sleep(ctx, tickInterval)
	}
}

// watchSettings reloads the settings on request and at intervals until ctx ends.
func (en *Entry) watchSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			requested = true
		case <-ticker.C:
		}
		en.reloadSettings(requested)
	}
}

// reloadSettings reads the settings again and applies those that can change while
// the process runs: the store's address, the seeds and the stop timeout. requested
// tells whether the reload was requested, which is logged.
func (en *Entry) reloadSettings(requested bool) {
	settings, err := en.platform.LoadSettings()
	if err != nil {
		klog.ErrorS(err, "entry: settings stay as they are")
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if old := en.store.Load(); old.address != settings.Store {
		klog.InfoS("entry: store moved", "from", old.address, "to", settings.Store)
		en.store.Store(&storeHandle{
			Store: en.platform.OpenStore(settings.Store), address: settings.Store, earlierCalls: old.totalCalls(),
		})
		old.Close()
	}
	if requested {
		klog.InfoS("entry: settings read again", "seeds", len(settings.Seeds))
		en.timeline.Add("entry", "settings_read", en.settings.ID, "")
	}
	en.settings.Seeds, en.settings.StopTimeout = settings.Seeds, settings.StopTimeout
	en.updateMembership(time.Now())
}
