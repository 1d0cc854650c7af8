// Package state keeps what a sidecar must not forget of the log that its fleet agrees on, in a folder that outlives the process: its seat, its vote, entries, policies' texts. Each is on the
// disk before it is answered for. A file that is damaged, another sidecar's or of another form is refused, and never half used.
package state

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/agree"
)

const (
	form      = 1
	fileName  = "caperarch-fleet.db"
	lockFor   = 200 * time.Millisecond // another process that has it open ends soon, or does not
	textsMost = 32
)

// ErrInUse is that another process has the file open.
var ErrInUse = errors.New("another process has it open")

var (
	about   = []byte("about")
	entries = []byte("entries")
	texts   = []byte("texts")
)

// owner is whose file it is.
type owner struct {
	Form   int    `json:"form"`
	Fleet  string `json:"fleet"`
	Number int    `json:"number"`
	Seat   uint64 `json:"seat"`
	Epoch  uint64 `json:"epoch"`
}

// Store is one sidecar's file. It is used from one goroutine at a time.
type Store struct {
	db    *bbolt.DB
	owner owner
}

// Usable says whether a folder can be used, before anything is opened in it.
func Usable(dir string) error {
	f, err := os.CreateTemp(dir, "caperarch-*.tmp")
	if err != nil {
		return err
	}
	return errors.Join(f.Close(), os.Remove(f.Name()))
}

// Open opens the file of a fleet's sidecar in a folder, or makes one, whose seat is then life.
func Open(dir, fleet string, number int, life uint64) (s *Store, err error) {
	path := filepath.Join(dir, fileName)
	defer func() {
		if trouble := recover(); trouble != nil { // bbolt does so at some damage
			s, err = nil, fmt.Errorf("%s: damaged: %v", path, trouble)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockFor})
	switch {
	case errors.Is(err, bbolt.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", path, ErrInUse)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s = &Store{db: db}
	if err := db.Update(func(tx *bbolt.Tx) error { return s.begin(tx, fleet, number, life) }); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return s, nil
}

// begin reads whose file it is, and checks all of it once.
func (s *Store) begin(tx *bbolt.Tx, fleet string, number int, life uint64) error {
	b := tx.Bucket(about)
	if b == nil {
		if name, _ := tx.Cursor().First(); name != nil {
			return errors.New("it is none of this program's")
		}
		var err error
		if b, err = tx.CreateBucket(about); err != nil {
			return err
		}
		s.owner = owner{form, fleet, number, life, 0}
		if err := s.write(tx); err != nil {
			return err
		}
		return s.clear(tx)
	}
	if err := json.Unmarshal(b.Get([]byte("owner")), &s.owner); err != nil {
		return fmt.Errorf("damaged: %w", err)
	}
	switch o := s.owner; {
	case o.Form != form:
		return fmt.Errorf("it has form %d, this program knows form %d", o.Form, form)
	case o.Fleet != fleet || o.Number != number:
		return fmt.Errorf("it is sidecar %d's of fleet %q, this is %d of %q", o.Number, o.Fleet, number, fleet)
	case o.Seat == 0:
		return errors.New("damaged: it has no seat")
	}
	for trouble := range tx.Check() {
		return fmt.Errorf("damaged: %w", trouble)
	}
	_, _, err := s.read(tx)
	return err
}

func (s *Store) write(tx *bbolt.Tx) error {
	raw, err := json.Marshal(s.owner)
	if err != nil {
		return err
	}
	return tx.Bucket(about).Put([]byte("owner"), raw)
}

// clear leaves no vote, entry or text.
func (s *Store) clear(tx *bbolt.Tx) error {
	for _, name := range [][]byte{entries, texts} {
		if tx.Bucket(name) != nil {
			if err := tx.DeleteBucket(name); err != nil {
				return err
			}
		}
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return tx.Bucket(about).Delete([]byte("vote"))
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Seat is the life by which this sidecar votes.
func (s *Store) Seat() uint64 { return s.owner.Seat }

// Saved is what is kept.
func (s *Store) Saved() (saved *agree.Saved, all [][]byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		saved, all, err = s.read(tx)
		return err
	})
	return saved, all, err
}

func (s *Store) read(tx *bbolt.Tx) (saved *agree.Saved, all [][]byte, err error) {
	saved = &agree.Saved{Epoch: s.owner.Epoch}
	if raw := tx.Bucket(about).Get([]byte("vote")); raw != nil {
		saved.Vote = new(raftpb.HardState)
		if err := proto.Unmarshal(raw, saved.Vote); err != nil {
			return nil, nil, fmt.Errorf("damaged: its vote: %w", err)
		}
	}
	log, kept := tx.Bucket(entries), tx.Bucket(texts)
	if log == nil || kept == nil {
		return nil, nil, errors.New("damaged: a part is missing")
	}
	err = log.ForEach(func(k, v []byte) error {
		e := new(raftpb.Entry)
		if err := proto.Unmarshal(v, e); err != nil || len(k) != 8 || e.GetIndex() != binary.BigEndian.Uint64(k) || e.GetIndex() != uint64(len(saved.Entries))+1 {
			return fmt.Errorf("damaged: entry %d", len(saved.Entries)+1)
		}
		saved.Entries = append(saved.Entries, e)
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if saved.Vote != nil && saved.Vote.GetCommit() > uint64(len(saved.Entries)) || saved.Vote == nil && len(saved.Entries) > 0 {
		return nil, nil, errors.New("damaged: its vote and its entries don't fit")
	}
	err = kept.ForEach(func(_, v []byte) error {
		all = append(all, append([]byte(nil), v...))
		return nil
	})
	return saved, all, err
}

// Begin forgets all of an earlier log.
func (s *Store) Begin(epoch uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		s.owner.Epoch = epoch
		return errors.Join(s.write(tx), s.clear(tx))
	})
}

// Save keeps a vote and entries; what stood at their indices and behind them goes.
func (s *Store) Save(vote *raftpb.HardState, all []*raftpb.Entry) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if vote != nil {
			raw, err := proto.Marshal(vote)
			if err == nil {
				err = tx.Bucket(about).Put([]byte("vote"), raw)
			}
			if err != nil {
				return err
			}
		}
		log := tx.Bucket(entries)
		if len(all) > 0 {
			c := log.Cursor()
			for k, _ := c.Seek(key(all[0].GetIndex())); k != nil; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, e := range all {
			raw, err := proto.Marshal(e)
			if err == nil {
				err = log.Put(key(e.GetIndex()), raw)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Text keeps the text of a version; of too many the oldest goes.
func (s *Store) Text(hash [32]byte, text []byte) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(texts)
		n, err := b.NextSequence()
		if err != nil {
			return err
		}
		if n > textsMost {
			if err := b.Delete(key(n - textsMost)); err != nil {
				return err
			}
		}
		return b.Put(key(n), text)
	})
}
