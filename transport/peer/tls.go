package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// TLS holds the certificate of this instance and the certificate authority that signs those of all instances.
type TLS struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// LoadTLS reads the certificate, its key and the certificate authority from PEM files.
func LoadTLS(certificateFile, keyFile, authorityFile string) (*TLS, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load the certificate and key of this instance")
	}
	authorityPEM, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate of the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.Errorf("authority file %s contains no certificate", authorityFile)
	}
	return &TLS{Certificate: certificate, Authority: pool}, nil
}

func (c *TLS) client(ctx context.Context, conn net.Conn, peer string) (net.Conn, error) {
	tlsConn := tls.Client(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.Certificate}, RootCAs: c.Authority, ServerName: peer,
		VerifyConnection: func(state tls.ConnectionState) error { return checkName(state, peer) },
	})
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// server performs the TLS handshake of an accepted connection. The name in the certificate is checked later, when the
// hello gives the name of the sender.
func (c *TLS) server(ctx context.Context, conn net.Conn) (net.Conn, error) {
	tlsConn := tls.Server(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.Certificate}, ClientCAs: c.Authority,
		ClientAuth: tls.RequireAndVerifyClientCert,
	})
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// checkName requires the exact name among the DNS names of the certificate; wildcards do not match.
func checkName(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Errorf("peer %q presented no certificate", name)
	}
	if names := state.PeerCertificates[0].DNSNames; !slices.Contains(names, name) {
		return errors.Errorf("certificate is for %q, want %q", names, name)
	}
	return nil
}
