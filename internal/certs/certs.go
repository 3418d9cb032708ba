// Package certs loads certificates from files and reloads them when the files change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// checkInterval is the minimum time between checks of the files for changes.
const checkInterval = time.Second

// Reloader holds a certificate and reloads it when its files change. It is safe for concurrent use.
type Reloader struct {
	certFile, keyFile string

	mu        sync.Mutex
	current   *tls.Certificate
	modTime   time.Time // latest modification time of the loaded files
	lastCheck time.Time
}

// NewReloader returns a Reloader for the files after loading them. It returns an error if they are missing or invalid.
func NewReloader(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reloader) reload() error {
	modTime, err := latestModTime(r.certFile, r.keyFile)
	if err != nil {
		return errors.Trace(err)
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.Annotatef(err, "load certificate %s", r.certFile)
	}
	r.current, r.modTime = &cert, modTime
	return nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(files ...string) (time.Time, error) {
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

// Certificate returns the current certificate, after reloading it if the files have changed. If the files can't be read,
// or certificate and key don't match because only one of the files has been replaced yet, it returns the previous one.
func (r *Reloader) Certificate() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastCheck) < checkInterval {
		return r.current
	}
	r.lastCheck = now
	modTime, err := latestModTime(r.certFile, r.keyFile)
	if err == nil && !modTime.Equal(r.modTime) {
		_ = r.reload()
	}
	return r.current
}

// ServerConfig returns the TLS configuration of a listener that presents the certificate.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.Certificate(), nil
		},
	}
}

// MutualConfigs returns the TLS configurations of the server and client ends of a link on which both peers must present
// certificates signed by authority.
func (r *Reloader) MutualConfigs(authority *x509.CertPool) (server, client *tls.Config) {
	server = r.ServerConfig()
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

// LoadAuthority loads a pool of CA certificates from a PEM file.
func LoadAuthority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.NotValidf("authority file %s without PEM certificates", file)
	}
	return pool, nil
}
