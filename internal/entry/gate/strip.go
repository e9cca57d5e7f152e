package gate

import (
	"bytes"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// secretHeaders lists the headers that carry credentials by convention.
var secretHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key",
	"X-Auth-Token", "X-Access-Token", "Cookie", "Cookie2", "Set-Cookie",
}

// secretParameters lists the query parameters that carry credentials by convention,
// in lower case.
var secretParameters = []string{"api_key", "apikey", "api-key", "key", "access_token", "token", "auth"}

// KeyFromHeader returns the key of a request: its bearer token, or else the value of
// X-Api-Key or Api-Key; empty when there is none.
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

// StripHeader returns a copy of a header for a backend server, without headers that
// carry credentials by convention and without any name or value that contains the
// key.
func StripHeader(header http.Header, key string) http.Header {
	clean := make(http.Header, len(header))
	for name, values := range header {
		if isSecretHeader(name) || contains(name, key) {
			continue
		}
		for _, value := range values {
			if !contains(value, key) {
				clean.Add(name, value)
			}
		}
	}
	return clean
}

// isSecretHeader reports whether a name is in secretHeaders, in any case.
func isSecretHeader(name string) bool {
	return slices.ContainsFunc(secretHeaders, func(s string) bool { return strings.EqualFold(s, name) })
}

// StripPath returns a request target for a backend server: the path, and the query
// parameters that neither carry credentials by convention nor contain the key, in the
// order of their names. ok is false when the path itself contains the key or the
// target can't be parsed; such a request must be refused.
func StripPath(target, key string) (clean string, ok bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil || contains(u.Path, key) || contains(u.EscapedPath(), key) {
		return "", false
	}
	query, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return "", false
	}
	for name, values := range query {
		if slices.Contains(secretParameters, strings.ToLower(name)) || contains(name, key) || contains(strings.Join(values, "\n"), key) {
			query.Del(name)
		}
	}
	kept := url.URL{Path: u.Path, RawPath: u.RawPath, RawQuery: query.Encode()}
	return kept.RequestURI(), true
}

// BodyContains reports whether a body contains the caller's key as plain text. Such a
// request must be refused, because bodies are sent to backend servers unchanged.
func BodyContains(body []byte, key string) bool {
	return key != "" && bytes.Contains(body, []byte(key))
}

// contains reports whether a value contains the key, if there is one.
func contains(value, key string) bool { return key != "" && strings.Contains(value, key) }
