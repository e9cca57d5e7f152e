package gate

import (
	"bytes"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// secretHeaders are the headers that carry credentials by convention.
var secretHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key",
	"X-Auth-Token", "X-Access-Token", "Cookie", "Cookie2", "Set-Cookie",
}

// secretParameters are the query parameters that carry credentials, compared
// without regard to case.
var secretParameters = []string{"api_key", "apikey", "api-key", "key", "access_token", "token", "auth"}

// KeyFromHeader returns the key that a request came with: a bearer token, or the value
// of X-Api-KeyFromHeader or Api-KeyFromHeader; empty when there is none.
func KeyFromHeader(header http.Header) string {
	scheme, token, ok := strings.Cut(header.Get("Authorization"), " ")
	if ok && strings.EqualFold(scheme, "bearer") {
		return strings.TrimSpace(token)
	}
	if key := header.Get("X-Api-Key"); key != "" {
		return key
	}
	return header.Get("Api-Key")
}

// StripHeader returns a copy of header for a backend server, without headers
// that carry credentials by convention and without any value that holds the
// key.
func StripHeader(header http.Header, key string) http.Header {
	clean := make(http.Header, len(header))
	for name, values := range header {
		if isSecretHeader(name) || holds(name, key) {
			continue
		}
		for _, value := range values {
			if !holds(value, key) {
				clean.Add(name, value)
			}
		}
	}
	return clean
}

func isSecretHeader(name string) bool {
	return slices.ContainsFunc(secretHeaders, func(s string) bool { return strings.EqualFold(s, name) })
}

// StripPath returns a request target for a backend server: the path and those
// query parameters that neither carry credentials by convention nor hold the
// key. ok is false when the path itself holds the key or can't be parsed; such
// a request must be refused.
func StripPath(target, key string) (clean string, ok bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil || holds(u.Path, key) || holds(u.EscapedPath(), key) {
		return "", false
	}
	query, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return "", false
	}
	for name, values := range query {
		if slices.Contains(secretParameters, strings.ToLower(name)) || holds(name, key) || holds(strings.Join(values, "\n"), key) {
			query.Del(name)
		}
	}
	kept := url.URL{Path: u.Path, RawPath: u.RawPath, RawQuery: query.Encode()}
	return kept.RequestURI(), true
}

// BodyContains says whether a body holds the caller's key as plain text. Such a
// request must be refused, because the body goes to a backend server unchanged.
func BodyContains(body []byte, key string) bool {
	return key != "" && bytes.Contains(body, []byte(key))
}

func holds(value, key string) bool { return key != "" && strings.Contains(value, key) }
