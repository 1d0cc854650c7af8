package replication

// Storage is where a node keeps its state. The node's loop is the only caller, and Close is called
// after it has ended.
type Storage interface {
	// Save syncs a batch to disk. After an error all of it or nothing may be stored, and the same
	// or a later state is to be saved again.
	Save(batch *WriteBatch) error
	Close() error
}
