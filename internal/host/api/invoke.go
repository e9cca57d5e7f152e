package api

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/hyssopwall/hyssopwall/internal/backend/service"
	"github.com/hyssopwall/hyssopwall/internal/entry/gate"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// hopByHopHeaders are the headers that are not forwarded, because they apply to a single
// connection (RFC 9110, section 7.6.1) or are set anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// invoke forwards a request to a plain service and answers with its response.
func (s *Server) invoke(c echo.Context) error {
	path := "/" + c.Param("*")
	call, err := s.admit(c, c.Param("name"), document.Service, path)
	if err != nil {
		return err
	}
	request, err := serviceRequest(c, call, path)
	if err != nil {
		return err
	}
	ctx, stop := context.WithDeadline(c.Request().Context(), call.Deadline)
	defer stop()
	response, err := s.Dispatcher.Invoke(ctx, call, request)
	if err != nil {
		return err
	}
	s.writeResponse(c, response)
	return nil
}

// serviceRequest returns the request to forward, without the caller's key: header fields
// and query parameters that contain it, or carry credentials by convention, are removed. It
// refuses a request that has the key in its path or body.
func serviceRequest(c echo.Context, call Call, path string) (service.Request, error) {
	body, err := readBody(c)
	if err != nil {
		return service.Request{}, err
	}
	target := (&url.URL{Path: path, RawQuery: c.Request().URL.RawQuery}).RequestURI()
	clean, ok := gate.StripPath(target, call.Key)
	if !ok || gate.BodyContains(body, call.Key) {
		return service.Request{}, Refuse(BadRequest, "the request holds the caller's key outside its header")
	}
	header := gate.StripHeader(c.Request().Header, call.Key)
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return service.Request{ID: call.ID, Method: c.Request().Method, Path: clean, Header: header, Body: body}, nil
}

// writeResponse writes the response of a plain service.
func (s *Server) writeResponse(c echo.Context, response service.Response) {
	header := c.Response().Header()
	for name, values := range response.Header {
		header[http.CanonicalHeaderKey(name)] = values
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	header.Set(requestIDHeader, response.ID)
	c.Response().WriteHeader(response.Status)
	s.Callers.WriteAnswer(c.Response(), c.Request(), callerOf(c), response.Body)
}
