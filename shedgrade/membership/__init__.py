"""Who else is there: partial views that are shuffled between neighbours. No I/O, time handed in."""
