package jpentry

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minStopTime covers two failed readiness checks, 500 ms apart, after which
	// no more packets come.
	minStopTime = 1300 * time.Millisecond

	// stopIdleTime without a packet ends a planned stop.
	stopIdleTime = 300 * time.Millisecond

	// exitReserve is left of the time limit for the end of the process.
	exitReserve = time.Second

	// settingsInterval is how often the settings are read again; they may
	// change without a signal.
	settingsInterval = 5 * time.Second
)

// stop forwards packets until none come any more.
func (en *Entry) stop(ctx context.Context) {
	began := time.Now()
	en.stopping.Store(true)
	klog.InfoS("entry: stopping", "instance", en.settings.ID)
	en.mu.Lock()
	en.timeline.Add("entry", "instance_leaving", en.settings.ID, "")
	en.group.Leave(began)
	en.mu.Unlock()
	deadline := began.Add(max(en.settings.StopTimeout-exitReserve, minStopTime))
	for ctx.Err() == nil {
		now := time.Now()
		lastPacket := time.Unix(0, en.lastPacket.Load())
		if now.After(deadline) || now.Sub(began) >= minStopTime && now.Sub(lastPacket) >= stopIdleTime {
			return
		}
		sleep(ctx, tickInterval)
	}
}

// watchSettings reads the settings again when asked to, and from time to time.
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

// reloadSettings takes over settings that can change while the process runs: the
// store's address, the seeds and the time for a stop.
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
		en.store.Store(&storeHandle{en.platform.OpenStore(settings.Store), settings.Store})
		old.Close()
	}
	if requested {
		klog.InfoS("entry: settings read again", "seeds", len(settings.Seeds))
		en.timeline.Add("entry", "settings_read", en.settings.ID, "")
	}
	en.settings.Seeds, en.settings.StopTimeout = settings.Seeds, settings.StopTimeout
	en.updateMembership(time.Now())
}
