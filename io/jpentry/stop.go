package jpentry

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// stopMinimum covers two failed readiness checks, 500 ms apart, after which
	// no more packets come.
	stopMinimum = 1300 * time.Millisecond

	// stopQuiet without a packet ends a planned stop.
	stopQuiet = 300 * time.Millisecond

	// stopReserve is left of the time limit for the end of the process.
	stopReserve = time.Second

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
	latest := began.Add(max(en.settings.StopLimit-stopReserve, stopMinimum))
	for ctx.Err() == nil {
		now := time.Now()
		seen := time.Unix(0, en.lastSeen.Load())
		if now.After(latest) || now.Sub(began) >= stopMinimum && now.Sub(seen) >= stopQuiet {
			return
		}
		sleep(ctx, tickInterval)
	}
}

// followSettings reads the settings again when asked to, and from time to time.
func (en *Entry) followSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			asked = true
		case <-ticker.C:
		}
		en.reload(asked)
	}
}

// reload takes over settings that can change while the process runs: the
// store's address, the seeds and the time for a stop.
func (en *Entry) reload(asked bool) {
	settings, err := en.platform.Load()
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
	if asked {
		klog.InfoS("entry: settings read again", "seeds", len(settings.Seeds))
		en.timeline.Add("entry", "settings_read", en.settings.ID, "")
	}
	en.settings.Seeds, en.settings.StopLimit = settings.Seeds, settings.StopLimit
	en.listInstances(time.Now())
}
