package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"strings"
	"testing"
	"time"
)

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func (a *authority) issue(t *testing.T, name string) *TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: a.key == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	if a.key == nil {
		a.certificate, a.key = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate == template {
		if a.certificate, err = x509.ParseCertificate(der); err != nil {
			t.Fatal(err)
		}
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return &TLS{Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, Authority: pool}
}

// Guards against an instance that connects or accepts with the certificate of another one.
func TestTLSNames(t *testing.T) {
	for _, c := range []struct{ name, senderCert, receiverCert, want string }{
		{"right names", "a", "b", ""},
		{"wrong sender", "c", "b", `certificate is for ["c"], want "a"`},
		{"wrong receiver", "a", "c", "not b"},
		{"wildcard", "a", "*", "TLS with b"},
		{"no TLS at the sender", "", "b", "handshake with b"},
		{"no TLS at the receiver", "a", "", "TLS with b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ca := &authority{}
			ca.issue(t, "authority")
			withCertificate := func(name string) func(*Options) {
				return func(o *Options) {
					if name != "" {
						o.TLS = ca.issue(t, name)
					}
				}
			}
			n := newNetwork()
			a := n.start(t, "a", withCertificate(c.senderCert))
			n.start(t, "b", withCertificate(c.receiverCert))
			err := a.Call(t.Context(), "b", "echo", 1, nil)
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
