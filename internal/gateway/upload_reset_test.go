package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// withUpload gives a request a body that its server can't have received when it resets the connection.
func withUpload(r *http.Request) {
	body := make([]byte, responsechecktest.UploadBytes)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
}

// TestAnswerResetDuringUploadIsNotRelayed guards against a part of an answer that the caller takes for whole: a server answers a long request at once
// with a success without a length, and resets the connection while the request is still being written.
func TestAnswerResetDuringUploadIsNotRelayed(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n" + seal
		tries = 3 // the write of the request or the read of the answer learns of the reset
	)
	for name, part := range map[string]string{
		"behind the head":       head + "\r\n",
		"behind whole events":   head + "\r\nid: 1\n\n",
		"inside an event":       head + "\r\nid: 1\n\nid: 2\nda",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\nX-Id: id-1\r\n" + seal + "\r\nid: 1\n\n",
		"connection close":      head + "Connection: close\r\n\r\nid: 1\n\n",
		"behind an early hint":  "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\nid: 1\n\n",
		"behind the whole size": head + "\r\n" + string(make([]byte, smallAnswerBytes)),
	} {
		for _, after := range []time.Duration{0, 30 * time.Millisecond} {
			servers := []string{responsechecktest.ServeReset(t, part, after), responsechecktest.ServeReset(t, part, after)}
			for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x"} {
				t.Run(name+" "+after.String()+" "+path, func(t *testing.T) {
					b := newFixture(t)
					for i, address := range servers {
						b.dir.backends = append(b.dir.backends, &controlpb.BackendServer{
							Id: "s" + strconv.Itoa(i), Incarnation: "1", Address: address, Kind: route.KindService, Model: "app",
							Lifecycle: route.LifecycleReady, Slots: 4,
						})
					}
					b.dir.onChange()
					for range tries {
						res, body, err := b.do(http.MethodPost, path, withUpload)
						if err == nil && (res.StatusCode != http.StatusBadGateway || res.Header.Get(headerVerdict) != "may_have_run") {
							t.Errorf("answer %v, %d bytes; want 502 and may_have_run, or a stream that is broken off", res, len(body))
						}
					}
				})
			}
		}
	}
}
