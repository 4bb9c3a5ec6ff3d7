"""Decoding of organisations, and authorisation by their keys."""

from __future__ import annotations

import base64
from typing import Any

import pytest
from api_helpers import KEY_A, KEY_B, operator_config
from hypothesis import given
from hypothesis import strategies as st

from chivetray.organisations.keys import (
    PresentedKey,
    Refusal,
    Verdict,
    authorise,
    digest_key,
    is_hidden,
)
from chivetray.organisations.model import Organisation, Resources
from chivetray.platform.caller_keys import read_key
from chivetray.platform.redaction import redact_answer, redact_config
from chivetray.platform.stored_records import OperatorConfig, decode_config

DIGEST_A, DIGEST_B = digest_key(KEY_A.encode()), digest_key(KEY_B.encode())


def decode(*rows: Any) -> OperatorConfig:
    config = decode_config(operator_config(Tenants=list(rows)))
    assert config is not None
    return config


class TestDecoding:
    def test_names_weights_caps_keys_and_public_routes_are_read(self) -> None:
        config = decode_config(operator_config())
        assert config is not None and config.requires_keys and not config.faults
        assert config.organisations == {
            "a": Organisation("a", 0.0, Resources(2000)),
            "b": Organisation("b", 2.5),
        }
        assert config.key_owners[DIGEST_A] == "a" and len(config.key_owners) == 3
        assert [queue.public for queue in config.queues] == [False, True]

    @pytest.mark.parametrize(
        "row",
        [
            7,
            {},
            {"Name": ""},
            {"Name": 5, "ApiKeys": ["x"]},
            {"Name": "b", "ApiKeys": ["x"]},
            {"Name": "c", "ApiKeys": [5, None, "", "with space", ["x"]]},
            {"Name": "c", "ApiKeys": "x"},
            {"Name": "c", "Weight": -1},
            {"Name": "c", "Weight": True},
            {"Name": "c", "Cap": {"Cpu": -5, "MemMb": 0.5, "Gpu": "1"}},
            {"Name": "c", "Cap": [1]},
        ],
    )
    def test_a_malformed_entry_leaves_the_rest_in_effect(self, row: Any) -> None:
        """One mistake of an operator must not keep a version from all callers."""
        config = decode({"Name": "b", "ApiKeys": [KEY_B]}, row)
        assert config.key_owners == {DIGEST_B: "b"} and config.faults
        assert config.organisations.get("c", Organisation("c")) == Organisation("c")

    def test_a_key_of_two_organisations_belongs_to_none(self) -> None:
        both = [{"Name": name, "ApiKeys": [KEY_A, name]} for name in "ab"]
        config = decode(*both)
        assert sorted(config.key_owners.values()) == ["a", "b"]
        assert DIGEST_A not in config.key_owners
        assert KEY_A not in "".join(config.faults)

    def test_routes_stay_closed_if_all_entries_are_malformed(self) -> None:
        assert decode({"ApiKeys": ["x"]}).requires_keys
        assert not decode().requires_keys
        assert decode_config(operator_config(Tenants={"Name": "a"})) is None

    def test_only_true_opens_a_route(self) -> None:
        route = {"Host": "h", "PathPrefix": "/", "Service": "s", "Public": "false"}
        config = decode_config(operator_config(Routes=[route]))
        assert config is not None and not config.queues[0].public


class TestRedaction:
    @given(
        st.lists(
            st.fixed_dictionaries(
                {"Name": st.sampled_from(["a", "b", "", 5])},
                optional={
                    "ApiKeys": st.lists(st.sampled_from(["secret1", "secret2", 5, ""]))
                    | st.just("secret3"),
                    "Weight": st.sampled_from([1, -1, "secret4"[:0]]),
                    "Note": st.just("secret5"),
                },
            )
        )
    )
    def test_it_decodes_to_the_same_and_holds_no_key(self, rows: list[Any]) -> None:
        content = operator_config(Tenants=rows)
        redacted = redact_config(content)
        assert decode_config(redacted) == decode_config(content)
        assert not rows or b"secret" not in redacted
        assert redact_config(redacted) == redacted

    def test_content_that_cannot_be_decoded_is_left_out(self) -> None:
        """A row that is cut off may hold keys as well."""
        redacted = redact_config(operator_config()[:-1])
        assert KEY_A.encode() not in redacted and decode_config(redacted) is None

    def test_only_the_configuration_row_of_an_answer_changes(self) -> None:
        def row(table: str, key: str) -> dict[str, Any]:
            value = base64.b64encode(operator_config()).decode()
            return {"Table": table, "Key": key, "Ver": 1, "Value": value}

        rows = [row("jobs", "config"), row("op", "wave/1"), row("op", "config")]
        answer = redact_answer({"rows": rows, "Ver": 4})
        assert answer["rows"][:2] == rows[:2] and answer["Ver"] == 4
        content = base64.b64decode(answer["rows"][2]["Value"])
        assert KEY_A.encode() not in content
        assert decode_config(content) == decode_config(operator_config())

    def test_without_organisations_a_row_is_relayed_as_before(self) -> None:
        content = operator_config(Tenants=None)
        assert redact_config(content) == content

    def test_digests_in_the_operators_row_are_no_keys(self) -> None:
        """Else a digest that a log or a peer shows could be used to configure keys."""
        rows = [{"Name": "a", "ApiKeys": [DIGEST_A.hex()]}]
        assert DIGEST_A not in decode(*rows).key_owners


def header(*values: bytes) -> PresentedKey:
    return read_key([(b"authorization", value) for value in values])


class TestKeys:
    def test_the_header_has_one_form(self) -> None:
        assert header(b"Token key-of-a").digest == DIGEST_A
        assert header(b"token  key-of-a ").digest == DIGEST_A
        assert header().refusal == Refusal.MISSING
        assert header(b"Token x", b"Token x").refusal == Refusal.DUPLICATED
        for value in (b"", b"Token", b"key-of-a", b"Bearer x", b"Token x y", b"\xff"):
            assert header(value).refusal == Refusal.MALFORMED, value

    def test_a_key_is_valid_for_its_organisation_only(self) -> None:
        owners, revoked = {DIGEST_A: "a"}, {DIGEST_B: "b"}
        verdicts = {
            key: authorise(PresentedKey(digest_key(key)), owners, revoked)
            for key in (b"key-of-a", b"key-of-b", b"key-of-", b"Key-of-a", b"")
        }
        assert verdicts.pop(b"key-of-a") == Verdict("a")
        assert verdicts.pop(b"key-of-b") == Verdict("b", Refusal.REVOKED)
        assert set(verdicts.values()) == {Verdict("", Refusal.UNKNOWN)}
        missing = PresentedKey(refusal=Refusal.MISSING)
        assert authorise(missing, {b"": "a"}, {}) == Verdict("", Refusal.MISSING)

    def test_only_jobs_of_other_organisations_are_hidden(self) -> None:
        assert is_hidden("a", "b")
        for owner, caller in (("a", "a"), ("", "a"), ("a", ""), ("", "")):
            assert not is_hidden(owner, caller)
