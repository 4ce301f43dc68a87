"""Links between daemons: one bidirectional gRPC stream for each pair.

Messages for a peer are collected and sent as one batch. The side that dialled sends a
heartbeat every second and the other side replies to it at once, so that the replies of all
peers arrive together and wake the daemon only once. A peer that sends nothing for longer
than `PEER_TIMEOUT_S` counts as lost. Peers are identified by name; a stream from an older
incarnation than the newest known one is refused.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple, Protocol

import grpc
import grpc.aio

from . import clock
from .errors import WireError
from .messages import AnyMessage, Heartbeat, Hello, decode, encode

LINK_METHOD = "/dockreach.Link/Exchange"
"""Path of the gRPC method of the stream."""

HEARTBEAT_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 3.0
"""Time without a message after which a peer counts as lost."""

REDIAL_DELAY_S = 0.5
"""Delay before an address is dialled again."""

MAX_PENDING_MESSAGES = 20_000
"""Messages waiting to be sent to one peer above which its link is closed."""

MAX_MESSAGE_BYTES = 8 << 20

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)


class LinkHandler(Protocol):
    """What a daemon provides to its links, and how it handles their events.

    No method may block.
    """

    def hello(self) -> Hello:
        """Return the first message of each link, which identifies this daemon."""
        ...

    def heartbeat(self) -> Heartbeat:
        """Return the current heartbeat."""
        ...

    def peer_up(self, hello: Hello) -> None:
        """Handle a peer whose link is up."""
        ...

    def peer_down(self, name: str) -> None:
        """Handle a peer whose link was lost."""
        ...

    def receive(self, name: str, messages: list[AnyMessage]) -> None:
        """Handle a batch of messages from a peer."""
        ...


class LinkTraffic(NamedTuple):
    """Traffic of all links since the start; messages and batches are those sent."""

    batches: int
    messages: int
    sent_bytes: int
    received_bytes: int


class _Link:
    """One stream to or from a peer.

    Attributes:
        name: The peer's name; empty until its hello arrives.
        dialled: Whether this side opened the stream.
        received_at: Monotonic time at which the last batch arrived.
        pending: Messages to send with the next batch.
        flush_requested: Set when the pending messages are to be sent.
    """

    def __init__(self, *, dialled: bool) -> None:
        self.name = ""
        self.dialled = dialled
        self.incarnation = 0
        self.received_at = clock.now()
        self.pending: list[AnyMessage] = []
        self.flush_requested = asyncio.Event()
        self.closed = False

    def push(self, message: AnyMessage) -> None:
        self.pending.append(message)
        if len(self.pending) > MAX_PENDING_MESSAGES:
            self.close()

    def close(self) -> None:
        self.closed = True
        self.flush_requested.set()


class Links:
    """All links of one daemon.

    Args:
        handler: The daemon, which handles what the links receive.
    """

    def __init__(self, handler: LinkHandler) -> None:
        self._handler = handler
        self._links: dict[str, _Link] = {}
        self._dialled: dict[str, bool] = {}
        self._newest_incarnations: dict[str, int] = {}
        self._server: Any = None
        self.batches = 0
        self.messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.invalid_batches = 0

    @property
    def peers(self) -> list[str]:
        """Names of the linked peers."""
        return list(self._links)

    def traffic(self) -> LinkTraffic:
        """Return the traffic of all links since the start."""
        return LinkTraffic(
            self.batches, self.messages, self.sent_bytes, self.received_bytes
        )

    def send(self, name: str, message: AnyMessage) -> None:
        """Queue a message for a peer; it is dropped if the peer is not linked."""
        link = self._links.get(name)
        if link is not None:
            link.push(message)

    def flush(self) -> None:
        """Send all queued messages, as one batch for each peer."""
        for link in self._links.values():
            if link.pending:
                link.flush_requested.set()

    async def serve(self, address: str) -> int:
        """Listen for peers and return the port."""
        self._server = grpc.aio.server(options=_OPTIONS)
        handler: Any = grpc.stream_stream_rpc_method_handler(self._accept)
        service, _, method = LINK_METHOD.strip("/").partition("/")
        generic = grpc.method_handlers_generic_handler(service, {method: handler})
        self._server.add_generic_rpc_handlers((generic,))
        port: int = self._server.add_insecure_port(address)
        await self._server.start()
        asyncio.get_running_loop().create_task(self._send_heartbeats())
        return port

    async def stop(self) -> None:
        """Close all links and the server."""
        for link in list(self._links.values()):
            link.close()
        self._dialled.clear()
        if self._server is not None:
            await self._server.stop(0.2)

    def dial(self, address: str) -> None:
        """Open a link to an address, and reopen it when it is lost, until `undial`."""
        if address not in self._dialled:
            self._dialled[address] = True
            asyncio.get_event_loop().create_task(self._keep_dialled(address))

    def undial(self, address: str) -> None:
        """Stop dialling an address; a link that is up remains until it is lost."""
        self._dialled.pop(address, None)

    @property
    def dialled(self) -> list[str]:
        """Addresses to which links are kept."""
        return list(self._dialled)

    def close_all(self) -> None:
        """Close all links, as after a long pause; dialled ones are opened again."""
        for link in list(self._links.values()):
            link.close()

    async def _keep_dialled(self, address: str) -> None:
        while address in self._dialled:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            try:
                call: Any = channel.stream_stream(LINK_METHOD)()
                await self._run_stream(call, call.write, dialled=True)
                call.cancel()
            finally:
                await channel.close()
            await asyncio.sleep(REDIAL_DELAY_S)

    async def _accept(
        self,
        requests: AsyncIterator[bytes],
        context: Any,  # noqa: ANN401
    ) -> None:
        await self._run_stream(requests, context.write, dialled=False)

    async def _run_stream(
        self,
        requests: AsyncIterator[bytes],
        write: Callable[[bytes], Any],
        *,
        dialled: bool,
    ) -> None:
        """Read from and write to one stream until either side ends it."""
        link = _Link(dialled=dialled)
        loop = asyncio.get_running_loop()
        tasks = (
            loop.create_task(self._write(link, write)),
            loop.create_task(self._read(link, requests)),
        )
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._remove(link)

    async def _read(self, link: _Link, requests: AsyncIterator[bytes]) -> None:
        async for data in requests:
            if not self._handle_batch(link, data):
                return

    async def _write(self, link: _Link, write: Callable[[bytes], Any]) -> None:
        await self._write_batch(write, [self._handler.hello()])
        while not link.closed:
            await link.flush_requested.wait()
            link.flush_requested.clear()
            if link.pending:
                batch = link.pending
                link.pending = []
                await self._write_batch(write, batch)

    async def _write_batch(
        self, write: Callable[[bytes], Any], batch: list[AnyMessage]
    ) -> None:
        data = encode(batch)
        self.batches += 1
        self.messages += len(batch)
        self.sent_bytes += len(data)
        await write(data)

    def _handle_batch(self, link: _Link, data: bytes) -> bool:
        """Handle one received batch; return whether the link stays open."""
        if link.closed:
            return False
        link.received_at = clock.now()
        self.received_bytes += len(data)
        try:
            messages = decode(data)
        except WireError:
            self.invalid_batches += 1
            return False
        if not link.name:
            if not messages or not isinstance(messages[0], Hello):
                return False
            if not self._handle_hello(link, messages.pop(0)):
                return False
        if messages:
            self._handler.receive(link.name, messages)
        if not link.dialled and any(isinstance(item, Heartbeat) for item in messages):
            link.push(self._handler.heartbeat())
            link.flush_requested.set()
        return True

    def _handle_hello(self, link: _Link, hello: AnyMessage) -> bool:
        if not isinstance(hello, Hello):
            return False
        newest = self._newest_incarnations.get(hello.peer, 0)
        if hello.incarnation < newest:
            return False
        self._newest_incarnations[hello.peer] = hello.incarnation
        link.name = hello.peer
        link.incarnation = hello.incarnation
        previous = self._links.get(hello.peer)
        self._links[hello.peer] = link
        if previous is not None:
            previous.name = ""
            previous.close()
            self._handler.peer_down(hello.peer)
        self._handler.peer_up(hello)
        return True

    def _remove(self, link: _Link) -> None:
        link.close()
        if link.name and self._links.get(link.name) is link:
            del self._links[link.name]
            self._handler.peer_down(link.name)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            beat = self._handler.heartbeat()
            now = clock.now()
            for link in list(self._links.values()):
                if now - link.received_at > PEER_TIMEOUT_S:
                    self._remove(link)
                    continue
                if link.dialled:
                    link.push(beat)
                    link.flush_requested.set()
