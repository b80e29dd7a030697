"""Configurations that entries send to each other, of many routes that change often."""

from gzip import decompress

from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.connection.lenient import decode_known_fields
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.leadership.compressed_configuration import CompressedConfigurations
from laburnumswitch.process.leadership.messages import RelayedConfiguration
from tests.process.dispatch.harness import QUEUE


def make_configuration(version):
    queues = {
        f"q{number}": QUEUE._replace(name=f"q{number}", path_prefix=f"/{number * 7919:x}/")
        for number in range(1000)
    }
    return QueueConfiguration(version, queues, {})


class TestCompressedConfigurations(TestCase):
    def test_each_version_and_its_age_are_sent_compressed(self):
        compressed = CompressedConfigurations()
        for version, age_s in ((1, 0.5), (1, None), (2, 0.1)):
            relayed = RelayedConfiguration(make_configuration(version), age_s)
            body = compressed.encode(relayed)
            decoded = decode_known_fields(decompress(body), RelayedConfiguration)
            self.assertThat(decoded, Equals(relayed))
            self.assertThat(len(body), LessThan(len(encode(relayed)) / 4))
