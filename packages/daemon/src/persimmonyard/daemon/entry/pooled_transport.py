"""HTTP connections to upstreams: a small pool for each address."""

import ssl
import time
from dataclasses import dataclass

import httpx

__all__ = ["MAX_CONNECTIONS", "PooledTransport"]

# An upstream accepts 64 connections and a deployment has 9 entries, so each
# entry may hold 7: one for the long poll of renewals, six for other calls.
MAX_CONNECTIONS = 64 // 9
# A pool that is not used would keep the sockets of dead upstreams open.
UNUSED_POOL_S = 60.0


@dataclass
class _Pool:
    transport: httpx.AsyncHTTPTransport
    in_use: int = 0
    used_at: float = 0.0


class PooledTransport(httpx.AsyncBaseTransport):
    """Limit the connections to each upstream.

    One pool for all upstreams would compare each call with thousands of open
    connections.  A pool for each address takes about 550 bytes, a client for
    each address 3,800.
    """

    def __init__(self) -> None:
        # One context for all pools: loading it takes milliseconds.
        self._ssl_context: ssl.SSLContext = httpx.create_ssl_context(trust_env=False)
        self._pool_by_address: dict[bytes, _Pool] = {}
        self._pruned_at = time.monotonic()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request through the pool of its address."""
        now = time.monotonic()
        await self._prune(now)
        pool = self._pool(request.url.netloc)
        pool.in_use += 1
        try:
            return await pool.transport.handle_async_request(request)
        finally:
            pool.in_use -= 1
            pool.used_at = time.monotonic()

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in self._pool_by_address.values():
            await pool.transport.aclose()

    def _pool(self, address: bytes) -> _Pool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            limits = httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
            )
            pool = _Pool(
                httpx.AsyncHTTPTransport(
                    verify=self._ssl_context, limits=limits, trust_env=False
                )
            )
            self._pool_by_address[address] = pool
        return pool

    async def _prune(self, now: float) -> None:
        if now - self._pruned_at < UNUSED_POOL_S:
            return
        self._pruned_at = now
        for address, pool in list(self._pool_by_address.items()):
            if pool.in_use or now - pool.used_at < UNUSED_POOL_S:
                continue
            del self._pool_by_address[address]
            await pool.transport.aclose()
