package watch

// signal wakes the goroutine that receives from a channel of capacity one, at once or at its next receive. It
// never blocks: if a signal is already pending, the two are merged.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
