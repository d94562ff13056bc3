"""The control plane: control state, the operators' API, the directory of edges, delivery."""
