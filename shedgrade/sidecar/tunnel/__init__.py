"""Tunnel listeners (SOCKS5, CONNECT) and connecting to upstreams through proxies. Both use the same pools,
the same balancing decisions and the same rules as plain RPCs."""
