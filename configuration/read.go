package configuration

import (
	"context"
	"slices"

	"github.com/sapphiretack/sapphiretack/store"
)

const (
	// logPage is the number of rows in one scan. A page of large documents ends earlier, at store.MaxPageBytes.
	logPage = 64
	// maxLogRead is the number of changes after which a reader takes a snapshot instead.
	maxLogRead = 1024
	// snapshotTries bounds the scans for one snapshot, each of which a change during the scan makes void.
	snapshotTries = 3
)

// Show returns an object; the error is of class NotFound if it does not exist or is withdrawn.
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

// Since returns the changes after a version, or a snapshot if the reader is too far behind. The read may be out of date;
// then Version is lower than the present one, but the objects are those of Version.
func (s *Store) Since(ctx context.Context, since Version) (Update, error) {
	head, err := s.head(ctx)
	if err != nil {
		return Update{}, err
	}
	if head.Version <= since {
		return Update{Version: head.Version}, nil
	}
	if since > 0 && head.Version-since <= min(maxLogRead, s.log) {
		u, whole, err := s.readLog(ctx, since, head.Version)
		if err != nil || whole {
			return u, err
		}
	}
	return s.snapshot(ctx)
}

func (s *Store) head(ctx context.Context) (headRow, error) {
	var head headRow
	rows, err := s.table.Read(ctx, []store.Key{headKey})
	if err != nil {
		return head, Unavailable.Wrap(err)
	}
	return head, decode(rows[0], &head)
}

// readLog reads the log up to a version; whole is false if the log no longer holds the first change.
func (s *Store) readLog(ctx context.Context, since, until Version) (u Update, whole bool, err error) {
	u.Version = since
	latest := make(map[objectKey]Object)
	for u.Version < until {
		rows, err := s.table.Scan(ctx, logPrefix, logKey(u.Version), logPage)
		if err != nil {
			return Update{}, false, Unavailable.Wrap(err)
		}
		if len(rows) == 0 {
			break // the scan is older than the head
		}
		for _, row := range rows {
			var l logRow
			if err := decode(row, &l); err != nil {
				return Update{}, false, err
			}
			if row.Key != logKey(u.Version+1) || l.Object.Version != u.Version+1 {
				return Update{}, false, nil
			}
			u.Version++
			latest[l.Object.key()] = l.Object
		}
	}
	for _, o := range latest {
		u.Objects = append(u.Objects, o)
	}
	sortByVersion(u.Objects)
	return u, true, nil
}

// snapshot reads all objects. The digest in the head row shows whether they are those of one version.
func (s *Store) snapshot(ctx context.Context) (Update, error) {
	for range snapshotTries {
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
	return Update{}, Unavailable.New("the configuration changed during %d scans; read it again", snapshotTries)
}

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
