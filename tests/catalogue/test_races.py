"""Concurrent edits, with any order of their store calls and lost answers."""

import asyncio
import contextlib
import itertools

from expression import Ok
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
import msgspec
import pytest

from ibispitch.catalogue import editor as editor_module
from ibispitch.catalogue.documents import Edit
from ibispitch.catalogue.documents import EntryDocument
from ibispitch.catalogue.documents import MAX_EDIT_IDS
from ibispitch.catalogue.editor import AcceptedEdit
from ibispitch.catalogue.editor import Actor
from ibispitch.catalogue.editor import CatalogueEditor
from ibispitch.catalogue.errors import EditFault
from ibispitch.store import StoreClient
from ibispitch.store import StoreError
from testbed.store import Faults
from testbed.store import StoreServer
from tests.catalogue.conftest import make_entry

SERVICES = ['returns', 'bench']
PREFIX = b'ibispitch/test/entries/'


class ScheduledStore:
    """Store client whose calls wait until the test releases them."""

    def __init__(self, client):
        self._permits = asyncio.Semaphore(0)
        self.ended = asyncio.Event()
        for name in ('get', 'put', 'range', 'txn'):
            setattr(self, name, self._scheduled(getattr(client, name)))

    def _scheduled(self, method):
        async def call(*arguments):
            await self._permits.acquire()
            try:
                return await method(*arguments)
            finally:
                self.ended.set()

        return call

    async def release(self):
        """Release one call and wait until it ends."""
        self.ended.clear()
        self._permits.release()
        await self.ended.wait()
        await asyncio.sleep(0)


class UncheckedEditor:
    """Baseline: writes without conditions and repeats failed writes."""

    def __init__(self, store, cluster, actor, *, new_edit_id):
        self._store = store
        self._new_edit_id = new_edit_id

    async def set(self, entry):
        key = PREFIX.decode() + entry.service
        edit_id = self._new_edit_id()
        found = await self._store.get(key)
        old = (
            msgspec.json.decode(found.value, type=EntryDocument).edit_ids
            if found
            else []
        )
        document = EntryDocument(Edit(edit_id, '', ''), [*old, edit_id], entry)
        while True:
            with contextlib.suppress(StoreError):
                value = msgspec.json.encode(document)
                revision = await self._store.put(key, value)
                return Ok(AcceptedEdit(key, revision, edit_id))


class RacingEditors(RuleBasedStateMachine):
    editor_type = CatalogueEditor

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.server = StoreServer()
        self.loop.run_until_complete(self.server.start())
        self.client = StoreClient([self.server.address])
        self.next_number = itertools.count()
        self.edits = {}

    @property
    def running(self):
        return [e for e in self.edits.values() if not e[1].done()]

    @precondition(lambda self: len(self.running) < 4)
    @rule(service=st.sampled_from(SERVICES), port=st.integers(1, 3))
    def start(self, service, port):
        edit_id = f'edit-{next(self.next_number)}'
        store = ScheduledStore(self.client)
        editor = self.editor_type(
            store, 'test', Actor('alice'), new_edit_id=lambda: edit_id
        )
        ramp_s = 1.0 + len(self.edits)
        entry = make_entry(service, port, ramp_s=ramp_s)

        async def start_task():
            return asyncio.create_task(editor.set(entry))

        task = self.loop.run_until_complete(start_task())
        self.edits[edit_id] = (store, task)

    @precondition(lambda self: self.running)
    @rule(
        index=st.integers(0, 3),
        fault=st.sampled_from([None, None, 'lose_answers', 'lose_requests']),
    )
    def step(self, index, fault):
        store, task = self.running[index % len(self.running)]
        self.server.set_faults(Faults(**({fault: 1} if fault else {})))
        self.loop.run_until_complete(self.advance(store, task))
        self.server.set_faults(Faults())

    async def advance(self, store, task):
        await asyncio.wait(
            [asyncio.ensure_future(store.release()), task],
            return_when=asyncio.FIRST_COMPLETED,
        )
        await asyncio.sleep(0)

    @invariant()
    def check(self):
        written = {}
        for item in self.server.core.history:
            if item.key.startswith(PREFIX):
                document = msgspec.json.decode(item.value, type=EntryDocument)
                written.setdefault(item.key, []).append(document)
        ids = [d.edit.edit_id for ds in written.values() for d in ds]
        assert len(ids) == len(set(ids)), 'an edit was applied twice'
        for documents in written.values():
            for old, new in itertools.pairwise(documents):
                expected = [*old.edit_ids, new.edit.edit_id]
                assert new.edit_ids == expected[-MAX_EDIT_IDS:], (
                    'an edit overwrote one that it had not read'
                )
        for edit_id, (_, task) in self.edits.items():
            if not task.done():
                continue
            outcome = task.result()
            if outcome.is_ok() and outcome.ok.changed:
                assert edit_id in ids, 'an accepted edit was not made'
            if outcome.is_error():
                is_unknown = outcome.error.fault is EditFault.OUTCOME_UNKNOWN
                assert is_unknown or edit_id not in ids, (
                    'a refused edit was made'
                )
        last = [documents[-1].entry for documents in written.values()]
        addresses = [a for entry in last for a in entry.addresses]
        assert len(addresses) == len(set(addresses)), (
            'two entries share an address'
        )

    def teardown(self):
        for _, task in self.running:
            task.cancel()
        self.loop.run_until_complete(self.client.close())
        self.loop.run_until_complete(self.server.stop())
        self.loop.close()


class RacingUncheckedEditors(RacingEditors):
    editor_type = UncheckedEditor


SETTINGS = settings(deadline=None, max_examples=60, stateful_step_count=40)


def test_racing_editors(monkeypatch):
    """Guards against edits that are lost, made twice or misreported."""
    monkeypatch.setattr(editor_module, 'WRITE_RETRY_DELAY_S', 0)
    run_state_machine_as_test(RacingEditors, settings=SETTINGS)


def test_baseline_shows_the_failure():
    """Guards against a state machine that cannot detect these faults."""
    once = settings(SETTINGS, database=None, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(RacingUncheckedEditors, settings=once)
