"""The HTTP client of a process that serves."""

from collections import abc
import ssl

import httpx

__all__ = ("make_client",)


def _make_tls_context(urls: abc.Iterable[str]) -> ssl.SSLContext:
    """Return a context that trusts the usual authorities if need be.

    Reading them takes a tenth of what a start costs in processor time, and
    most platforms are spoken to without TLS. A context without authorities
    refuses every certificate, so nothing is trusted by mistake.
    """
    if any(url.startswith("https://") for url in urls):
        return httpx.create_ssl_context(trust_env=False)
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def make_client(
    urls: abc.Iterable[str], limits: httpx.Limits
) -> httpx.AsyncClient:
    """Return a client for the services at the base URLs ``urls``."""
    return httpx.AsyncClient(
        verify=_make_tls_context(urls), limits=limits, trust_env=False
    )
