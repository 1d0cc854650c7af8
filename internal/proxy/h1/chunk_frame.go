package h1

const (
	// ChunkPrefixBytes is the space that FrameChunk needs before a chunk's data for the size line.
	ChunkPrefixBytes = 10
	// ChunkSuffixBytes is the space that FrameChunk needs after a chunk's data for CR LF.
	ChunkSuffixBytes = 2
	// LastChunk ends a chunked body.
	LastChunk = "0\r\n\r\n"
)

// FrameChunk frames the n bytes at b[ChunkPrefixBytes:] as a chunk and returns the chunk, which is a part of b. b
// must have ChunkSuffixBytes after the data, and n must be above 0 and below 1<<32.
func FrameChunk(b []byte, n int) []byte {
	const digits = "0123456789abcdef"
	start := ChunkPrefixBytes
	put := func(c byte) { start--; b[start] = c }
	put('\n')
	put('\r')
	for size := n; size > 0; size >>= 4 {
		put(digits[size&15])
	}
	end := ChunkPrefixBytes + n
	b[end], b[end+1] = '\r', '\n'
	return b[start : end+ChunkSuffixBytes]
}
