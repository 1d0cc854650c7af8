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

// Fatal implements raft.Logger; raft calls it where it can't go on.
func (discardLogger) Fatal(v ...any) { panic(v) }

// Fatalf implements raft.Logger; raft calls it where it can't go on.
func (discardLogger) Fatalf(f string, _ ...any) { panic(f) }

// Panic implements raft.Logger; raft calls it where it can't go on.
func (discardLogger) Panic(v ...any) { panic(v) }

// Panicf implements raft.Logger; raft calls it where it can't go on.
func (discardLogger) Panicf(f string, _ ...any) { panic(f) }

// discardLogger drops raft's log lines: the Host reports what matters.
type discardLogger struct{}
