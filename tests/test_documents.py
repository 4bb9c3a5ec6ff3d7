from __future__ import annotations

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivetray.documents import (
    FILE_LIMIT_BYTES,
    load_document,
    parse_document,
    validate_document,
)
from chivetray.exceptions import FaultsError
from chivetray.generated.object_models import ObjectSet


def faults_of(text: str):
    return validate_document(parse_document(text, "f.yaml"), ObjectSet)


class TestParsing:
    def test_values_keep_their_lines(self):
        document = parse_document("a:\n  - b: 1\n    c: 2\n", "f.yaml")
        assert document.data == {"a": [{"b": 1, "c": 2}]}
        assert document.line_of(("a", 0, "c")) == 3
        assert document.line_of(("a", 0, "missing")) == 2

    @pytest.mark.parametrize(
        ("text", "code", "line"),
        [
            ("a: 1\na: 2\n", 306, 2),
            ("a: &x 1\nb: *x\n", 305, 1),
            ("a: !!python/object:os.system x\n", 305, 1),
            ("a: [1\n", 303, 2),
            ("a: 1\n---\nb: 2\n", 303, 2),
            ("? [a]\n: 1\n", 303, 1),
            ("a: " + "[" * 1000, 304, 1),
        ],
    )
    def test_bad_text_is_refused_with_its_line(self, text, code, line):
        with pytest.raises(FaultsError) as caught:
            parse_document(text, "f.yaml")
        fault = caught.value.faults[0]
        assert (fault.code.number, fault.line) == (code, line)

    @settings(max_examples=200, deadline=None)
    @given(st.text(alphabet="ab:-[]{}&*!?|>'\"#%@, \n\t0.", max_size=200))
    def test_any_text_gives_a_document_or_a_fault(self, text):
        try:
            parse_document(text, "f.yaml")
        except FaultsError as error:
            assert error.faults

    @settings(max_examples=100, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_file_gives_a_document_or_a_fault(self, content):
        path = self.folder / "f.yaml"
        path.write_bytes(content)
        try:
            load_document(path)
        except FaultsError as error:
            assert error.faults

    @pytest.fixture(autouse=True)
    def make_folder(self, tmp_path_factory):
        type(self).folder = tmp_path_factory.mktemp("files")

    @pytest.mark.parametrize(
        ("content", "code"),
        [
            (b"x" * (50 * 1024 * 1024), 301),
            (b"\xff\xfe\x00binary", 302),
            (b"[" * FILE_LIMIT_BYTES, 304),
            (b"- a\n" * (FILE_LIMIT_BYTES // 4), 301),
        ],
    )
    def test_hostile_file_is_refused_within_a_second(self, content, code):
        path = self.folder / "big.yaml"
        path.write_bytes(content)
        started = time.process_time()
        with pytest.raises(FaultsError) as caught:
            load_document(path)
        assert caught.value.code.number == code
        assert time.process_time() - started < 1.0

    def test_missing_file_is_a_fault(self):
        with pytest.raises(FaultsError) as caught:
            load_document(self.folder / "missing.yaml")
        assert caught.value.code.number == 300


class TestValidation:
    def test_unknown_field_comes_with_a_suggestion(self):
        text = "format_version: 1\nservices:\n  - name: a\n    deadline_ms: 5\n"
        unknown = [f for f in faults_of(text) if f.code.number == 307]
        assert [f.line for f in unknown] == [4]
        assert "did you mean 'deadline_s'?" in unknown[0].message
        assert unknown[0].object_name == "a"

    def test_value_with_a_unit_is_refused(self):
        text = (
            "format_version: 1\nservices:\n"
            "  - {name: a, pools: [p], budget: b, deadline_s: 5s}\n"
        )
        (fault,) = faults_of(text)
        assert fault.code.number == 308
        assert "'5s'" in fault.message

    @pytest.mark.parametrize("text", ["", "- 1\n", "text\n", "format_version: 2\n"])
    def test_other_documents_are_refused(self, text):
        assert faults_of(text)
