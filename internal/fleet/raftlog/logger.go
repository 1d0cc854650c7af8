package raftlog

// Debug implements raft.Logger.
func (discardLogger) Debug(...any) {}

// Debugf implements raft.Logger.
func (discardLogger) Debugf(string, ...any) {}

// Error implements raft.Logger.
func (discardLogger) Error(...any) {}

// Errorf implements raft.Logger.
func (discardLogger) Errorf(string, ...any) {}

// Info implements raft.Logger.
func (discardLogger) Info(...any) {}

// Infof implements raft.Logger.
func (discardLogger) Infof(string, ...any) {}

// Warning implements raft.Logger.
func (discardLogger) Warning(...any) {}

// Warningf implements raft.Logger.
func (discardLogger) Warningf(string, ...any) {}

// Fatal implements raft.Logger. raft calls it when it can't continue.
func (discardLogger) Fatal(v ...any) { panic(v) }

// Fatalf implements raft.Logger. raft calls it when it can't continue.
func (discardLogger) Fatalf(f string, _ ...any) { panic(f) }

// Panic implements raft.Logger. raft calls it when it can't continue.
func (discardLogger) Panic(v ...any) { panic(v) }

// Panicf implements raft.Logger. raft calls it when it can't continue.
func (discardLogger) Panicf(f string, _ ...any) { panic(f) }

// discardLogger is a raft.Logger that drops log lines and panics on fatal errors. The Host logs the relevant
// events.
type discardLogger struct{}
