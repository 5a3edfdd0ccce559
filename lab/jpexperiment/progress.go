package jpexperiment

import (
	"context"
	"time"
)

const reportInterval = 6 * time.Second

// reportProgress prints the state of the load every reportInterval.
func (rn *runner) reportProgress(ctx context.Context) {
	for sleep(ctx, reportInterval) == nil {
		open, broken, attempted, served := 0, 0, 0, 0
		for _, ca := range rn.callers {
			rs, err := ca.Results(ctx)
			if err != nil {
				continue
			}
			open += rs.Standing.Open
			broken += rs.Standing.Broken + rs.Requests.Unknown
			attempted += rs.Requests.Attempted
			served += rs.Requests.Served
		}
		rn.progress("%d standing connections open, %d of %d requests served, %d flows broken", open, served, attempted, broken)
	}
}
