package credential

import "maps"

// Reload reloads the files if a modification time or size has changed, or if the last load failed. It reports whether new
// content is in use. On an error, which is of one of this package's classes, the previous content stays in use; an error that
// repeats is returned only once. Reload must not be called concurrently.
func (c *Credential) Reload() (bool, error) {
	changed, err := c.reloadChanged()
	if err == nil {
		c.lastError = ""
		return changed, nil
	}
	if err.Error() == c.lastError {
		return false, nil
	}
	c.lastError = err.Error()
	return false, err
}

func (c *Credential) reloadChanged() (bool, error) {
	versions, err := c.versions()
	if err != nil {
		c.loadFailed = true
		return false, err
	}
	if !c.loadFailed && maps.Equal(versions, c.loaded) {
		return false, c.checkTime(c.current.Load())
	}
	s, loaded, err := c.load()
	c.loadFailed = err != nil
	if err != nil {
		return false, err
	}
	c.loaded = loaded
	return c.current.Swap(s) != s, nil
}
