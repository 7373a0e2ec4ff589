package process

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/standin/caller"
	"github.com/tarragonhoist/tarragonhoist/standin/cluster"
)

// writeCertificates writes the certificate of a new authority, and a certificate and key for each instance, into a
// folder.
func writeCertificates(t *testing.T, folder string, instances []cluster.InstanceSpec) {
	t.Helper()
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	authorityKey := newKey(t)
	writePEM(t, filepath.Join(folder, "authority.pem"), "CERTIFICATE", sign(t, authority, authority, authorityKey, authorityKey))
	for i, instance := range instances {
		instanceKey := newKey(t)
		certificate := &x509.Certificate{
			SerialNumber: big.NewInt(int64(i + 2)), Subject: pkix.Name{CommonName: instance.Name}, DNSNames: []string{instance.Name},
			NotAfter:    time.Now().Add(time.Hour),
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		}
		writePEM(t, filepath.Join(folder, instance.Name+".pem"), "CERTIFICATE", sign(t, certificate, authority, instanceKey, authorityKey))
		der, err := x509.MarshalECPrivateKey(instanceKey)
		if err != nil {
			t.Fatal(err)
		}
		writePEM(t, filepath.Join(folder, instance.Name+".key"), "EC PRIVATE KEY", der)
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, certificate, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, certificate, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Guards against a deployment with TLS and tokens that refuses valid callers or accepts callers without a valid token.
func TestDeploymentWithTLSAndTokens(t *testing.T) {
	t.Parallel()
	spec := clusterSpec(3, 3, "a")
	folder := t.TempDir()
	writeCertificates(t, folder, spec.Instances)
	spec.OperatorToken = "operator-secret"
	spec.ExtraTables = fmt.Sprintf("[[caller]]\nname = \"crew\"\ntoken_sha256 = %q\n[[operator]]\nname = \"ana\"\ntoken_sha256 = %q\n"+
		"[tls]\ncertificate = \"%[3]s/INSTANCE.pem\"\nkey = \"%[3]s/INSTANCE.key\"\nauthority = \"%[3]s/authority.pem\"\n",
		tokenHash("crew-secret"), tokenHash("operator-secret"), folder)
	ctx, c := startCluster(t, spec)
	desk := startService(t, c, "desk-1", "a")
	submitAccepted(ctx, t, c, "a2", serviceNote)
	waitReleaseNote(ctx, t, c, "a3", 1)
	waitTargets(ctx, t, c, "a3", 1)
	status, err := c.Operator("a3").Status(ctx)
	if err != nil || len(status.Insecure) != 0 {
		t.Errorf("a3 reports insecure settings: %v, %v", status.Insecure, err)
	}
	if verdict, err := c.Operator("a3").Verdict(ctx, 1); err != nil || verdict.Operator != "ana" {
		t.Errorf("release note 1 has verdict %+v, %v, want operator ana", verdict, err)
	}
	for _, test := range []struct {
		client *caller.Client
		want   api.Outcome
	}{
		{&caller.Client{Token: "crew-secret", HTTP: caller.New("").HTTP}, api.Answered},
		{&caller.Client{Token: "guess", HTTP: caller.New("").HTTP}, api.Refused},
		{caller.New("crew"), api.Refused},
	} {
		answer, err := test.client.CallService(ctx, c.URL("a3"), "desk", "/x", "k", "{}")
		if err != nil || answer.Outcome != test.want {
			t.Errorf("call with token %q, name %q got answer %+v, %v", test.client.Token, test.client.Name, answer, err)
		}
	}
	if n := executions(ctx, t, desk)["k"]; n != 1 {
		t.Errorf("the service executed the call %d times", n)
	}
}
