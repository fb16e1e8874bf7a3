"""An HTTP transport with a small connection pool for each upstream."""

import ssl
import time
from dataclasses import dataclass

import httpx

__all__ = ["MAX_CONNECTIONS", "PooledTransport"]

# An upstream accepts 64 connections and a deployment has 9 entries, so each
# entry may hold 7: one for the long poll of renewals, six for other calls.
MAX_CONNECTIONS = 64 // 9
# Pools that are idle for this long are closed, because they would keep the
# sockets of dead upstreams open.
IDLE_POOL_TIMEOUT_S = 60.0


@dataclass
class _Pool:
    transport: httpx.AsyncHTTPTransport
    in_use: int = 0
    last_used_at: float = 0.0


class PooledTransport(httpx.AsyncBaseTransport):
    """Limits the number of connections to each upstream.

    With one pool for all upstreams, each call would be compared with
    thousands of open connections.  A pool for each address takes about 550
    bytes, while an ``httpx`` client for each address takes 3,800 bytes.
    """

    def __init__(self) -> None:
        # Shared by all pools, because loading it takes milliseconds.
        self._ssl_context: ssl.SSLContext = httpx.create_ssl_context(trust_env=False)
        self._pool_by_address: dict[bytes, _Pool] = {}
        self._pruned_at = time.monotonic()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request through the pool of its address."""
        now = time.monotonic()
        await self._close_idle_pools(now)
        pool = self._pool_for(request.url.netloc)
        pool.in_use += 1
        try:
            return await pool.transport.handle_async_request(request)
        finally:
            pool.in_use -= 1
            pool.last_used_at = time.monotonic()

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in self._pool_by_address.values():
            await pool.transport.aclose()

    def _pool_for(self, address: bytes) -> _Pool:
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

    async def _close_idle_pools(self, now: float) -> None:
        if now - self._pruned_at < IDLE_POOL_TIMEOUT_S:
            return
        self._pruned_at = now
        for address, pool in list(self._pool_by_address.items()):
            if pool.in_use or now - pool.last_used_at < IDLE_POOL_TIMEOUT_S:
                continue
            del self._pool_by_address[address]
            await pool.transport.aclose()
