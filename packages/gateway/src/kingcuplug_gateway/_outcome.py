"""What a caller is told of the outcome of its request."""

from kingcuplug_http import Response, end_to_end_headers, error_response

__all__ = ["callers_response"]

# Callers take these statuses as the statement that the request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def callers_response(response: Response) -> Response:
    """Return what the caller gets for a server's response to a request that has run.

    A server that fails may use a status that tells the caller to send the request
    again. The caller gets 502 in its place, without the server's signature, which must
    not stand beside another status.
    """
    if response.status in _NOT_RUN_STATUSES:
        return error_response(502, f"the server failed with status {response.status}")
    headers = end_to_end_headers(response.headers)
    return Response(response.status, headers, response.body, response.fields)
