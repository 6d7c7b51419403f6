"""HTTP rules of the request pipeline, without sockets.

Example:
    >>> from egretrock_node.protocol.http import KeyCredentials
    >>> presented = KeyCredentials().extract([(b"x-api-key", b"k1")], None)
    >>> presented.ok.key, presented.ok.headers
    (b'k1', [])
"""

from egretrock_node.protocol.http._caller_protocol import (
    CallerOptions,
    CallerProtocol,
)
from egretrock_node.protocol.http._credentials import (
    Credentials,
    ExtractedKey,
    KeyCredentials,
    digest_key,
    path_contains_key,
)
from egretrock_node.protocol.http._framing import (
    MAX_LENGTH_DIGITS,
    RequestHead,
    bad_request,
    check_head,
    head_line_error,
    is_persistent,
    keep_alive_s,
)
from egretrock_node.protocol.http._headers import (
    HeaderList,
    filter_request_headers,
    filter_response_headers,
    header_values,
)
from egretrock_node.protocol.http._refusals import (
    AnswerHead,
    RefusalAnswer,
    RequestIds,
    refusal_answer,
)
from egretrock_node.protocol.http._routing import RouteMatch, Routing
from egretrock_node.protocol.http._target_protocol import (
    AnswerInfo,
    TargetCondition,
    TargetHealth,
    TargetLoad,
    TargetProtocol,
)

__all__ = [
    "MAX_LENGTH_DIGITS",
    "AnswerHead",
    "AnswerInfo",
    "CallerOptions",
    "CallerProtocol",
    "Credentials",
    "ExtractedKey",
    "HeaderList",
    "KeyCredentials",
    "RefusalAnswer",
    "RequestHead",
    "RequestIds",
    "RouteMatch",
    "Routing",
    "TargetCondition",
    "TargetHealth",
    "TargetLoad",
    "TargetProtocol",
    "bad_request",
    "check_head",
    "digest_key",
    "filter_request_headers",
    "filter_response_headers",
    "head_line_error",
    "header_values",
    "is_persistent",
    "keep_alive_s",
    "path_contains_key",
    "refusal_answer",
]
