"""Edits of the catalogue in the store.

An edit is a compare-and-swap on the ``mod_revision`` of its key, so of two
concurrent edits at most one is made. When the answer to a write is lost, the
same transaction is sent again with the same edit id. Both copies have the
same condition, so at most one takes effect. The answer to the second one
contains the document with the ids of its last edits, which show whether the
first one took effect. A read would not be enough, since a copy that is still
in transit could take effect after the read.
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
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.documents import entry_key
from ibispitch.catalogue.documents import EntryDocument
from ibispitch.catalogue.documents import MAX_EDIT_IDS
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

#: Key that every edit of addresses compares and writes. No two entries may
#: share an address, and this check covers several keys: with a
#: compare-and-swap on the entry alone, two concurrent edits could both add
#: the same address.
ADDRESS_GUARD_KEY = 'guards/addresses'
#: Attempts of an edit of addresses when other such edits are made meanwhile.
MAX_GUARD_ATTEMPTS = 8
#: Attempts of a write until its outcome is known.
MAX_WRITE_ATTEMPTS = 3
WRITE_RETRY_DELAY_S = 0.1


class Actor(msgspec.Struct, frozen=True):
    """Author of edits, with permissions.

    :param name: recorded with each edit.
    :param owners: owners whose entries may be edited; ``None`` allows all
        entries and data centres.
    """

    name: str
    owners: frozenset[str] | None = None

    def may_edit(self, owner: str) -> bool:
        """Return whether entries of an owner may be edited."""
        return self.owners is None or owner in self.owners


class AcceptedEdit(msgspec.Struct, frozen=True):
    """Result of an edit that the store has accepted.

    :param key: key without the cluster prefix.
    :param version: version of the document; the edit is in force in a process
        whose version is this one or greater.
    :param edit_id: id of the edit, empty if there was nothing to change.
    :param changed: whether the edit changed the document.
    :param superseded: whether a later edit was made already; then ``version``
        is the version of the later one.
    """

    key: str
    version: int
    edit_id: str
    changed: bool = True
    superseded: bool = False


class StoredDocument(NamedTuple):
    """Version and document of a key in the store.

    :param version: ``mod_revision``, 0 if the key does not exist.
    :param document: ``None`` if there is none or if it does not parse.
    """

    key: str
    version: int
    document: Document | None

    @property
    def entry(self) -> Entry | None:
        """The entry, ``None`` if there is none."""
        document = self.document
        return document.entry if isinstance(document, EntryDocument) else None

    @property
    def is_malformed(self) -> bool:
        """Whether the value does not parse."""
        return self.version > 0 and self.document is None

    @property
    def edit_ids(self) -> list[str]:
        """Ids of the last edits, oldest first."""
        return list(self.document.edit_ids) if self.document else []


class PlannedWrite(NamedTuple):
    """A write that an edit is about to make.

    :param current: the document that the edit replaces.
    :param document: the new document.
    :param guard_version: version of the address guard when the addresses
        were checked, ``None`` if no address is added.
    """

    current: StoredDocument
    document: Document
    guard_version: int | None


ChooseEntry = Callable[[StoredDocument], Result[Entry | None, EditError]]
Outcome = Result[AcceptedEdit, EditError]


def _new_edit_id() -> str:
    return uuid.uuid4().hex


def _utc_now() -> datetime:
    return datetime.now(UTC)


class CatalogueEditor:
    """Makes the edits of one actor.

    Every method has the parameter ``expected``: the version that the actor
    has seen. If it is given and no longer current, the edit is a conflict; 0
    requires that the entry does not exist. Without it, the edit applies to
    the current version in the store and conflicts only with concurrent
    edits.

    :param store: the store.
    :param cluster: name of the installation.
    :param actor: author of the edits.
    :param number_of: returns the number of a service.
    :param new_edit_id: returns a unique id.
    :param utc_now: returns the time to record with an edit.
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

        def choose(current: StoredDocument) -> Result[Entry | None, EditError]:
            if current.entry is None:
                return Error(_not_found_error(current))
            document = _apply_merge_patch(
                msgspec.to_builtins(current.entry), changes
            )
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
        """Remove an entry.

        Its document stays in the store without the entry, so that versions
        do not decrease.

        :param service: the service.
        :param expected: see the class.
        :returns: as for :meth:`set`.
        """

        def choose(current: StoredDocument) -> Result[Entry | None, EditError]:
            if current.entry is None and not current.is_malformed:
                return Error(_not_found_error(current))
            return Ok(None)

        return await self._edit_entry(service, choose, expected)

    async def take_out_of_service(
        self, name: str, expected: int | None = None
    ) -> Outcome:
        """Take a data centre out of service.

        :param name: the data centre.
        :param expected: see the class.
        :returns: as for :meth:`set`; ``changed`` is false if it was out.
        """
        return await self._set_datacentre(name, DatacentreState.OUT, expected)

    async def return_to_service(
        self, name: str, expected: int | None = None
    ) -> Outcome:
        """Return a data centre to service.

        :param name: the data centre.
        :param expected: see the class.
        :returns: as for :meth:`set`; ``changed`` is false if it was in.
        """
        return await self._set_datacentre(name, DatacentreState.IN, expected)

    async def _edit_entry(
        self, service: str, choose: ChooseEntry, expected: int | None
    ) -> Outcome:
        key = entry_key(service)
        edit = self._new_edit()
        for _ in range(MAX_GUARD_ATTEMPTS):
            try:
                plan = await self._plan_entry(key, choose, expected, edit)
            except StoreError as error:
                return Error(_store_error(error))
            if plan.is_error() or isinstance(plan.ok, AcceptedEdit):
                return plan
            outcome = await self._write(plan.ok)
            if outcome is not None:
                return outcome
            # The next attempt must not apply to the result of a concurrent
            # edit.
            expected = plan.ok.current.version
        return Error(
            EditError(
                EditFault.CONFLICT,
                f'other edits changed addresses {MAX_GUARD_ATTEMPTS} times'
                ' during this edit',
                'repeat the edit',
            )
        )

    async def _plan_entry(
        self, key: str, choose: ChooseEntry, expected: int | None, edit: Edit
    ) -> Result[PlannedWrite | AcceptedEdit, EditError]:
        """Return the write for an edit, or the result if none is needed.

        :raises StoreError: if a read fails.
        """
        current = await self._read_document(key)
        refusal = _version_conflict(current, expected)
        if refusal is not None:
            return Error(refusal)
        choice = choose(current)
        if choice.is_error():
            return choice
        entry = choice.ok
        refusal = self._actor_refusal(current, entry)
        if refusal is not None:
            return Error(refusal)
        if current.entry is not None and entry == current.entry:
            return Ok(AcceptedEdit(key, current.version, '', changed=False))
        guard_version = None
        if entry is not None and _adds_addresses(current.entry, entry):
            guard_version = (
                await self._read_document(ADDRESS_GUARD_KEY)
            ).version
            entries = await self._read_entries(guard_version)
            check = check_unique(entry, entries, self._number_of)
            if check.is_error():
                return check
        document = EntryDocument(edit, _next_edit_ids(current, edit), entry)
        return Ok(PlannedWrite(current, document, guard_version))

    async def _set_datacentre(
        self, name: str, state: DatacentreState, expected: int | None
    ) -> Outcome:
        key = datacentre_key(name)
        if self._actor.owners is not None:
            return Error(_forbidden_error(self._actor, f'data centre {name}'))
        try:
            datacentre = msgspec.convert(
                {'name': name, 'state': state.value}, Datacentre
            )
        except msgspec.ValidationError as error:
            return Error(
                EditError(EditFault.INVALID, str(error), 'correct the name')
            )
        try:
            current = await self._read_document(key)
        except StoreError as error:
            return Error(_store_error(error))
        refusal = _version_conflict(current, expected)
        if refusal is not None:
            return Error(refusal)
        known = current.document
        if isinstance(known, DatacentreDocument):
            if known.datacentre == datacentre:
                return Ok(
                    AcceptedEdit(key, current.version, '', changed=False)
                )
        edit = self._new_edit()
        document = DatacentreDocument(
            edit, _next_edit_ids(current, edit), datacentre
        )
        outcome = await self._write(PlannedWrite(current, document, None))
        if outcome is None:
            raise AssertionError('edits of data centres have no address guard')
        return outcome

    def _new_edit(self) -> Edit:
        time = self._utc_now().isoformat(timespec='milliseconds')
        return Edit(self._new_edit_id(), self._actor.name, time)

    def _actor_refusal(
        self, current: StoredDocument, entry: Entry | None
    ) -> EditError | None:
        affected_entries = [known for known in (current.entry, entry) if known]
        for known in affected_entries:
            if not self._actor.may_edit(known.owner):
                target = f'entry {known.service} of owner {known.owner}'
                return _forbidden_error(self._actor, target)
        if current.is_malformed and self._actor.owners is not None:
            # The owner of a malformed document is unknown.
            return _forbidden_error(self._actor, f'malformed {current.key}')
        return None

    async def _read_document(self, key: str) -> StoredDocument:
        return _stored_document(key, await self._store.get(self._prefix + key))

    async def _read_entries(self, guard_version: int) -> list[Entry]:
        found = await self._store.range(f'{self._prefix}entries/')
        if found.revision < guard_version:
            # The endpoint lags behind and may not have the edit that wrote
            # this version of the guard.
            raise StoreError(
                StoreFault.UNAVAILABLE,
                f'entries were read at revision {found.revision}, before'
                f' revision {guard_version}',
            )
        state = CatalogueState()
        for item in found.items:
            state.apply(item.key, item.mod_revision, item.value)
        return list(state.entries().values())

    async def _write(self, planned: PlannedWrite) -> Outcome | None:
        """Write a document and find out whether the edit was made.

        :returns: the outcome, or ``None`` if addresses of other entries have
            been edited since the check.
        """
        may_have_been_made = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
            try:
                result = await self._send_write(planned)
            except StoreError as error:
                may_have_been_made = (
                    may_have_been_made or error.may_have_taken_effect
                )
                if not may_have_been_made:
                    return Error(_store_error(error))
            else:
                return self._outcome_of(planned, result, may_have_been_made)
        return Error(_outcome_unknown_error(planned))

    async def _send_write(self, planned: PlannedWrite) -> TxnResult:
        key = self._prefix + planned.current.key
        guard = self._prefix + ADDRESS_GUARD_KEY
        value = msgspec.json.encode(planned.document)
        compares = [Compare.on_mod_revision(key, planned.current.version)]
        writes = [Put(key, value)]
        if planned.guard_version is not None:
            compares.append(
                Compare.on_mod_revision(guard, planned.guard_version)
            )
            edit_id = planned.document.edit.edit_id
            writes.append(Put(guard, edit_id.encode()))
        return await self._store.txn(compares, writes, [Read(key)])

    def _outcome_of(
        self,
        planned: PlannedWrite,
        result: TxnResult,
        may_have_been_made: bool,
    ) -> Outcome | None:
        key = planned.current.key
        edit_id = planned.document.edit.edit_id
        if result.succeeded:
            return Ok(AcceptedEdit(key, result.revision, edit_id))
        found = _stored_document(key, result.read.get(self._prefix + key))
        if edit_id in found.edit_ids:
            is_last = found.edit_ids[-1] == edit_id
            return Ok(
                AcceptedEdit(
                    key, found.version, edit_id, superseded=not is_last
                )
            )
        if found.version == planned.current.version:
            # Only the guard has changed. An earlier copy of this write has
            # the same condition on the guard, so it cannot take effect either.
            return None
        if may_have_been_made and not _lists_all_edits_since(
            found, planned.current
        ):
            return Error(_outcome_unknown_error(planned))
        return Error(_conflict_error(found))


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


def _stored_document(key: str, stored: KeyValue | None) -> StoredDocument:
    if stored is None:
        return StoredDocument(key, 0, None)
    try:
        document = parse_document(key, stored.value)
    except DocumentError:
        document = None
    return StoredDocument(key, stored.mod_revision, document)


def _next_edit_ids(current: StoredDocument, edit: Edit) -> list[str]:
    return [*current.edit_ids, edit.edit_id][-MAX_EDIT_IDS:]


def _lists_all_edits_since(
    found: StoredDocument, base: StoredDocument
) -> bool:
    """Return whether a document lists all edits since an earlier version."""
    if found.document is None:
        return False
    if base.edit_ids:
        return base.edit_ids[-1] in found.edit_ids
    return len(found.edit_ids) < MAX_EDIT_IDS


def _adds_addresses(old: Entry | None, new: Entry) -> bool:
    return old is None or not set(new.addresses) <= set(old.addresses)


def _apply_merge_patch(document: Any, changes: Any) -> Any:
    """Apply a JSON merge patch.

    >>> _apply_merge_patch({'a': {'b': 1, 'c': 2}}, {'a': {'b': None, 'd': 3}})
    {'a': {'c': 2, 'd': 3}}
    """
    if not isinstance(changes, dict):
        return changes
    base = document if isinstance(document, dict) else {}
    updated = {
        key: _apply_merge_patch(base.get(key), value)
        for key, value in changes.items()
        if value is not None
    }
    kept = {key: value for key, value in base.items() if key not in changes}
    return kept | updated


def _version_conflict(
    current: StoredDocument, expected: int | None
) -> EditError | None:
    if expected is None or expected == current.version:
        return None
    is_absent = current.entry is None and not current.is_malformed
    if expected == 0 and is_absent and current.key.startswith('entries/'):
        return None
    return _conflict_error(current)


def _not_found_error(current: StoredDocument) -> EditError:
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


def _forbidden_error(actor: Actor, target: str) -> EditError:
    owners = ', '.join(sorted(actor.owners or ())) or 'no owner'
    return EditError(
        EditFault.FORBIDDEN,
        f'{actor.name} may edit entries of {owners}, not {target}',
        'use a token of that owner or of an operator',
    )


def _conflict_error(found: StoredDocument) -> EditError:
    other = found.document.edit if found.document else None
    by = f'by {other}' if other else 'outside of ibispitch'
    return EditError(
        EditFault.CONFLICT,
        f'{found.key} was changed {by}; it is at version {found.version}',
        'show the current document and repeat the edit if it still applies',
        other,
    )


def _outcome_unknown_error(planned: PlannedWrite) -> EditError:
    edit_id = planned.document.edit.edit_id
    return EditError(
        EditFault.OUTCOME_UNKNOWN,
        f'the store became unavailable while {planned.current.key} was'
        ' written',
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
        'traffic continues with the catalogue in force; repeat the edit when'
        ' the store answers',
    )
