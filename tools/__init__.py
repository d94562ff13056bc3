"""Development tools; the shipped programs do not import them."""
