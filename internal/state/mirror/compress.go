package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// writers pools compressors, which take several hundred kilobytes each.
var writers = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

func compress(b []byte) []byte {
	var o bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&o)
	// Writes to a bytes.Buffer don't fail.
	_, _ = w.Write(b)
	_ = w.Close()
	return o.Bytes()
}

// maxDecompressed bounds decompressed data in bytes.
const maxDecompressed = 16 << 20

func decompress(b []byte) ([]byte, error) {
	d, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxDecompressed+1))
	if err == nil && len(d) > maxDecompressed {
		return nil, errors.Newf("decompressed data exceeds %d bytes", maxDecompressed)
	}
	return d, err
}

// compressRows compresses the rows of an answer together if they are large: those of
// many targets resemble one another.
func compressRows(m *schema.SyncTable) {
	size := 0
	for _, r := range m.Rows {
		if !r.Deflated {
			size += len(r.Value)
		}
	}
	if size < largeValue {
		return
	}
	b, err := proto.Marshal(&schema.SyncRows{Rows: m.Rows})
	if err != nil {
		// Rows that can't be encoded can't be sent uncompressed either.
		return
	}
	m.Packed, m.Rows = compress(b), nil
}

// decodeRows returns the rows of an answer, decompressed if necessary.
func decodeRows(m *schema.SyncTable) ([]*schema.StoreRow, error) {
	if m.Packed == nil {
		return m.Rows, nil
	}
	b, err := decompress(m.Packed)
	if err != nil {
		return nil, errors.Wrap(err, "decompress rows")
	}
	var r schema.SyncRows
	if err := proto.Unmarshal(b, &r); err != nil {
		return nil, errors.Wrap(err, "decode rows")
	}
	return r.Rows, nil
}
