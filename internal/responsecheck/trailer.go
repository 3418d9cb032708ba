package responsecheck

import (
	"io"
	"net/http"

	"github.com/juju/errors"
)

// Body returns the body of r. It ends with ErrMalformed instead of io.EOF if the name of a field in the trailer is not valid.
func Body(r *http.Response) io.ReadCloser {
	if len(r.TransferEncoding) == 0 || r.Body == http.NoBody {
		return r.Body // only a chunked body has a trailer
	}
	return &chunkedBody{ReadCloser: r.Body, response: r}
}

// chunkedBody is the body of a response that may have a trailer.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !hasValidNames(b.response.Trailer) {
		err = errors.Annotate(ErrMalformed, "name of a field in the trailer")
	}
	return n, err
}
