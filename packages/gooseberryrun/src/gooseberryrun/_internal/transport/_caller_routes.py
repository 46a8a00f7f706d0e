"""HTTP routes for callers: completions, jobs and services."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from result import Err, Ok

from gooseberryrun._internal.coordination import Node, Refusal
from gooseberryrun._internal.protocol import (
    bad_request,
    find_model_rule,
    parse_completion,
    parse_json_object,
    parse_key,
    parse_service_request,
)
from gooseberryrun._internal.state import Job, Rule, WorkClass, parse_model_name

from ._exchange import HttpRequest, RouteResult, json_response


class CallerRoutes:
    """Validates callers' requests and passes them to the node."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def list_models(self) -> RouteResult:
        """List the configured adapter versions."""
        models = sorted(self._node.replica.config.tables["adapters"])
        data = [{"id": model, "object": "model"} for model in models]
        return Ok(json_response(200, {"object": "list", "data": data}))

    def complete(self, request: HttpRequest) -> RouteResult:
        """Run a completion, or submit it as a job."""
        body = request.read_body()
        if isinstance(body, Err):
            return body
        parsed = parse_json_object(body.ok_value)
        if isinstance(parsed, Err):
            return parsed
        completion = parse_completion(
            request.path, parsed.ok_value, request.request_id, request.deadline
        )
        if isinstance(completion, Err):
            return completion
        model = parse_model_name(completion.ok_value.model).unwrap()
        rule = find_model_rule(self._node.replica.config, model.adapter)
        if parsed.ok_value.get("background", False):
            return self._submit_job(request, parsed.ok_value, rule)
        work_class = rule.work_class
        if work_class is WorkClass.AT_MOST_ONCE:
            detail = "completions can be repeated; rule class once is only for services"
            return Err(bad_request(detail, "bad_rule", 409))
        return self._node.completions.run(
            replace(completion.ok_value, work_class=work_class)
        )

    def _submit_job(
        self, request: HttpRequest, body: dict[str, Any], rule: Rule
    ) -> RouteResult:
        if not self._node.replica.config.has_model(str(body["model"])):
            detail = f"adapter version {body['model']} is not configured"
            return Err(Refusal(404, "unknown_model", detail))
        key = parse_key(request.headers.get("idempotency-key", ""))
        if isinstance(key, Err):
            return key
        job = self._node.job_executor.submit(
            request.path, body, rule.deadline_s, key.ok_value
        )
        if isinstance(job, Err):
            return job
        if job.ok_value.accepted.request != body:
            detail = "this Idempotency-Key was used with another request"
            return Err(Refusal(422, "key_reused", detail))
        response = json_response(202, _describe_job(job.ok_value))
        location = f"/v1/jobs/{job.ok_value.accepted.job_id}"
        return Ok(replace(response, headers={"Location": location}))

    def get_job(self, job_id: str) -> RouteResult:
        """Return the status of a job, with its result once it is done."""
        job = self._node.job_executor.get(job_id)
        if job is None:
            return Err(Refusal(404, "unknown_job", f"no job {job_id} is known here"))
        return Ok(json_response(200, _describe_job(job)))

    def call_service(
        self, request: HttpRequest, service: str, path: str | None
    ) -> RouteResult:
        """Forward a request to a service."""
        if not self._node.membership.has_service(service):
            detail = f"there is no service {service!r}"
            return Err(Refusal(404, "unknown_service", detail))
        body = request.read_body()
        if isinstance(body, Err):
            return body
        key = parse_key(request.headers.get("idempotency-key", ""))
        if isinstance(key, Err):
            return key
        target = (path or "/") + (f"?{request.query}" if request.query else "")
        parsed = parse_service_request(
            self._node.replica.config,
            service,
            request.method,
            target,
            body.ok_value,
            request.headers["content-type"],
            key.ok_value,
            request.request_id,
            request.deadline,
        )
        if isinstance(parsed, Err):
            return parsed
        if parsed.ok_value.work_class is WorkClass.AT_MOST_ONCE:
            return self._node.at_most_once_requests.run(parsed.ok_value)
        return self._node.idempotent_requests.run(parsed.ok_value)


def _describe_job(job: Job) -> dict[str, Any]:
    described: dict[str, Any] = {
        "id": job.accepted.job_id,
        "object": "job",
        "model": job.accepted.request.get("model"),
        "status": "queued" if job.done is None else "done",
        "accepted_at": job.accepted.at,
        "deadline_at": job.accepted.deadline_at,
    }
    if job.done is not None:
        described["result_status"] = job.done.status
        described["result"] = job.done.body
        described["finished_at"] = job.done.at
    return described
