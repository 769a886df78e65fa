"""The errors of this package."""

from __future__ import annotations


class QuorumError(Exception):
    """Base of all errors of `firvane.proxy.quorum`."""


class MessageError(QuorumError, ValueError):
    """A datagram holds no valid message."""


class UploadError(QuorumError, ValueError):
    """A chunk of a policy's text was rejected; the text of the error is sent to the caller."""
