package generation

import (
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"lacewingspoke.org/lacewingspoke/kvstore"
)

// maxBodyBytes bounds a body before it is compressed and after it is
// decompressed.
const maxBodyBytes = kvstore.MaxValueBytes

// newEncoder returns the encoder of the process, whose tables take several
// megabytes. Only commands that write bodies make one.
var newEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(maxBodyBytes))
})

// newDecoder returns the decoder of the process.
var newDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBodyBytes))
})

// compress returns the compressed form. A body holds the source files and the
// canonical form, which repeat each other; the window covers both.
func compress(data []byte) ([]byte, error) {
	encoder, err := newEncoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return encoder.EncodeAll(data, nil), nil
}

// decompress returns an errors.NotValid error for data that is malformed or
// that would grow over maxBodyBytes.
func decompress(data []byte) ([]byte, error) {
	decoder, err := newDecoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	decompressed, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.NewNotValid(err, "compressed body")
	}
	return decompressed, nil
}
