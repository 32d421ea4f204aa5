package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/protocol/settings"
)

// tlsFiles holds the loaded TLS files. Its zero value means plain connections.
type tlsFiles struct {
	certificate *tls.Certificate
	authorities *x509.CertPool // nil for those of the operating system
}

func loadTLS(s *settings.TLS) (*tlsFiles, error) {
	if s == nil {
		return &tlsFiles{}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "tls.cert_file %s, tls.key_file %s", s.CertFile, s.KeyFile)
	}
	f := &tlsFiles{certificate: &cert}
	if s.CAFile == "" {
		return f, nil
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls.ca_file")
	}
	f.authorities = x509.NewCertPool()
	if !f.authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("tls.ca_file %s: no certificate in it", s.CAFile)
	}
	return f, nil
}

func (f *tlsFiles) scheme() string {
	if f.certificate != nil {
		return "https"
	}
	return "http"
}

func (f *tlsFiles) serverConfig() *tls.Config {
	if f.certificate == nil {
		return nil
	}
	return &tls.Config{Certificates: []tls.Certificate{*f.certificate}, MinVersion: tls.VersionTLS12}
}

// idlePerHost bounds the idle connections that are kept for each peer. With the default
// of two, half of the forwarded calls of a busy process open a new connection.
const idlePerHost = 64

// transport returns a client transport with its own connections.
func (f *tlsFiles) transport() *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout, TLSHandshakeTimeout: headerTimeout, ResponseHeaderTimeout: time.Minute}
	if f.certificate != nil {
		t.TLSClientConfig = &tls.Config{RootCAs: f.authorities, MinVersion: tls.VersionTLS12}
	}
	return t
}
