"""Refusals of requests, each with a result code and a text."""

from dataclasses import dataclass

from fuchsiarill.codes import ResultCode


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not carried out.

    `field` names the offending field of the request, if there is one.
    `retry_after_ms` is set where a delay before a repetition helps, also with
    some codes that permit a repetition at once.
    """

    code: ResultCode
    text: str
    field: str | None = None
    retry_after_ms: int | None = None


def refuse(
    code: ResultCode,
    template: str,
    *,
    field: str | None = None,
    retry_after_ms: int | None = None,
    **fields: object,
) -> Refusal:
    """Build a refusal from a template of `texts`.

    `field` and `fields` fill the template.
    """
    text = template.format(field=field, **fields)
    return Refusal(code, text, field, retry_after_ms)
