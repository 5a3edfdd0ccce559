package jpinstance

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// drainMinimum lets peers learn of the stop and take the servers over.
	minDrainTime = 2 * time.Second
	// drainQuiet without a packet from the fabric ends a planned stop.
	drainQuietPeriod = time.Second
	// drainLimit ends a planned stop although the fabric still hands packets.
	maxDrainTime = 60 * time.Second
)

// awaitStop waits for a planned stop to be asked for and carries it out.
func (in *Instance) waitForStop(ctx, runCtx context.Context) {
	select {
	case <-runCtx.Done():
		return
	case <-ctx.Done():
	case <-in.stop:
	}
	in.stopping.Store(true)
	klog.Infof("instance: %s leaves", in.cfg.ID)
	in.recordEvent("instance", "instance_leaving", in.cfg.ID, "")
	in.control.mu.Lock()
	in.control.group.Leave(time.Now())
	in.control.mu.Unlock()
	in.drain(runCtx)
}

// drain goes on relaying until the fabric hands this instance no more packets.
func (in *Instance) drain(runCtx context.Context) {
	earliest := time.Now().Add(minDrainTime)
	latest := time.Now().Add(maxDrainTime)
	for runCtx.Err() == nil {
		now := time.Now()
		lastPacket := time.Unix(0, in.lastFabricPacket.Load())
		if now.After(latest) || now.After(earliest) && now.After(lastPacket.Add(drainQuietPeriod)) {
			return
		}
		sleep(runCtx, steeringInterval)
	}
}
