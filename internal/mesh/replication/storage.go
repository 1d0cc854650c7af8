package replication

// Storage persists the state of a node. Only the node's loop calls Save. Node.Close calls Close
// after the loop has ended.
type Storage interface {
	// Save syncs a batch to disk. A batch whose Save returned an error may have been stored
	// completely or not at all. The replica then saves the same state or a later one again.
	Save(batch *WriteBatch) error
	Close() error
}
