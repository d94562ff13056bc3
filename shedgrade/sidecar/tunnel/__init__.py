"""Tunnels in (SOCKS5, CONNECT) and dialling out through proxies, on the same pools, decisions and rules."""
