"""Format of log lines."""

import logging
import typing

import pythonjsonlogger.json

# Strict JSON has no numbers that are infinite or not a number.
_ENCODER = pythonjsonlogger.json.JsonEncoder(allow_nan=False)


def _encode(data: typing.Any, **options: typing.Any) -> str:
    return _ENCODER.encode(data)


def _text_unless_encodable(value: typing.Any) -> typing.Any:
    try:
        _ENCODER.encode(value)
    except Exception:
        return _text(value)
    return value


def _text(value: typing.Any) -> str:
    try:
        return repr(value)
    except Exception:
        return f"<{type(value).__name__}>"


class LineFormatter(pythonjsonlogger.json.JsonFormatter):
    """Formats each line as a JSON object.

    :param fields: names of the first fields, each as ``%(name)s``.
    :param static_fields: fields of every line and their values.
    """

    def __init__(self, fields: str, static_fields: dict[str, str]) -> None:
        super().__init__(
            fields, static_fields=static_fields, json_serializer=_encode
        )

    def format_line(self, record: logging.LogRecord) -> bytes:
        """Return a line with its line feed; never raises an exception.

        Values that JSON cannot express are written as text.

        :param record: the line.
        """
        try:
            text = self.format(record)
        except Exception:
            text = self._format_texts(record)
        return f"{text}\n".encode()

    def _format_texts(self, record: logging.LogRecord) -> str:
        fields = {
            str(name): _text_unless_encodable(value)
            for name, value in vars(record).items()
        }
        try:
            message = record.getMessage()
        except Exception:
            message = f"{_text(record.msg)} {_text(record.args)}"
        fields |= {"msg": message, "args": None, "exc_info": None}
        if record.exc_info:
            fields["exc_text"] = self._exception_text(record)
        return self.format(logging.makeLogRecord(fields))

    def _exception_text(self, record: logging.LogRecord) -> str:
        try:
            return self.formatException(record.exc_info)
        except Exception:
            return _text(record.exc_info)
