package httplimit

import "github.com/gin-gonic/gin"

// closingWriter writes responses with "Connection: close" while its host shuts down.
// Closing idle connections instead would cut off requests that are already in transit.
type closingWriter struct {
	gin.ResponseWriter
	closing func() bool
}

// NewClosingWriter returns a writer whose responses ask the caller to open a new connection
// if closing returns true when they begin.
func NewClosingWriter(w gin.ResponseWriter, closing func() bool) gin.ResponseWriter {
	return &closingWriter{ResponseWriter: w, closing: closing}
}

func (w *closingWriter) setConnectionHeader() {
	if w.closing() && !w.Written() {
		w.Header().Set("Connection", "close")
	}
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(data []byte) (int, error) {
	w.setConnectionHeader()
	return w.ResponseWriter.Write(data)
}

// WriteString implements gin.ResponseWriter.
func (w *closingWriter) WriteString(text string) (int, error) {
	w.setConnectionHeader()
	return w.ResponseWriter.WriteString(text)
}

// WriteHeaderNow implements gin.ResponseWriter.
func (w *closingWriter) WriteHeaderNow() {
	w.setConnectionHeader()
	w.ResponseWriter.WriteHeaderNow()
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() {
	w.setConnectionHeader()
	w.ResponseWriter.Flush()
}
