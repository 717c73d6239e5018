from cranberryshore.messages import Beat
from cranberryshore.pool import Claim
from cranberryshore.pool.store_access import MAX_ANSWER_AGE_SECONDS, MAX_LISTING_AGE_SECONDS
from cranberryshored.pool.exchange import BEAT_SECONDS
from cranberryshored.pool.tests.test_exchange import FOLLOWER, SCHEDULER, ExchangeTestCase


class StoreAccessTestCase(ExchangeTestCase):
    """A pool of a scheduler and a follower, of which the platform's store answers some."""

    def read_registrations(self, age: float) -> None:
        """Set the age that the registrations of this instance have in the next round."""
        self.exchange.group.listing_read_at = self.now + BEAT_SECONDS - age

    def run_round(self, store_age: float | None) -> None:
        """Hear a follower whose store has answered some time ago, and run a round."""
        self.now += BEAT_SECONDS
        follows = SCHEDULER.incarnation
        beat = Beat(FOLLOWER, 1, 0, 0, 0, self.now, follows=follows, store_age=store_age)
        self.exchange.deliver(FOLLOWER.incarnation, beat)
        self.exchange._run_round(self.now)

    def successors(self) -> set[str]:
        beats = [item for item in self.transport.sent if isinstance(item, Beat)]
        return {beat.successor for beat in beats}


class StoreAccessTest(StoreAccessTestCase):
    """A scheduler that the platform's store rejects, while it answers other instances."""

    def test_scheduler_goes_on_by_registrations_that_others_know_to_be_old(self):
        self.read_registrations(MAX_LISTING_AGE_SECONDS + 0.1)
        self.run_round(store_age=0.5)
        self.assertEqual(len(self.exchange.listener.ended), 1)
        self.assertEqual(self.successors(), {"", FOLLOWER.incarnation})

    def test_scheduler_goes_on_while_the_store_answers_nobody(self):
        self.read_registrations(MAX_LISTING_AGE_SECONDS + 0.1)
        self.run_round(store_age=MAX_ANSWER_AGE_SECONDS + 0.1)
        self.run_round(store_age=None)
        self.assertEqual(self.exchange.listener.ended, [])

    def test_scheduler_keeps_its_claim_while_it_reads_the_registrations(self):
        self.read_registrations(MAX_LISTING_AGE_SECONDS)
        self.run_round(store_age=0.1)
        self.assertEqual(self.exchange.listener.ended, [])

    def test_scheduler_of_a_zone_that_is_cut_off_keeps_its_claim(self):
        self.exchange.group.claim = Claim(1, zone="a")
        self.read_registrations(10.0)
        self.run_round(store_age=0.1)
        self.assertEqual(self.exchange.listener.ended, [])


class InheritedRegistrationsTest(StoreAccessTestCase):
    """A scheduler that begins with the registrations that a former one has read."""

    def follow(self, listing_age: float) -> None:
        """Follow another scheduler, whose registrations have an age."""
        group = self.exchange.group
        group.claim, group.listing_read_at = None, float("-inf")
        beat = Beat(FOLLOWER, 1, 0, 0, 0, self.now, claim=Claim(1), listing_age=listing_age)
        for _ in range(2):
            self.now += BEAT_SECONDS
            self.exchange.deliver(FOLLOWER.incarnation, beat)

    def claim(self, answer_age: float) -> None:
        """Claim the workers; the store has answered this instance some time ago."""
        self.exchange.group.record_claim(Claim(2), self.now)
        self.exchange.follow()
        self.exchange.listener.store_seconds = answer_age

    def test_next_scheduler_that_is_rejected_too_takes_old_registrations_for_new_ones(self):
        self.follow(listing_age=MAX_LISTING_AGE_SECONDS)
        self.claim(answer_age=MAX_ANSWER_AGE_SECONDS + 0.1)
        self.run_round(store_age=0.1)
        self.assertEqual(len(self.exchange.listener.ended), 1)

    def test_next_scheduler_hands_over_before_it_can_read_the_registrations(self):
        self.follow(listing_age=MAX_LISTING_AGE_SECONDS)
        self.claim(answer_age=0.2)
        self.run_round(store_age=0.1)
        self.assertEqual(self.exchange.listener.ended, [])

    def test_next_scheduler_whose_list_of_workers_is_not_answered_goes_on(self):
        self.follow(listing_age=MAX_LISTING_AGE_SECONDS)
        self.claim(answer_age=0.2)
        self.now += MAX_LISTING_AGE_SECONDS
        self.run_round(store_age=0.1)
        self.assertEqual(len(self.exchange.listener.ended), 1)

    def test_next_scheduler_hands_over_while_it_reads_page_by_page(self):
        self.follow(listing_age=MAX_LISTING_AGE_SECONDS)
        self.claim(answer_age=0.2)
        self.now += MAX_LISTING_AGE_SECONDS
        self.exchange.group.page_read_at = self.now
        self.run_round(store_age=0.1)
        self.assertEqual(self.exchange.listener.ended, [])

    def test_next_scheduler_hands_back_to_one_that_could_not_read_the_registrations(self):
        self.follow(listing_age=MAX_LISTING_AGE_SECONDS)
        beat = Beat(FOLLOWER, 1, 0, 0, 0, self.now, successor="another")
        self.exchange.deliver(FOLLOWER.incarnation, beat)
        self.claim(answer_age=0.2)
        self.now += MAX_LISTING_AGE_SECONDS
        self.run_round(store_age=0.1)
        self.assertEqual(self.exchange.listener.ended, [])
        self.read_registrations(0.1)
        self.now += MAX_LISTING_AGE_SECONDS + 0.1
        self.run_round(store_age=0.1)
        self.assertEqual(len(self.exchange.listener.ended), 1)

    def test_first_scheduler_hands_over_before_it_can_read_the_registrations(self):
        self.exchange.group.listing_read_at = float("-inf")
        self.claim(answer_age=MAX_ANSWER_AGE_SECONDS + 0.1)
        self.run_round(store_age=0.1)
        self.assertEqual(self.exchange.listener.ended, [])

    def test_age_of_the_registrations_is_not_told(self):
        self.read_registrations(0.7)
        self.run_round(store_age=0.1)
        ages = [beat.listing_age for beat in self.transport.sent if isinstance(beat, Beat)]
        self.assertAlmostEqual(max(age for age in ages if age is not None), 0.7)
