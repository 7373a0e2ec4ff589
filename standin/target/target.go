// Package target implements a fake model engine or plain service for tests and the demo, the stand-in target. It runs no
// model: its tokens are words chosen by a hash, and its memory use is the sum of the sizes in the orders. It implements
// the target protocol of package targetapi, so that instances can be tested without accelerators.
package target

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// Exit codes of a stand-in target. Process tests distinguish them.
const (
	// ExitOvercommit means that an order to load exceeded the memory capacity.
	ExitOvercommit = 71
	// ExitCrash means that a request contained CrashContent.
	ExitCrash = 72
)

// CrashContent is the message content (or service body) that makes the process exit immediately.
const CrashContent = "!crash"

// Defaults of Config.
const (
	DefaultSlots            = 4
	DefaultTokenInterval    = 10 * time.Millisecond
	DefaultLoadDelay        = 500 * time.Millisecond
	DefaultAdapterDelay     = 6 * time.Millisecond
	DefaultAnnounceInterval = time.Second
	DefaultLeaveDelay       = 2 * time.Second
)

// maxBodyBytes equals the limit of request bodies of an instance.
const maxBodyBytes = 4 << 20

// Config describes one stand-in target.
type Config struct {
	Name          string
	DataCentre    string
	FailureDomain string
	// Listen is the address to listen on; with port 0 the kernel chooses the port.
	Listen string
	// Balancers are base URLs of instances. Announcements are sent to them round robin.
	Balancers     []string
	Kind          targetapi.Kind
	Service       string
	CapacityBytes int64
	ReserveBytes  int64
	Slots         int
	// SoftwareVersion is the version of the program that the target pretends to run; empty names none.
	SoftwareVersion string
	// Queue is the number of requests that may wait for a slot before the target answers 429.
	Queue            int
	ChecksFencing    bool
	TokenInterval    time.Duration
	LoadDelay        time.Duration
	AdapterDelay     time.Duration
	AnnounceInterval time.Duration
	// ReportLag is the age of the load report in an announcement.
	ReportLag time.Duration
	// LeaveDelay is the time from the first leaving announcement until the listener is closed.
	LeaveDelay time.Duration
	// Incarnation must increase with each start; 0 means the start time in nanoseconds.
	Incarnation uint64
	// Exit ends the process; nil means os.Exit.
	Exit func(code int)
	Log  *logrus.Logger
}

func (c *Config) setDefaults() error {
	if c.Name == "" || c.DataCentre == "" {
		return errors.New("name and data centre are required")
	}
	for _, b := range c.Balancers {
		if u, err := url.Parse(b); err != nil || u.Scheme != "http" || u.Host == "" {
			return errors.Errorf("balancer %q is not an http URL such as http://127.0.0.1:8080", b)
		}
	}
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = DefaultAnnounceInterval
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.Exit == nil {
		c.Exit = os.Exit
	}
	if c.Log == nil {
		c.Log = logrus.New()
		c.Log.SetOutput(io.Discard)
	}
	if c.Slots < 0 || c.Queue < 0 || c.TokenInterval < 0 || c.LoadDelay < 0 || c.AdapterDelay < 0 ||
		c.AnnounceInterval < 0 || c.ReportLag < 0 || c.LeaveDelay < 0 {
		return errors.New("slots, queue and all intervals and delays must not be negative")
	}
	probe := targetapi.Announcement{
		Version: targetapi.Version, Target: c.Name, Incarnation: c.Incarnation, DataCentre: c.DataCentre, Address: "-",
		Kind: c.Kind, Service: c.Service, CapacityBytes: c.CapacityBytes, ReserveBytes: c.ReserveBytes, Slots: c.Slots,
	}
	return probe.Check()
}

// Target is a running stand-in target.
type Target struct {
	cfg        Config
	memory     *memory
	slots      *slots
	executions *executionCounts
	client     *http.Client

	mu       sync.Mutex
	address  string
	leaving  bool
	sequence uint64

	attemptsMu sync.Mutex
	attempts   map[string]map[*attempt]struct{}

	cache *prefixCache
}

// New checks the configuration and returns a target that does not listen yet.
func New(cfg Config) (*Target, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, errors.Wrap(err, "configuration of the stand-in target")
	}
	t := &Target{
		cfg:        cfg,
		slots:      newSlots(cfg.Slots, cfg.Queue, cfg.ReserveBytes),
		executions: newExecutionCounts(),
		client:     &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		attempts:   make(map[string]map[*attempt]struct{}),
		cache:      newPrefixCache(),
	}
	t.memory = newMemory(&t.cfg)
	return t, nil
}

// Handler returns the handler of the target protocol.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathOrders, t.handleOrder)
	mux.HandleFunc("POST "+targetapi.PathCancel, t.handleCancel)
	if t.cfg.Kind == targetapi.Engine {
		mux.HandleFunc("POST "+targetapi.PathChat, t.handleChat)
		return mux
	}
	mux.HandleFunc("GET "+PathExecutions, t.handleExecutions)
	mux.HandleFunc("/", t.handleService)
	return mux
}

// Started is printed as one JSON line once the target listens.
type Started struct {
	Target      string `json:"target"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
}

// Run listens, announces and serves until ctx ends. It then announces that the target leaves, drains the requests in
// progress and returns nil. Started is written to out.
func (t *Target) Run(ctx context.Context, out io.Writer) error {
	listener, err := net.Listen("tcp", t.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "stand-in target cannot listen on its address")
	}
	t.SetAddress(listener.Addr().String())
	server := &http.Server{Handler: t.Handler(), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	if err := json.NewEncoder(out).Encode(Started{t.cfg.Name, listener.Addr().String(), t.cfg.Incarnation}); err != nil {
		return errors.Wrap(err, "cannot print the chosen address")
	}
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	var announcing sync.WaitGroup
	announced := make(chan struct{})
	announcing.Go(func() { t.announceLoop(announceCtx, ctx, announced) })
	defer announcing.Wait()
	defer stopAnnouncing()
	select {
	case err := <-served:
		return errors.Wrap(err, "stand-in target stopped serving")
	case <-ctx.Done():
	}
	<-announced
	time.Sleep(t.cfg.LeaveDelay)
	// Shutdown waits for every request in progress, however long it takes.
	return errors.Wrap(server.Shutdown(context.Background()), "stand-in target cannot shut down")
}

// SetAddress sets the announced address. Run calls it, as do tests that serve Handler without Run.
func (t *Target) SetAddress(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = address
}

// crash simulates a request that crashes the process.
func (t *Target) crash() {
	t.cfg.Log.Error("stand-in target: request contains the crash content; exiting")
	t.cfg.Exit(ExitCrash)
	panic(http.ErrAbortHandler) // with an Exit that returns, closes the connection as the end of the process would
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only when the client has disconnected
}

// decodeBody decodes a bounded JSON body. When that fails it answers 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		http.Error(w, "cannot decode the JSON body: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
