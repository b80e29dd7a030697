"""Which request heads are accepted and which are refused."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.request_head import parse_head
from laburnumswitch.connection.request_head import RequestHead
from laburnumswitch.exceptions import CallerRefused

REFUSED_LINES = (
    (b"Content-Length: 3", b"Content-Length: 4"),
    (b"Content-Length: 3", b"Content-Length: 3"),
    (b"Content-Length: 3", b"Transfer-Encoding: chunked"),
    (b"Content-Length: 3, 3",),
    (b"Content-Length: +3",),
    (b"Content-Length: 0x3",),
    (b"Content-Length: 3 3",),
    (b"Content-Length:",),
    (b"Content-Length: 9999999999999999",),
    (b"Content_Length: 3",),
    (b"Content-Length : 3",),
    (b"Transfer-Encoding: gzip, chunked",),
    (b"Transfer-Encoding: chunked, identity",),
    (b"Transfer-Encoding: xchunked",),
    (b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"),
    (b"Transfer-Encoding:\x0bchunked",),
    (b"X-Folded: a", b" b"),
    (b"X-Folded: a", b"\tTransfer-Encoding: chunked"),
    (b": empty",),
    (b"no colon",),
    (b"X\x00Y: 1",),
    (b"X: a\x00b",),
    (b"X: a\rb",),
    (b"X: a\nb",),
    (b"X(Y): 1",),
    (b"Host: other.example",),
    (b"Expect: tea",),
)
REFUSED_REQUEST_LINES = (
    (b"GET /", 400),
    (b"GET  / HTTP/1.1", 400),
    (b"GET / HTTP/1.1 ", 400),
    (b" GET / HTTP/1.1", 400),
    (b"G\xc3T / HTTP/1.1", 400),
    (b"GET /\x7f HTTP/1.1", 400),
    (b"GET /a#b HTTP/1.1", 400),
    (b"GET a HTTP/1.1", 400),
    (b"GET http://other.example/ HTTP/1.1", 400),
    (b"GET http://a.example.evil/ HTTP/1.1", 400),
    (b"GET http://a.example@evil/ HTTP/1.1", 400),
    (b"* * HTTP/1.1", 400),
    (b"GET / http/1.1", 400),
    (b"GET / HTTP/2.0", 505),
    (b"GET / HTTP/1.2", 505),
    (b"CONNECT a.example:443 HTTP/1.1", 501),
    (b"TRACE / HTTP/1.1", 501),
)


def head_of(*lines, request_line=b"POST /x HTTP/1.1", host=b"Host: a.example"):
    return parse_head(b"\r\n".join((request_line, host, *lines)))


class TestHead(TestCase):
    def test_ambiguous_headers_are_refused(self):
        for lines in REFUSED_LINES:
            self.expectThat((lines, head_of(*lines))[1], IsInstance(CallerRefused), str(lines))

    def test_malformed_request_lines_are_refused(self):
        for line, status in REFUSED_REQUEST_LINES:
            head = head_of(request_line=line)
            self.expectThat(getattr(head, "status", head), Equals(status), str(line))

    def test_exactly_one_well_formed_host_is_required(self):
        for host in (b"X: 1", b"Host:", b"Host: a b", b"Host: a/b", b"Host: a,b", b"Host: a:b"):
            self.expectThat(head_of(host=host), IsInstance(CallerRefused), str(host))

    def test_host_is_normalised_to_lower_case_without_port(self):
        self.assertThat(head_of(host=b"Host: A.Example:8080").host, Equals("a.example"))

    def test_absolute_target_becomes_origin_form(self):
        head = head_of(request_line=b"GET http://a.example/x?y HTTP/1.1")
        self.assertThat(head.target, Equals("/x?y"))

    def test_keep_alive_follows_the_version_and_the_connection_header(self):
        old = b"GET / HTTP/1.0"
        self.expectThat(head_of().keep_alive, Equals(True))
        self.expectThat(head_of(b"Connection: x, Close").keep_alive, Equals(False))
        self.expectThat(head_of(request_line=old).keep_alive, Equals(False))
        self.expectThat(
            head_of(b"Connection: Keep-Alive", request_line=old).keep_alive, Equals(True)
        )

    def test_values_are_stripped_and_repeats_kept(self):
        head = head_of(b"A: \t 1 2 ", b"a:", b"Content-Length: 007")
        self.assertThat(head, IsInstance(RequestHead))
        self.assertThat(head.values("a"), Equals(["1 2", ""]))
        self.assertThat(head.content_length, Equals(7))
