package configuration

import (
	"context"
	"slices"

	"github.com/sapphiretack/sapphiretack/store"
)

const (
	// logPageRows is the maximum number of rows per scan of the log. A page of large documents ends earlier, at
	// store.MaxPageBytes.
	logPageRows = 64
	// maxLogChanges is the number of missing changes above which Since returns a snapshot.
	maxLogChanges = 1024
	// maxSnapshotAttempts limits the scans for one snapshot; a change during a scan invalidates it.
	maxSnapshotAttempts = 3
)

// Show reads an object; the error is of class NotFound if it does not exist or is withdrawn, or of class Unavailable.
func (s *Store) Show(ctx context.Context, k Kind, name string) (Object, error) {
	rows, err := s.table.Read(ctx, []store.Key{objectRowKey(k, name)})
	if err != nil {
		return Object{}, Unavailable.Wrap(err)
	}
	var o Object
	if err := decode(rows[0], &o); err != nil {
		return Object{}, err
	}
	if !o.Exists() {
		return o, NotFound.New("%v %q does not exist; publish it with revision 0", k, name)
	}
	return o, nil
}

// Since returns the changes after a version, or a snapshot if the version is too old; the error is of class Unavailable. A
// stale read returns an older Version, with the objects as of that version.
func (s *Store) Since(ctx context.Context, since Version) (Update, error) {
	head, err := s.head(ctx)
	if err != nil {
		return Update{}, err
	}
	s.restores.isWritingBack(s.now(), s.table.Era())
	if head.Version <= since {
		return Update{Version: head.Version}, nil
	}
	if since > 0 && head.Version-since <= min(maxLogChanges, s.logLength) {
		u, complete, err := s.readLog(ctx, since, head.Version)
		if err != nil || complete {
			return u, err
		}
	}
	return s.snapshot(ctx)
}

// head reads the head row.
func (s *Store) head(ctx context.Context) (headRow, error) {
	var head headRow
	rows, err := s.table.Read(ctx, []store.Key{headKey})
	if err != nil {
		return head, Unavailable.Wrap(err)
	}
	return head, decode(rows[0], &head)
}

// readLog reads the changes after since, up to until or, if the scan is staler than the head row, up to an earlier version.
// complete is false if one of the changes is no longer in the log.
func (s *Store) readLog(ctx context.Context, since, until Version) (u Update, complete bool, err error) {
	u.Version = since
	latest := make(map[objectKey]Object)
	for u.Version < until {
		rows, err := s.table.Scan(ctx, logPrefix, logKey(u.Version), logPageRows)
		if err != nil {
			return Update{}, false, Unavailable.Wrap(err)
		}
		if len(rows) == 0 {
			break // the scan is staler than the head row
		}
		for _, row := range rows {
			var entry logRow
			if err := decode(row, &entry); err != nil {
				return Update{}, false, err
			}
			if row.Key != logKey(u.Version+1) || entry.Object.Version != u.Version+1 {
				return Update{}, false, nil
			}
			u.Version++
			latest[entry.Object.key()] = entry.Object
		}
	}
	for _, o := range latest {
		u.Objects = append(u.Objects, o)
	}
	sortByVersion(u.Objects)
	return u, true, nil
}

// snapshot reads all objects. It compares their digests to that in the head row, so that the result never mixes versions.
func (s *Store) snapshot(ctx context.Context) (Update, error) {
	for range maxSnapshotAttempts {
		head, err := s.head(ctx)
		if err != nil {
			return Update{}, err
		}
		objects, err := s.scanObjects(ctx)
		if err != nil {
			return Update{}, err
		}
		var digest uint64
		for i := range objects {
			digest += objects[i].digest()
		}
		if digest == head.Digest {
			sortByVersion(objects)
			return Update{Version: head.Version, Objects: objects, Snapshot: true}, nil
		}
	}
	return Update{}, Unavailable.New("the configuration changed during %d scans; read it again", maxSnapshotAttempts)
}

// scanObjects reads all object rows page by page.
func (s *Store) scanObjects(ctx context.Context) ([]Object, error) {
	var objects []Object
	var after store.Key
	for {
		rows, err := s.table.Scan(ctx, objectPrefix, after, store.MaxRows)
		if err != nil {
			return nil, Unavailable.Wrap(err)
		}
		if len(rows) == 0 {
			return objects, nil
		}
		for _, row := range rows {
			var o Object
			if err := decode(row, &o); err != nil {
				return nil, err
			}
			objects = append(objects, o)
		}
		after = rows[len(rows)-1].Key
	}
}

func sortByVersion(objects []Object) {
	slices.SortFunc(objects, func(a, b Object) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
}
