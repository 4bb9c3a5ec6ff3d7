from __future__ import annotations

import re
import ssl
import subprocess
import sys
import time
from pathlib import Path

import httpcore
import pytest
import trustme
from helpers import FleetPlan, send, wait_until

from chivetray.metrics import Metrics

ROOT = Path(__file__).resolve().parent.parent
ENTRY = "zone-1-e1"


class TestTry:
    def test_readme_command_answers_within_ten_seconds(self):
        started = time.monotonic()
        command = [sys.executable, "-m", "chivetray", "try", "examples/regie.yaml"]
        process = subprocess.Popen(
            command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        try:
            url = "http://127.0.0.1:8080/timber/list/7"
            wait_until(lambda: send(url).status == 200, "an answer", 10)
            assert time.monotonic() - started < 10
        finally:
            process.terminate()
            assert process.wait(10) == 0


class TestTls:
    def test_callers_and_operators_can_be_served_over_tls(self, start_fleet, tmp_path):
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1", "localhost")
        chain, key = tmp_path / "chain.pem", tmp_path / "key.pem"
        chain.write_bytes(b"".join(b.bytes() for b in certificate.cert_chain_pems))
        key.write_bytes(certificate.private_key_pem.bytes())
        files = {"certificate_file": str(chain), "key_file": str(key)}
        fleet = start_fleet(FleetPlan())
        fleet.kill(ENTRY)
        listeners = {"callers_tls": files, "operators_tls": dict(files)}
        fleet.start_entry(ENTRY, listeners=listeners)
        context = ssl.create_default_context()
        authority.configure_trust(context)
        context.check_hostname = False

        def get(port, path):
            url = f"https://{fleet.address(ENTRY)}:{port}{path}"
            with httpcore.ConnectionPool(ssl_context=context) as pool:
                try:
                    return pool.request("GET", url).status
                except httpcore.ConnectError:
                    return 0

        wait_until(lambda: get(8081, "/readyz") == 200, "ready over TLS")
        assert get(8080, "/work") == 200
        assert send(fleet.url(ENTRY)).status == 0


class TestInvariants:
    def test_broken_invariant_is_counted(self):
        metrics = Metrics()
        metrics.report_broken_invariant("one dispatch", request="r")
        text = metrics.render().decode()
        assert 'chivetray_invariants_broken_total{check="one dispatch"} 1.0' in text


class TestOperatorsPort:
    @pytest.fixture(scope="class")
    @classmethod
    def fleet(cls, start_fleet):
        return start_fleet(FleetPlan(service={"deadline_s": 1.0}))

    def test_metrics_count_refusals_by_reason(self, fleet):
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, refuse=True)
        assert send(fleet.url(ENTRY)).code == 112
        for name in fleet.endpoints:
            fleet.endpoint_faults(name)
        text = send(fleet.operators_url(ENTRY, "/metrics")).body.decode()
        line = (
            r'^chivetray_refusals_total\{reason="REFUSED_BY_ENDPOINT",service="work"\}'
        )
        assert re.search(line + r" 1\.0$", text, re.M), text
        assert 'chivetray_retries_total{reason="refused_by_endpoint"' in text
        assert "chivetray_request_latency_seconds" in text

    def test_status_names_the_entry_and_its_revision(self, fleet):
        done = fleet.command("status", "--platform", fleet.platform)
        assert f"{ENTRY} in zone-1: ready, revision 1" in done.stdout

    def test_explain_tells_of_an_object(self, fleet):
        done = fleet.command("explain", "work", "--platform", fleet.platform)
        assert "service work in revision 1" in done.stdout
        assert "deadline_s: 1.0" in done.stdout

    def test_explain_tells_why_a_request_was_refused(self, fleet):
        headers = {"x-request-id": "too-late", "request-timeout-s": "never"}
        assert send(fleet.url(ENTRY), headers=headers).code == 103
        done = fleet.command("explain", "too-late", "--platform", fleet.platform)
        assert "103 BAD_DEADLINE, ran: no" in done.stdout
        assert "'never' is not valid" in done.stdout

    def test_explain_tells_of_an_ejected_endpoint(self, fleet):
        fleet.endpoint_faults("zone-1-w1", error_after_run=True)
        wait_until(
            lambda: send(fleet.url(ENTRY)) and fleet.status(ENTRY)["ejected"],
            "the ejection",
        )
        done = fleet.command("explain", "zone-1-w1", "--platform", fleet.platform)
        fleet.endpoint_faults("zone-1-w1")
        assert "ejected or being probed" in done.stdout

    def test_unknown_name_is_an_error(self, fleet):
        done = fleet.command("explain", "nobody", "--platform", fleet.platform)
        assert (done.returncode, done.stderr[:10]) == (1, "error 406:")

    @pytest.mark.parametrize(
        ("headers", "body", "code"),
        [
            ({"request-timeout-s": "-1"}, b"", 103),
            ({"request-timeout-s": "nan"}, b"", 103),
            ({}, b"x" * 2_000_000, 104),
        ],
    )
    def test_bad_request_is_refused_as_not_run(self, fleet, headers, body, code):
        reply = send(fleet.url(ENTRY), "POST", headers, body)
        assert (reply.code, reply.ran) == (code, "no")

    def test_settings_are_shown(self, fleet):
        shown = send(fleet.operators_url(ENTRY, "/settings")).json()["settings"]
        assert ["entry.name", ENTRY, "file"] in shown
