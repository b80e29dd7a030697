"""Every failure derives from ``Failure`` and is exported by ``laburnumswitch.exceptions``."""

from pkgutil import iter_modules

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch import exceptions


def subclasses(failure):
    for subclass in failure.__subclasses__():
        yield subclass
        yield from subclasses(subclass)


class TestExceptions(TestCase):
    def test_the_package_exports_every_failure(self):
        defined = {
            name
            for module in iter_modules(exceptions.__path__)
            for name, value in vars(
                __import__(f"{exceptions.__name__}.{module.name}", fromlist=["_"])
            ).items()
            if isinstance(value, type) and value.__module__.startswith(exceptions.__name__)
        }
        self.assertThat(set(exceptions.__all__), Equals(defined))

    def test_every_failure_derives_from_the_base_class(self):
        failures = {failure.__name__ for failure in subclasses(exceptions.Failure)}
        self.assertThat({*exceptions.__all__} - failures, Equals({"Failure"}))
