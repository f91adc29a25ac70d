package generation

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lacewingspoke.org/lacewingspoke/folder"
	"lacewingspoke.org/lacewingspoke/kvstore"
)

// Size limits of the texts in a body. Together they fit into the space that
// folder.Merge reserves in the stored form.
const (
	maxAuthorBytes = 200
	maxReasonBytes = 2000
	maxChangeBytes = 64
)

// A Body is one configuration with its audit entry. It is immutable.
type Body struct {
	head   Head
	base   Head
	author string
	reason string
	time   time.Time
	folder *folder.Folder
	files  []folder.File
}

// BodyConfig holds the content of a Body.
type BodyConfig struct {
	// Generation is the generation of the configuration.
	Generation uint64

	// Change is the id of the apply.
	Change string

	// Base is the head that the body replaces, the zero value for the first
	// configuration.
	Base   Head
	Author string
	Reason string
	Time   time.Time
	Folder *folder.Folder

	// Files are the source files that the folder was merged from.
	Files []folder.File
}

// storedBody is the stored form of a Body.
type storedBody struct {
	Head      Head         `msgpack:"head"`
	Base      Head         `msgpack:"base"`
	Author    string       `msgpack:"author"`
	Reason    string       `msgpack:"reason"`
	Time      time.Time    `msgpack:"time"`
	Canonical []byte       `msgpack:"canonical"`
	Files     []storedFile `msgpack:"files"`
}

// storedFile is the stored form of a source file.
type storedFile struct {
	Name string `msgpack:"name"`
	Data []byte `msgpack:"data"`
}

// NewBody returns a body with the content of config. It returns an
// errors.NotValid error when author, reason or change is empty or too long, or
// when the generation is not above that of the base.
func NewBody(config BodyConfig) (*Body, error) {
	body := &Body{
		head:   Head{Generation: config.Generation, Change: config.Change, Digest: config.Folder.Digest()},
		base:   config.Base,
		author: config.Author,
		reason: config.Reason,
		time:   config.Time.UTC(),
		folder: config.Folder,
		files:  config.Files,
	}
	if err := body.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return body, nil
}

func (body *Body) validate() error {
	switch {
	case body.head.Generation <= body.base.Generation:
		return errors.NotValidf("generation %d (want above base generation %d)", body.head.Generation, body.base.Generation)
	case body.head.Change == "" || len(body.head.Change) > maxChangeBytes:
		return errors.NotValidf("change id of %d bytes (want 1 to %d)", len(body.head.Change), maxChangeBytes)
	case body.author == "" || len(body.author) > maxAuthorBytes:
		return errors.NotValidf("author of %d bytes (want 1 to %d)", len(body.author), maxAuthorBytes)
	case body.reason == "" || len(body.reason) > maxReasonBytes:
		return errors.NotValidf("reason of %d bytes (want 1 to %d)", len(body.reason), maxReasonBytes)
	default:
		return nil
	}
}

// Head returns the head that refers to the body.
func (body *Body) Head() Head { return body.head }

// Base returns the head that the body replaces, the zero value for the first
// configuration.
func (body *Body) Base() Head { return body.base }

// Author returns the name of the operator who applied the configuration.
func (body *Body) Author() string { return body.author }

// Reason returns why the configuration was applied.
func (body *Body) Reason() string { return body.reason }

// Time returns the time of the apply in UTC, according to the operator's clock.
func (body *Body) Time() time.Time { return body.time }

// Folder returns the configuration.
func (body *Body) Folder() *folder.Folder { return body.folder }

// Files returns the source files that the folder was merged from.
func (body *Body) Files() []folder.File { return body.files }

// Encode returns the stored form, which is compressed. It returns an
// errors.QuotaLimitExceeded error when the uncompressed form is larger than
// kvstore.MaxValueBytes.
func (body *Body) Encode() ([]byte, error) {
	stored := storedBody{
		Head:      body.head,
		Base:      body.base,
		Author:    body.author,
		Reason:    body.reason,
		Time:      body.time,
		Canonical: body.folder.Canonical(),
	}
	for _, file := range body.files {
		stored.Files = append(stored.Files, storedFile(file))
	}
	data, err := msgpack.Marshal(stored)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > maxBodyBytes {
		return nil, errors.QuotaLimitExceededf("uncompressed body of %d bytes is over the size limit", len(data))
	}
	return compress(data)
}

// DecodeBody decodes a stored body and checks that the digest of the folder
// matches the head. It returns an errors.NotValid error for a body that is
// malformed, too large or inconsistent.
func DecodeBody(data []byte) (*Body, error) {
	if len(data) > kvstore.MaxValueBytes {
		return nil, errors.NotValidf("stored body of %d bytes (over the size limit)", len(data))
	}
	decompressed, err := decompress(data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var stored storedBody
	decoder := msgpack.NewDecoder(bytes.NewReader(decompressed))
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(&stored); err != nil {
		return nil, errors.NewNotValid(err, "body")
	}
	sum := sha256.Sum256(stored.Canonical)
	if hex.EncodeToString(sum[:]) != stored.Head.Digest {
		return nil, errors.NotValidf("body of generation %d (content does not match its digest)", stored.Head.Generation)
	}
	decoded, err := folder.Decode(stored.Canonical)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return stored.toBody(decoded)
}

// toBody returns the body with the decoded folder, after validation.
func (stored *storedBody) toBody(decoded *folder.Folder) (*Body, error) {
	body := &Body{
		head:   stored.Head,
		base:   stored.Base,
		author: stored.Author,
		reason: stored.Reason,
		time:   stored.Time.UTC(),
		folder: decoded,
	}
	for _, file := range stored.Files {
		body.files = append(body.files, folder.File(file))
	}
	if err := body.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return body, nil
}
