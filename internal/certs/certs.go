// Package certs reads certificates from files and reads them again when the files change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// checkInterval is how often the files are looked at, at most.
const checkInterval = time.Second

// Reloader holds a certificate that follows its files. It is safe for concurrent use.
type Reloader struct {
	certFile, keyFile string

	mu      sync.Mutex
	current *tls.Certificate
	changed time.Time // newest modification time of the files that were read
	checked time.Time
}

// NewReloader reads the certificate once, so that a mistake shows at the start.
func NewReloader(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reloader) reload() error {
	changed, err := newest(r.certFile, r.keyFile)
	if err != nil {
		return errors.Trace(err)
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.Annotatef(err, "certificate %s", r.certFile)
	}
	r.current, r.changed = &cert, changed
	return nil
}

func newest(files ...string) (time.Time, error) {
	var t time.Time
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return t, err
		}
		if info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t, nil
}

// Certificate returns the certificate of the files. Files that can't be read, or do not fit together because one of
// them was replaced a moment ago, leave the last one in use.
func (r *Reloader) Certificate() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checked) < checkInterval {
		return r.current
	}
	r.checked = now
	changed, err := newest(r.certFile, r.keyFile)
	if err == nil && !changed.Equal(r.changed) {
		_ = r.reload()
	}
	return r.current
}

// Server returns the settings of a listener that shows the certificate.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.Certificate(), nil
		},
	}
}

// Mutual returns the settings of both ends of a link whose peers must show certificates signed by authority.
func (r *Reloader) Mutual(authority *x509.CertPool) (server, client *tls.Config) {
	server = r.Server()
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = authority
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.Certificate(), nil
		},
	}
	return server, client
}

// Authority reads a file of PEM certificates.
func Authority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.NotValidf("authority %s: no PEM certificate in it;", file)
	}
	return pool, nil
}
