package h1

const (
	// ChunkPrefixBytes is the space that FrameChunk needs before a chunk's data, for its size.
	ChunkPrefixBytes = 10
	// ChunkSuffixBytes is the space that it needs behind them.
	ChunkSuffixBytes = 2
	// LastChunk ends a body in chunks.
	LastChunk = "0\r\n\r\n"
)

// FrameChunk makes the n bytes at b[ChunkPrefixBytes:] a chunk and returns it. b has ChunkSuffixBytes behind them,
// and n is above 0 and below 1<<32.
func FrameChunk(b []byte, n int) []byte {
	const digits = "0123456789abcdef"
	at := ChunkPrefixBytes
	put := func(c byte) { at--; b[at] = c }
	put('\n')
	put('\r')
	for size := n; size > 0; size >>= 4 {
		put(digits[size&15])
	}
	end := ChunkPrefixBytes + n
	b[end], b[end+1] = '\r', '\n'
	return b[at : end+ChunkSuffixBytes]
}
