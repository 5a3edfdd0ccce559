// Package jphttp provides what the HTTP servers of an instance share.
package jphttp

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// CrashOnPanic returns a handler that crashes the process when next panics. The
// server of net/http recovers from panics, but a violated invariant may have left a
// lock held, and an instance that hangs is worse than one that is restarted.
// http.ErrAbortHandler, which aborts one request on purpose, is passed on.
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
			// The server cannot recover a panic of another goroutine.
			go panic(fmt.Sprintf("handler of %s: %v\n%s", r.URL.Path, cause, trace))
			select {}
		}()
		next.ServeHTTP(w, r)
	})
}
