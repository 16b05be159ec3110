"""What the command line says when a node's answer states no known cause."""

import httpx
import pytest

from ibismount._api_client import ApiClient, ApiError
from ibismount.errors import ErrorCode


def make_client(status, content):
    transport = httpx.MockTransport(
        lambda request: httpx.Response(status, content=content)
    )
    return ApiClient('http://node.example', token='t', transport=transport)


@pytest.mark.parametrize(
    ('status', 'content'),
    [
        (502, b'<html>bad gateway</html>'),
        (500, b'{"code": "a_code_of_a_newer_node"}'),
        (200, b'not json'),
    ],
)
def test_lost_outcome_is_unknown_and_not_a_bad_request(status, content):
    """A booking that may have run was reported as refused."""
    client = make_client(status, content)
    with pytest.raises(ApiError) as caught:
        client.post('/book', {})
    assert caught.value.code is ErrorCode.OUTCOME_UNKNOWN
    with pytest.raises(ApiError) as caught:
        client.delete('templates', 'a')
    assert caught.value.code is ErrorCode.CHANGE_UNKNOWN
    with pytest.raises(ApiError) as caught:
        client.get('templates')
    assert caught.value.code is ErrorCode.LINK_LOST


def test_refusal_without_a_known_code_is_a_bad_request():
    """A 4xx status says that the request was refused."""
    client = make_client(404, b'{}')
    with pytest.raises(ApiError) as caught:
        client.delete('templates', 'a')
    assert caught.value.code is ErrorCode.BAD_REQUEST
