"""Watching: where settings of another shape would have decided otherwise, counted beside the decisions."""
