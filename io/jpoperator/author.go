package jpoperator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
)

// maxAuthorBytes is the limit of the HTTP API on the name of an author.
const maxAuthorBytes = 256

// certificateNameKey is the context key of the name in the operator's certificate.
type certificateNameKey struct{}

// withCertificateName adds the common name in the operator's certificate to the context
// of the request.
func withCertificateName(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			name := strings.ToValidUTF8(r.TLS.PeerCertificates[0].Subject.CommonName, "?")
			r = r.WithContext(context.WithValue(r.Context(), certificateNameKey{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

// authorOf returns the author of a change. A name in a certificate takes precedence over
// the one that the request states, because a client can state any name.
func authorOf(ctx context.Context, stated string) string {
	name, _ := ctx.Value(certificateNameKey{}).(string)
	if name == "" {
		return stated
	}
	if stated != "" && stated != name {
		name = fmt.Sprintf("%s (stated: %s)", name, stated)
	}
	return strings.ToValidUTF8(name[:min(len(name), maxAuthorBytes)], "")
}
