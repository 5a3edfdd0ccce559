package jpentry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"
)

// defaultSpan is how far back the time line goes if the caller does not say.
const defaultSpan = 5 * time.Minute

// serveTimeline answers GET /timeline?seconds=N with the events of all instances
// in the last N seconds, one a line: time, instance, part, name, subject, detail.
// Instances that did not answer are named in a last line.
func (en *Entry) serveTimeline(wr http.ResponseWriter, req *http.Request) {
	span := defaultSpan
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
			klog.V(1).InfoS("timeline: reader has gone", "err", err)
			return
		}
	}
	if len(missing) > 0 {
		fmt.Fprintln(wr, "no answer from", missing)
	}
}
