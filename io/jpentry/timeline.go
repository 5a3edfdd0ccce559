package jpentry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"
)

// defaultTimelineSpan is how far back the timeline goes if the request does not say.
const defaultTimelineSpan = 5 * time.Minute

// serveTimeline handles GET /timeline?seconds=N. It returns the events of all
// instances in the last N seconds, one per line: time, instance, part, name,
// subject, detail. A last line lists the instances whose events are missing.
func (en *Entry) serveTimeline(wr http.ResponseWriter, req *http.Request) {
	span := defaultTimelineSpan
	if text := req.URL.Query().Get("seconds"); text != "" {
		count, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			http.Error(wr, "seconds is not a whole number: "+text, http.StatusBadRequest)
			return
		}
		span = time.Duration(count) * time.Second
	}
	en.mu.Lock()
	view := en.view
	en.mu.Unlock()
	events, missing := en.timeline.Collect(req.Context(), view, time.Now().Add(-span))
	for _, ev := range events {
		_, err := fmt.Fprintf(wr, "%s %s %s %s %s %s\n",
			ev.At.UTC().Format("15:04:05.000"), ev.Instance, ev.Part, ev.Name, ev.Subject, ev.Detail)
		if err != nil {
			klog.V(1).InfoS("timeline: client disconnected", "err", err)
			return
		}
	}
	if len(missing) > 0 {
		fmt.Fprintln(wr, "no answer from", missing)
	}
}
