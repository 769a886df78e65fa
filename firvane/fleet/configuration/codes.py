"""Numbered result codes of the operator API; `docs/result-codes.md` contains the same table."""

from __future__ import annotations

import enum


class ResultCode(enum.IntEnum):
    """The result of a call, or a problem of one field: a number, an HTTP status and a meaning.

    1xxx: accepted or answered. 2xxx: the call or its document is invalid. 3xxx: the call conflicts with a
    later state. 5xxx: this controller decided nothing, so the same call may be retried.
    """

    http_status: int
    meaning: str

    def __new__(cls, number: int, http_status: int, meaning: str) -> ResultCode:
        """Create a member with its HTTP status and meaning."""
        code = int.__new__(cls, number)
        code._value_ = number
        code.http_status = http_status
        code.meaning = meaning
        return code

    ACCEPTED = 1000, 200, "The order was taken and its version is in force."
    REPEATED = 1001, 200, "The very same order was taken before."
    CURRENT = 1002, 200, "The newest configuration follows."
    FLEET_STATE = 1003, 200, "The state of the fleet follows, as it is known here."
    HANDED_OVER = 1004, 200, "The part is owned by the controller that is named."
    OTHER_OWNER = 1100, 307, "Another controller owns the configuration."
    OTHER_PART_OWNER = 1101, 307, "Another controller owns the part."

    INVALID = 2000, 400, "The configuration is invalid; its problems are listed."
    NOT_JSON = 2001, 400, "The body is not one whole JSON text."
    WRONG_TYPE = 2002, 400, "A field has another type than it must have."
    MISSING_FIELD = 2003, 400, "A field that must be there is missing."
    OUT_OF_RANGE = 2004, 400, "A number or a text lies outside its bounds."
    VERSION_NOT_ABOVE = 2005, 400, "`config_version` is not above the current version."
    DUPLICATE_NAME = 2006, 400, "Two items of one list have the same name."
    DUPLICATE_PLACE = 2007, 400, "Two routes share host and path prefix."
    UNKNOWN_SERVICE = 2008, 400, "A route names a service that is not in the configuration."
    NO_WEIGHT = 2009, 400, "The weights of a route sum to 0."
    NO_TIMEOUT = 2010, 400, "A time-out is missing or not above 0."
    BAD_PATH_PREFIX = 2011, 400, "A path prefix does not begin and end with a slash."
    NO_TARGET = 2012, 400, "A route has neither `service` nor `weighted_split`."
    TWO_TARGETS = 2013, 400, "A route has both `service` and `weighted_split`."
    CONTRADICTION = 2014, 400, "One order adds and removes the same item."
    TOO_DEEP = 2015, 400, "Values are nested too deeply."
    BAD_BASE = 2016, 400, "`X-Base-Version` is missing or is not a version."
    TOO_LARGE = 2017, 413, "The body is larger than a configuration may be."
    UNKNOWN_CALL = 2018, 404, "There is no such call."
    WRONG_METHOD = 2019, 405, "The call exists under another method."
    BAD_ARGUMENT = 2020, 400, "An argument of the call is missing or malformed; its problem is listed."
    UNKNOWN_MEMBER = 2021, 404, "No other voter of the part has the address that is named."
    SHARED_KEY = 2022, 400, "Two tenants share a key."

    CONFLICT = 3000, 412, "Another version is current than the one that the order builds on."
    OTHER_TERM = 3001, 412, "The part has another term than the one that the order builds on."

    UNCLEAR = 5000, 503, "The order may or may not have been taken; send it again unchanged."
    NO_OWNER = 5001, 503, "No majority of the controllers can be reached."
    STARTING = 5002, 503, "This controller has not caught up yet."
    STORAGE_REFUSED = 5003, 503, "The disk refuses writes."
    NO_CONFIGURATION = 5004, 503, "No configuration has been taken yet."
    OVERLOADED = 5005, 503, "Too many calls are under way."
    UNREADABLE_RECORD = 5006, 500, "A replicated record cannot be read; nothing was changed."
    NO_SUCCESSOR = (
        5007,
        503,
        "The named controller, or every one, is silent, leaving or in trouble with its disk.",
    )
    FORGOTTEN = (
        5008,
        503,
        "The order builds on a version so old that it is not remembered whether it was taken.",
    )

    @property
    def is_acknowledgement(self) -> bool:
        """Whether the order was applied, by this or an earlier call."""
        return self in (ResultCode.ACCEPTED, ResultCode.REPEATED)


_BY_NUMBER = {int(code): code for code in ResultCode}


def code_of(number: int) -> ResultCode:
    """Return the code with this number; `ValueError` if there is none."""
    try:
        return _BY_NUMBER[number]
    except KeyError:
        raise ValueError(f"{number} is not a result code") from None
