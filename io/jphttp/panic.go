// Package jphttp holds what the HTTP servers of an instance have in common.
package jphttp

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// StopOnPanic returns a handler that ends the process when next panics. The
// server of net/http recovers from panics, but a broken invariant may have left
// a lock held, and an instance that hangs is worse than one that is restarted.
// http.ErrAbortHandler, which ends one request on purpose, is passed on.
func CrashOnPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			trace := debug.Stack()
			// A panic of another goroutine is out of the server's reach.
			go panic(fmt.Sprintf("handler of %s: %v\n%s", r.URL.Path, cause, trace))
			select {}
		}()
		next.ServeHTTP(w, r)
	})
}
