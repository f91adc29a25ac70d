package generation

import (
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxBodyBytes is the size limit of an uncompressed body, enforced both before
// compression and during decompression.
const maxBodyBytes = kvstore.MaxValueBytes

// sharedEncoder returns the encoder of the process. It is created on first use,
// because its tables take several megabytes and only commands that write bodies
// need it.
var sharedEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(maxBodyBytes))
})

// sharedDecoder returns the decoder of the process, created on first use.
var sharedDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBodyBytes))
})

// compress returns the compressed form of data. A body contains the source files
// and the canonical form, which repeat each other; the compression window is as
// large as a body, so that it covers both.
func compress(data []byte) ([]byte, error) {
	encoder, err := sharedEncoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return encoder.EncodeAll(data, nil), nil
}

// decompress returns the decompressed form of data. It returns an errors.NotValid
// error when data is malformed or decompresses to more than maxBodyBytes.
func decompress(data []byte) ([]byte, error) {
	decoder, err := sharedDecoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	decompressed, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.NewNotValid(err, "decompress body")
	}
	return decompressed, nil
}
