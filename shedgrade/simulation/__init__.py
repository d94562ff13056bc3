"""Virtual time, network, disks, troubles by seed, histories and their checkers."""
