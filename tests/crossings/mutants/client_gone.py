"""Of clients that leave while their requests wait."""

from __future__ import annotations

from tests.crossings.mutants import Mutant

HERE = "tests/crossings/test_client_gone.py"
MUTANTS = [
    Mutant(
        "a request is not taken up whose client has gone",
        "firvane/proxy/net/client_connection.py",
        "        if not self.is_peer_open():\n",
        "        if False:\n",
        f"{HERE} -k asked_and_left or sweep",
    ),
    Mutant(
        "bytes behind a request do not hide that its client left",
        "firvane/proxy/net/connection_limiter.py",
        "if connection.reading_paused and not connection.is_peer_open():",
        "if False:",
        f"{HERE} -k behind_another",
    ),
    Mutant(
        "the end of a connection is seen behind unread bytes",
        "firvane/core/net/dialer.py",
        "        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_ESTABLISHED\n",
        "        return sock.recv(1, socket.MSG_PEEK) != b''\n",
        f"{HERE} -k turn_is_used_up",
    ),
    Mutant(
        "an attempt that is out for nobody is given up where the settings allow it",
        "firvane/core/engine.py",
        "            self.dispatch(api.ClientGone(flow.id))\n            self._withdraw(flow)\n",
        "            self._withdraw(flow)\n",
        f"{HERE} -k behind_another",
    ),
    Mutant(
        "nothing more is written for whom the kernel knows to have gone",
        "firvane/proxy/net/upstream_pool.py",
        "            or not run.request.sender_is_connected()\n",
        "",
        f"{HERE} -k between_two_sweeps",
    ),
    Mutant(
        "what is open for who has gone ends in that very call",
        "firvane/proxy/net/client_connection.py",
        "            self.transport.abort()\n            self._abort_upload()",
        "            self.transport.abort()",
        f"{HERE} -k between_two_sweeps",
    ),
]
