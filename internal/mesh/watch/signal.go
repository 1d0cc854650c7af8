package watch

// signal wakes the receiver of a channel of capacity one, now or when it next
// receives. It never blocks.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
