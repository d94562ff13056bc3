"""Every decision of the balancer. No clock, no I/O: each call carries the time, in tenths of a millisecond.

How to call it (the interface is defined here, by the public methods of `Balancer` and `Rpc`):
  b = Balancer(settings, seed, now)       settings: a plain map; upstreams, methods, zones are small indices
  b.list_changed(now, rows, whole, asked) of (upstream, zone, state, started, cell, mark, size, kind)
  b.mark_unverified(now, upstreams, ends, last)  rows of an older source than discovery: how far to trust them
  b.update_settings(settings)             other methods, limits, rules, prices; RPCs in hand keep their method
  b.set_slow_start_share(share)           this process has that part of what warming upstreams may get
  b.set_withdrawn(now, upstream, withdrawn)  operators take an upstream out, or put it back
  b.list_failed(now)                      the call for the list failed, or the subscription broke
  rpc = b.admit(now, method, deadline, retry, tag, tenant)  a handle; rpc.decide(now) then says what to do:
      None: nothing now.  (upstream, limit): transmit.  (EXHAUSTED, retry_after), (ERRORED, 0): final.
  rpc.attempt_finished(now, attempt, outcome, duration, answered, first_on_connection)  returns what to stop
  rpc.response_started(long_lived)        a streamed answer has begun; long_lived: a stream is open
  rpc.body_received(now, deadline, here, whole)  bytes of a long request; here: none let go; whole: the last
  rpc.client_disconnected(now)            the client has left
  b.due(now)                              yields the handles to ask again; b.wake_at() says when to call next
  b.wants_list(now)                       True: subscribe to the list of upstreams now
  b.draw_admission(method)                a draw by which a gate before the decisions gives up the cheap first
  b.take_released()                       upstreams that are forgotten: their indices are free
"""

from math import inf

from .balancer import LATENCY_TARGET_SHARE, Balancer
from .endpoint_list import RECENTLY_USED
from .outcomes import *
from .rpc import Method, Rpc
from .upstream import DECAY_TIME, MAX_DECAY_TIME, SECOND, DecayingRatio, Upstream
from .zones import DROP_THRESHOLD, LOAD_MARGIN, Zone
