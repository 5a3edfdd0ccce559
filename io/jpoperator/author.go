package jpoperator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
)

// maxAuthorBytes is the bound of the design on the name of an author.
const maxAuthorBytes = 256

type certificateNameKey struct{}

// withCertified passes the name in the operator's certificate to the calls.
func withCertificateName(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			name := strings.ToValidUTF8(r.TLS.PeerCertificates[0].Subject.CommonName, "?")
			r = r.WithContext(context.WithValue(r.Context(), certificateNameKey{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

// authorOf returns who makes a change. A name in a certificate goes before the
// one that the request states, which anybody can choose.
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
