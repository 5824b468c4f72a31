package credential

import "maps"

// Check reads the files again if their modification time or size differs, or if the last reading failed. It returns true
// when new content came into use. The error, one of the kinds of this package, is returned once for each finding; while it
// stands, the former content stays in use. One goroutine at a time calls Check.
func (c *Credential) Check() (bool, error) {
	changed, err := c.reload()
	if err == nil {
		c.reported = ""
		return changed, nil
	}
	if err.Error() == c.reported {
		return false, nil
	}
	c.reported = err.Error()
	return false, err
}

func (c *Credential) reload() (bool, error) {
	versions, err := c.versions()
	if err != nil {
		c.bad = true
		return false, err
	}
	if !c.bad && maps.Equal(versions, c.seen) {
		return false, c.checkTime(c.current.Load())
	}
	m, seen, err := c.load()
	c.bad = err != nil
	if err != nil {
		return false, err
	}
	c.seen = seen
	return c.current.Swap(m) != m, nil
}
