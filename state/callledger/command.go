package callledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of commands.
const (
	// MaxAnswerBytes bounds a recorded body.
	MaxAnswerBytes = 64 << 10
	// MaxHeaderBytes bounds the recorded header values.
	MaxHeaderBytes = 4 << 10
	maxNameBytes   = 256
	digestBytes    = sha256.Size
)

// CallKey names one call. Callers choose keys independently of each other and for each service.
type CallKey struct {
	_       struct{} `cbor:",toarray"`
	Caller  string
	Service string
	Key     string
}

// Attempt names the only process and try that may dispatch a call. An incarnation numbers its attempts from 1 and uses
// no number again.
type Attempt struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Number      uint64
}

// ID is the attempt id that targets see.
func (a Attempt) ID() string { return fmt.Sprintf("%s.%d.%d", a.Instance, a.Incarnation, a.Number) }

// Answer is a response of a plain service.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// TooLarge says that the body exceeded MaxAnswerBytes and was not recorded.
	TooLarge bool `cbor:"4,keyasint,omitempty"`
}

// Reserve claims a key for an attempt.
type Reserve struct {
	Call    CallKey `cbor:"1,keyasint"`
	Digest  []byte  `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
}

// Release gives a key up after an attempt that provably sent nothing and will send nothing. It also holds against a
// Reserve of the same attempt that is committed later.
type Release struct {
	Call    CallKey `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// Complete records the answer of an attempt.
type Complete struct {
	Call    CallKey `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	Answer  Answer  `cbor:"3,keyasint"`
}

// MarkUncertain records that an attempt sent its request and got no answer.
type MarkUncertain struct {
	Call    CallKey `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// InstanceStarted says that all lower incarnations of an instance have ended. For an instance that does not come back,
// an operator may propose it with the next incarnation.
type InstanceStarted struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Expire only brings the time of the ledger forward.
type Expire struct{}

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	// AtMs is the proposer's wall clock in Unix milliseconds. It never goes back within one incarnation.
	AtMs            int64            `cbor:"1,keyasint"`
	Reserve         *Reserve         `cbor:"2,keyasint,omitempty"`
	Release         *Release         `cbor:"3,keyasint,omitempty"`
	Complete        *Complete        `cbor:"4,keyasint,omitempty"`
	MarkUncertain   *MarkUncertain   `cbor:"5,keyasint,omitempty"`
	InstanceStarted *InstanceStarted `cbor:"6,keyasint,omitempty"`
	Expire          *Expire          `cbor:"7,keyasint,omitempty"`
}

// Encode checks and encodes a command.
func (c *Command) Encode() ([]byte, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode a call ledger command")
}

// DecodeCommand is the reverse of Encode.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "call ledger command")
	}
	return &c, c.Check()
}

// Check says why a command cannot be applied in any state.
func (c *Command) Check() error {
	set := 0
	var err error
	check := func(present bool, f func() error) {
		if present {
			set++
			err = f()
		}
	}
	check(c.Reserve != nil, func() error {
		if len(c.Reserve.Digest) != digestBytes {
			return errors.Errorf("body digest has %d bytes, want %d", len(c.Reserve.Digest), digestBytes)
		}
		return checkCall(&c.Reserve.Call, &c.Reserve.Attempt)
	})
	check(c.Release != nil, func() error { return checkCall(&c.Release.Call, &c.Release.Attempt) })
	check(c.Complete != nil, func() error {
		if err := c.Complete.Answer.check(); err != nil {
			return err
		}
		return checkCall(&c.Complete.Call, &c.Complete.Attempt)
	})
	check(c.MarkUncertain != nil, func() error { return checkCall(&c.MarkUncertain.Call, &c.MarkUncertain.Attempt) })
	check(c.InstanceStarted != nil, func() error {
		return checkInstance(c.InstanceStarted.Instance, c.InstanceStarted.Incarnation)
	})
	check(c.Expire != nil, func() error { return nil })
	switch {
	case set != 1:
		return errors.Errorf("call ledger command holds %d commands, want 1", set)
	case c.AtMs <= 0 || c.AtMs > math.MaxInt64/2:
		return errors.Errorf("time %d ms of a call ledger command is out of range", c.AtMs)
	}
	return err
}

func (a *Answer) check() error {
	switch {
	case len(a.Body) > MaxAnswerBytes:
		return errors.Errorf("answer has %d bytes, at most %d can be recorded", len(a.Body), MaxAnswerBytes)
	case len(a.ContentType) > MaxHeaderBytes:
		return errors.Errorf("content type has %d bytes, at most %d can be recorded", len(a.ContentType), MaxHeaderBytes)
	}
	return nil
}

func checkCall(call *CallKey, attempt *Attempt) error {
	if err := CheckKey(call); err != nil {
		return err
	}
	if attempt.Number == 0 {
		return errors.New("attempt numbers start at 1")
	}
	return checkInstance(attempt.Instance, attempt.Incarnation)
}

// CheckKey says why a call key cannot be used.
func CheckKey(call *CallKey) error {
	for name, value := range map[string]string{"caller": call.Caller, "service": call.Service, "idempotency key": call.Key} {
		if value == "" || len(value) > maxNameBytes {
			return errors.Errorf("%s must have 1 to %d bytes", name, maxNameBytes)
		}
	}
	return nil
}

func checkInstance(instance string, incarnation uint64) error {
	if instance == "" || len(instance) > maxNameBytes || incarnation == 0 {
		return errors.Errorf("instance must have 1 to %d bytes and an incarnation above 0", maxNameBytes)
	}
	return nil
}

// Digest is the body digest of a call. Method and path belong to it, because a repeat has to be the same call.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return h.Sum(nil)
}
