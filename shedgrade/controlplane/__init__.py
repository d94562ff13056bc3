"""The control plane: replicated control state, operator API, directory of edges, watches of edges."""
