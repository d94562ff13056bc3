"""Load balancing decisions. No clock, no I/O: each call carries the time, in tenths of a millisecond.

The interface consists of the public methods of `Balancer` and `Rpc`:
  b = Balancer(settings, seed, now)       settings: a mapping; upstreams, methods, zones are small indices
  b.list_changed(now, rows, complete, requested)
                                          rows: (upstream, zone, state, started, cell, mark, size, kind)
  b.mark_unverified(now, upstreams, required_successes, last_resort)
                                          marks rows of an older source than discovery as unverified
  b.update_settings(settings)             applies other settings; active requests keep their method
  b.set_slow_start_share(share)           sets this process's share of the slow start rate
  b.set_withdrawn(now, upstream, withdrawn)  operators withdraw an upstream, or reinstate it
  b.list_failed(now)                      the request for the list failed, or the subscription broke
  rpc = b.admit(now, method, deadline, retry, tag, tenant)  returns a handle; rpc.decide(now) then returns:
      None: nothing to do now.  (upstream, limit): transmit.  (EXHAUSTED, retry_after), (ERRORED, 0): final.
  rpc.attempt_finished(now, attempt, outcome, duration, answered, first_on_connection)
                                          returns the attempts to stop
  rpc.response_started(long_lived)        a streamed response has begun; long_lived: a stream is open
  rpc.body_received(now, deadline, buffered, complete)
                                          bytes of a long request; buffered: all are still buffered; complete:
                                          the last one has come
  rpc.client_disconnected(now)            the client has disconnected
  b.due(now)                              yields the handles to decide on again; b.wake_at(): when to call it
  b.wants_list(now)                       True: subscribe to the list of upstreams now
  b.draw_admission(method)                a random number by which a gate rejects low payoffs first
  b.take_released()                       returns forgotten upstreams, whose indices are free
"""

from math import inf

from .balancer import LATENCY_TARGET_SHARE, Balancer
from .endpoint_list import RECENTLY_USED
from .outcomes import *
from .rpc import Method, Rpc
from .upstream import DECAY_TIME, MAX_DECAY_TIME, SECOND, DecayingRatio, Upstream
from .zones import DROP_THRESHOLD, LOAD_MARGIN, Zone
