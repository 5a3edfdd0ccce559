package jpinstance

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minDrainTime is the minimum time of draining, in which peers learn of the stop
	// and take over the servers.
	minDrainTime = 2 * time.Second
	// drainQuietPeriod is the time without a packet from the fabric after which the
	// instance stops.
	drainQuietPeriod = time.Second
	// maxDrainTime is the time after which the instance stops although the fabric
	// still sends it packets.
	maxDrainTime = 60 * time.Second
)

// waitForStop waits for a planned stop, which the end of ctx or a call of Stop
// requests. It then announces the stop to peers and drains the instance.
func (in *Instance) waitForStop(ctx, runCtx context.Context) {
	select {
	case <-runCtx.Done():
		return
	case <-ctx.Done():
	case <-in.stop:
	}
	in.stopping.Store(true)
	klog.Infof("instance: planned stop of %s started", in.cfg.ID)
	in.recordEvent("instance", "instance_leaving", in.cfg.ID, "")
	in.control.mu.Lock()
	in.control.group.Leave(time.Now())
	in.control.mu.Unlock()
	in.drain(runCtx)
}

// drain waits until the fabric has sent this instance no packet for drainQuietPeriod,
// but at least minDrainTime and at most maxDrainTime. Other goroutines relay packets
// meanwhile.
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
