"""Edits of the catalogue in the store.

An edit is a compare-and-swap on the ``mod_revision`` of its key, so of two
racing edits at most one is made. When the answer to a write is lost, the
same transaction is sent again under the same edit id. Both copies have the
same condition, so at most one takes effect, and the answer to the second
one contains the document with the ids of its last edits, which tells
whether the first one did. Merely reading would not settle it, since a copy
that is still on its way could take effect after the read.
"""

import asyncio
from collections.abc import Callable
from datetime import datetime
from datetime import UTC
from typing import Any
from typing import NamedTuple
import uuid

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from ibispitch.catalogue.checks import check_entry
from ibispitch.catalogue.checks import check_unique
from ibispitch.catalogue.checks import parse_entry
from ibispitch.catalogue.core import CatalogueState
from ibispitch.catalogue.documents import cluster_prefix
from ibispitch.catalogue.documents import Datacentre
from ibispitch.catalogue.documents import datacentre_key
from ibispitch.catalogue.documents import DatacentreDocument
from ibispitch.catalogue.documents import DatacentreState
from ibispitch.catalogue.documents import Document
from ibispitch.catalogue.documents import DocumentError
from ibispitch.catalogue.documents import Edit
from ibispitch.catalogue.documents import EDIT_HISTORY
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.documents import entry_key
from ibispitch.catalogue.documents import EntryDocument
from ibispitch.catalogue.documents import parse_document
from ibispitch.catalogue.errors import EditError
from ibispitch.catalogue.errors import EditFault
from ibispitch.ids import service_number
from ibispitch.ids import ServiceNumber
from ibispitch.store import Compare
from ibispitch.store import KeyValue
from ibispitch.store import Put
from ibispitch.store import Read
from ibispitch.store import StoreClient
from ibispitch.store import StoreError
from ibispitch.store import StoreFault
from ibispitch.store import TxnResult

#: Key that every edit of addresses compares and writes. The check that no
#: two entries share an address spans keys, so a CAS on the entry alone
#: would let two racing edits both take one address.
ADDRESS_GUARD_KEY = 'guards/addresses'
#: How often an edit of addresses starts anew because another one was made.
GUARD_ATTEMPTS = 8
#: How often a write is sent until its outcome is known.
SETTLE_ATTEMPTS = 3
SETTLE_PAUSE_S = 0.1


class Actor(msgspec.Struct, frozen=True):
    """Who edits.

    :param name: recorded with each edit.
    :param owners: owners whose entries may be edited; ``None`` allows all
        entries and data centres.
    """

    name: str
    owners: frozenset[str] | None = None

    def may_edit(self, owner: str) -> bool:
        """Tell whether entries of an owner may be edited."""
        return self.owners is None or owner in self.owners


class AcceptedEdit(msgspec.Struct, frozen=True):
    """An edit that is in the store.

    :param key: key below the cluster prefix.
    :param version: version of the document; a process that has this or a
        greater one in force has the edit in force.
    :param edit_id: id of the edit, empty if nothing had to be changed.
    :param changed: whether the edit changed the document.
    :param superseded: whether a later edit has already followed; then
        ``version`` is the version of the later one.
    """

    key: str
    version: int
    edit_id: str
    changed: bool = True
    superseded: bool = False


class Current(NamedTuple):
    """What the store holds under a key before an edit.

    :param version: ``mod_revision``, 0 if the key does not exist.
    :param document: ``None`` if there is none or it does not parse.
    """

    key: str
    version: int
    document: Document | None

    @property
    def entry(self) -> Entry | None:
        """The entry, if there is one."""
        document = self.document
        return document.entry if isinstance(document, EntryDocument) else None

    @property
    def is_malformed(self) -> bool:
        """Whether the value does not parse."""
        return self.version > 0 and self.document is None

    @property
    def edit_ids(self) -> list[str]:
        """Ids of the last edits, the latest one last."""
        return list(self.document.edit_ids) if self.document else []


class Change(NamedTuple):
    """A write that an edit wants to make.

    :param guard_version: version of the address guard at which the
        addresses were checked, ``None`` if they do not change.
    """

    current: Current
    document: Document
    guard_version: int | None


Choose = Callable[[Current], Result[Entry | None, EditError]]
Outcome = Result[AcceptedEdit, EditError]


def _new_edit_id() -> str:
    return uuid.uuid4().hex


def _utc_now() -> datetime:
    return datetime.now(UTC)


class CatalogueEditor:
    """Edits by one actor.

    Every method takes ``expected``: the version that the actor has seen. If
    it is given and no longer current, the edit is a conflict; 0 requires
    that the entry does not exist. Without it the edit applies to what the
    store holds at the time, and conflicts only with edits that race it.

    :param store: the store.
    :param cluster: name of the installation.
    :param actor: who edits.
    :param number_of: returns the number of a service.
    :param new_edit_id: returns a unique id.
    :param utc_now: returns the time that is recorded with an edit.
    """

    def __init__(
        self,
        store: StoreClient,
        cluster: str,
        actor: Actor,
        *,
        number_of: Callable[[str], ServiceNumber] = service_number,
        new_edit_id: Callable[[], str] = _new_edit_id,
        utc_now: Callable[[], datetime] = _utc_now,
    ):
        self._store = store
        self._prefix = cluster_prefix(cluster)
        self._actor = actor
        self._number_of = number_of
        self._new_edit_id = new_edit_id
        self._utc_now = utc_now

    async def set(self, entry: Entry, expected: int | None = None) -> Outcome:
        """Create or replace an entry.

        :param entry: the entry.
        :param expected: see the class.
        :returns: ``Ok`` of :class:`AcceptedEdit` or ``Error`` of
            :class:`EditError`.
        """
        return await self._edit_entry(
            entry.service, lambda current: check_entry(entry), expected
        )

    async def edit(
        self,
        service: str,
        changes: dict[str, Any],
        expected: int | None = None,
    ) -> Outcome:
        """Change some fields of an entry.

        :param service: the service.
        :param changes: fields in the form of a JSON merge patch: objects
            are merged, ``None`` restores the default.
        :param expected: see the class.
        :returns: as for :meth:`set`.
        """

        def choose(current: Current) -> Result[Entry | None, EditError]:
            if current.entry is None:
                return Error(_absent(current))
            document = _merged(msgspec.to_builtins(current.entry), changes)
            if document.get('service') != service:
                return Error(
                    EditError(
                        EditFault.INVALID,
                        'the service of an entry cannot be changed',
                        'set a new entry and remove the old one',
                    )
                )
            return parse_entry(document)

        return await self._edit_entry(service, choose, expected)

    async def remove(
        self, service: str, expected: int | None = None
    ) -> Outcome:
        """Remove an entry; a tombstone stays, so that versions only grow.

        :param service: the service.
        :param expected: see the class.
        :returns: as for :meth:`set`.
        """

        def choose(current: Current) -> Result[Entry | None, EditError]:
            if current.entry is None and not current.is_malformed:
                return Error(_absent(current))
            return Ok(None)

        return await self._edit_entry(service, choose, expected)

    async def take_out_of_service(
        self, name: str, expected: int | None = None
    ) -> Outcome:
        """Take a data centre out of service.

        :param name: the data centre.
        :param expected: see the class.
        :returns: as for :meth:`set`; not changed if it is out already.
        """
        return await self._set_datacentre(name, DatacentreState.OUT, expected)

    async def return_to_service(
        self, name: str, expected: int | None = None
    ) -> Outcome:
        """Return a data centre to service.

        :param name: the data centre.
        :param expected: see the class.
        :returns: as for :meth:`set`; not changed if it is in already.
        """
        return await self._set_datacentre(name, DatacentreState.IN, expected)

    async def _edit_entry(
        self, service: str, choose: Choose, expected: int | None
    ) -> Outcome:
        key = entry_key(service)
        edit = self._make_edit()
        for _ in range(GUARD_ATTEMPTS):
            try:
                plan = await self._plan_entry(key, choose, expected, edit)
            except StoreError as error:
                return Error(_store_error(error))
            if plan.is_error() or isinstance(plan.ok, AcceptedEdit):
                return plan
            outcome = await self._commit(plan.ok)
            if outcome is not None:
                return outcome
            # Another attempt must not build on an edit that raced this one.
            expected = plan.ok.current.version
        return Error(
            EditError(
                EditFault.CONFLICT,
                f'addresses were edited {GUARD_ATTEMPTS} times meanwhile',
                'repeat the edit',
            )
        )

    async def _plan_entry(
        self, key: str, choose: Choose, expected: int | None, edit: Edit
    ) -> Result[Change | AcceptedEdit, EditError]:
        """Decide on the write; :raises StoreError: from reads."""
        current = await self._load(key)
        refusal = _check_expected(current, expected)
        if refusal is not None:
            return Error(refusal)
        chosen = choose(current)
        if chosen.is_error():
            return chosen
        entry = chosen.ok
        refusal = self._check_actor(current, entry)
        if refusal is not None:
            return Error(refusal)
        if current.entry is not None and entry == current.entry:
            return Ok(AcceptedEdit(key, current.version, '', changed=False))
        guard_version = None
        if entry is not None and _takes_addresses(current.entry, entry):
            guard_version = (await self._load(ADDRESS_GUARD_KEY)).version
            entries = await self._entries(guard_version)
            unique = check_unique(entry, entries, self._number_of)
            if unique.is_error():
                return unique
        document = EntryDocument(edit, _history(current, edit), entry)
        return Ok(Change(current, document, guard_version))

    async def _set_datacentre(
        self, name: str, state: DatacentreState, expected: int | None
    ) -> Outcome:
        key = datacentre_key(name)
        if self._actor.owners is not None:
            return Error(_forbidden(self._actor, f'data centre {name}'))
        try:
            datacentre = msgspec.convert(
                {'name': name, 'state': state.value}, Datacentre
            )
        except msgspec.ValidationError as error:
            return Error(
                EditError(EditFault.INVALID, str(error), 'correct the name')
            )
        try:
            current = await self._load(key)
        except StoreError as error:
            return Error(_store_error(error))
        refusal = _check_expected(current, expected)
        if refusal is not None:
            return Error(refusal)
        known = current.document
        if isinstance(known, DatacentreDocument):
            if known.datacentre == datacentre:
                return Ok(
                    AcceptedEdit(key, current.version, '', changed=False)
                )
        edit = self._make_edit()
        document = DatacentreDocument(
            edit, _history(current, edit), datacentre
        )
        outcome = await self._commit(Change(current, document, None))
        if outcome is None:
            raise AssertionError('there is no guard for data centres')
        return outcome

    def _make_edit(self) -> Edit:
        time = self._utc_now().isoformat(timespec='milliseconds')
        return Edit(self._new_edit_id(), self._actor.name, time)

    def _check_actor(
        self, current: Current, entry: Entry | None
    ) -> EditError | None:
        touched = [known for known in (current.entry, entry) if known]
        for known in touched:
            if not self._actor.may_edit(known.owner):
                what = f'entry {known.service} of owner {known.owner}'
                return _forbidden(self._actor, what)
        if current.is_malformed and self._actor.owners is not None:
            # Nothing tells whose entry a malformed document was.
            return _forbidden(self._actor, f'malformed {current.key}')
        return None

    async def _load(self, key: str) -> Current:
        return _current(key, await self._store.get(self._prefix + key))

    async def _entries(self, guard_version: int) -> list[Entry]:
        found = await self._store.range(f'{self._prefix}entries/')
        if found.revision < guard_version:
            # The endpoint lags: it may lack the edit that the guard counts.
            raise StoreError(
                StoreFault.UNAVAILABLE,
                f'entries are read as of revision {found.revision}, before'
                f' revision {guard_version}',
            )
        state = CatalogueState()
        for item in found.items:
            state.apply(item.key, item.mod_revision, item.value)
        return list(state.entries().values())

    async def _commit(self, change: Change) -> Outcome | None:
        """Write a change and find out whether it was made.

        :returns: the outcome, or ``None`` if addresses of other entries
            were edited since the check.
        """
        is_in_doubt = False
        for attempt in range(SETTLE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(SETTLE_PAUSE_S)
            try:
                result = await self._send(change)
            except StoreError as error:
                is_in_doubt = is_in_doubt or error.may_have_taken_effect
                if not is_in_doubt:
                    return Error(_store_error(error))
            else:
                return self._judge(change, result, is_in_doubt)
        return Error(_unknown(change))

    async def _send(self, change: Change) -> TxnResult:
        key = self._prefix + change.current.key
        guard = self._prefix + ADDRESS_GUARD_KEY
        value = msgspec.json.encode(change.document)
        compares = [Compare.on_mod_revision(key, change.current.version)]
        writes = [Put(key, value)]
        if change.guard_version is not None:
            compares.append(
                Compare.on_mod_revision(guard, change.guard_version)
            )
            edit_id = change.document.edit.edit_id
            writes.append(Put(guard, edit_id.encode()))
        return await self._store.txn(compares, writes, [Read(key)])

    def _judge(
        self, change: Change, result: TxnResult, is_in_doubt: bool
    ) -> Outcome | None:
        key = change.current.key
        edit_id = change.document.edit.edit_id
        if result.succeeded:
            return Ok(AcceptedEdit(key, result.revision, edit_id))
        found = _current(key, result.read.get(self._prefix + key))
        if edit_id in found.edit_ids:
            is_last = found.edit_ids[-1] == edit_id
            return Ok(
                AcceptedEdit(
                    key, found.version, edit_id, superseded=not is_last
                )
            )
        if found.version == change.current.version:
            # Only the guard differs. An earlier copy of this write has the
            # same condition on the guard, so it cannot take effect either.
            return None
        if is_in_doubt and not _reaches_back(found, change.current):
            return Error(_unknown(change))
        return Error(_conflict(found))


async def read_catalogue(
    store: StoreClient, cluster: str
) -> Result[CatalogueState, EditError]:
    """Read the whole catalogue from the store.

    :param store: the store.
    :param cluster: name of the installation.
    :returns: ``Ok`` of the state or ``Error`` of :class:`EditError`.
    """
    state = CatalogueState()
    prefix = cluster_prefix(cluster)
    try:
        for kind in ('entries', 'datacentres'):
            found = await store.range(f'{prefix}{kind}/')
            for item in found.items:
                state.apply(item.key, item.mod_revision, item.value)
    except StoreError as error:
        return Error(_store_error(error))
    return Ok(state)


def _current(key: str, stored: KeyValue | None) -> Current:
    if stored is None:
        return Current(key, 0, None)
    try:
        document = parse_document(key, stored.value)
    except DocumentError:
        document = None
    return Current(key, stored.mod_revision, document)


def _history(current: Current, edit: Edit) -> list[str]:
    return [*current.edit_ids, edit.edit_id][-EDIT_HISTORY:]


def _reaches_back(found: Current, base: Current) -> bool:
    """Tell whether a document lists all edits since an earlier version."""
    if found.document is None:
        return False
    if base.edit_ids:
        return base.edit_ids[-1] in found.edit_ids
    return len(found.edit_ids) < EDIT_HISTORY


def _takes_addresses(old: Entry | None, new: Entry) -> bool:
    return old is None or not set(new.addresses) <= set(old.addresses)


def _merged(document: Any, changes: Any) -> Any:
    """Apply a JSON merge patch.

    >>> _merged({'a': {'b': 1, 'c': 2}}, {'a': {'b': None, 'd': 3}})
    {'a': {'c': 2, 'd': 3}}
    """
    if not isinstance(changes, dict):
        return changes
    base = document if isinstance(document, dict) else {}
    updated = {
        key: _merged(base.get(key), value)
        for key, value in changes.items()
        if value is not None
    }
    kept = {key: value for key, value in base.items() if key not in changes}
    return kept | updated


def _check_expected(
    current: Current, expected: int | None
) -> EditError | None:
    if expected is None or expected == current.version:
        return None
    is_absent = current.entry is None and not current.is_malformed
    if expected == 0 and is_absent and current.key.startswith('entries/'):
        return None
    return _conflict(current)


def _absent(current: Current) -> EditError:
    if current.is_malformed:
        return EditError(
            EditFault.MALFORMED_DOCUMENT,
            f'the value of {current.key} in the store does not parse',
            'replace it by setting the whole entry with an operator token',
        )
    return EditError(
        EditFault.NOT_FOUND,
        f'there is no {current.key}',
        'list the entries and correct the name',
    )


def _forbidden(actor: Actor, what: str) -> EditError:
    owners = ', '.join(sorted(actor.owners or ())) or 'no owner'
    return EditError(
        EditFault.FORBIDDEN,
        f'{actor.name} may edit entries of {owners}, not {what}',
        'use a token of that owner or of an operator',
    )


def _conflict(found: Current) -> EditError:
    other = found.document.edit if found.document else None
    by = f'by {other}' if other else 'outside of ibispitch'
    return EditError(
        EditFault.CONFLICT,
        f'{found.key} was changed {by}; it is at version {found.version}',
        'look at the present document and repeat the edit if it still holds',
        other,
    )


def _unknown(change: Change) -> EditError:
    edit_id = change.document.edit.edit_id
    return EditError(
        EditFault.OUTCOME_UNKNOWN,
        f'the store was lost while {change.current.key} was written',
        f'show it when the store answers again: the edit was made if {edit_id}'
        ' is among its edit_ids',
        edit_id=edit_id,
    )


def _store_error(error: StoreError) -> EditError:
    """Return the edit error for a call that has not taken effect."""
    if error.fault is StoreFault.REJECTED:
        return EditError(
            EditFault.STORE_REJECTED,
            f'the edit was not made: {error}',
            'check the store and its limits',
        )
    return EditError(
        EditFault.STORE_UNAVAILABLE,
        f'the edit was not made: {error}',
        'traffic goes on with the catalogue in force; repeat the edit when'
        ' the store answers',
    )
