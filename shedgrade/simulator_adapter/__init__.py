"""The bench's wire: decodes, maps ids to indices, calls the decisions and writes their answers."""
