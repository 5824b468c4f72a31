package fleet

// Size returns the largest number of nodes, of summaries or of departures in the table.
func (t *Table) Size() int {
	return max(len(t.members), len(t.summaries), len(t.left), len(t.held))
}
