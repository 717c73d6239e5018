from unittest import IsolatedAsyncioTestCase

from cranberryshored.evidence import EvidenceService
from cranberryshored.log import make_logger
from cranberryshored.tests.test_bindings import LeaseStore

WRITER = "a.e1.0000000000000000"


class EvidenceServiceTest(IsolatedAsyncioTestCase):
    async def test_lease_that_the_store_has_revoked_is_replaced(self):
        # Regression: a revoked lease was used for the rest of its hour, and no batch was written.
        store = LeaseStore()
        service = EvidenceService(store, lambda: WRITER, lambda: 0.0, 0.01, make_logger("test"))
        await service.start()
        await service.close()
        self.assertEqual(len(store.model.keys), 2)
        store.model.leases.clear()
        service.renew()
        await service.start()
        await service.close()
        await service.close()
        self.assertFalse(service.pending)
