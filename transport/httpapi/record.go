package httpapi

import "net/http"

// statusRecorder records the HTTP status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, which http.ResponseController needs.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
