"""Every decision of the balancer. No clock, no I/O: each call carries the time, in tenths of a millisecond.

How to call it (the interface is defined here, by the public methods of `Balancer` and `Rpc`):
  b = Balancer(settings, seed, now)       settings: a plain map; upstreams, methods, zones are small indices
  b.list_changed(now, rows, whole, asked) of (upstream, zone, state, started, cell, mark, size, kind)
  b.doubted(now, upstreams, ends, last)   rows of an older source than discovery: how far to trust them
  b.retuned(settings)                     other methods, limits, rules, prices; RPCs in hand keep their method
  b.divided(part)                         this process has that part of what cold upstreams may get
  b.ordered(now, upstream, out)           operators take an upstream out, or put it back
  b.list_failed(now)                      the call for the list failed, or the subscription broke
  rpc = b.take(now, method, give_up_at, retry, tag, tenant)  a handle; rpc.decide(now) then says what to do:
      None: nothing now.  (upstream, limit): transmit.  (EXHAUSTED, retry_after), (ERRORED, 0): final.
  rpc.ended(now, tx, outcome, took, settled, fresh)   fresh: first on its connection; returns what to stop
  rpc.started(lasting)                    a streamed answer has begun; lasting: a stream is open, and held
  rpc.coming(now, give_up_at, here, whole)  bytes of a long request came; here: none let go; whole: the last
  rpc.gone(now)                           the client has left
  b.due(now)                              yields the handles to ask again; b.wake_at() says when to call next
  b.wants_list(now)                       True: subscribe to the list of upstreams now
  b.luck(method)                          a draw by which a gate before the decisions gives up the cheap first
  b.released()                            upstreams that are forgotten: their indices are free
"""

from math import inf

from .balancer import LATENCY_TARGET_SHARE, Balancer
from .endpoint_list import RECENTLY_USED
from .outcomes import *
from .rpc import Method, Rpc
from .upstream import DECAY_TIME, MAX_DECAY_TIME, SECOND, DecayingRatio, Upstream
from .zones import DROP_THRESHOLD, LOAD_MARGIN, Zone
