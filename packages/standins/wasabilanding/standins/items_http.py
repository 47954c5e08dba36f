"""HTTP interface of the platform's items: lists, watches and batch writes."""

import quart

from wasabilanding import metadata
from wasabilanding import model
from wasabilanding.standins import store as store_module

HTTP_CONFLICT = 409
HTTP_GONE = 410
JSON_TYPE = {"Content-Type": "application/json"}


def _items_response(
    items: list[metadata.ItemBody], revision: int
) -> quart.ResponseReturnValue:
    body = metadata.ItemsBody(tuple(items), revision)
    return model.encode(body), 200, JSON_TYPE


def _item_body(change: store_module.Change) -> metadata.ItemBody:
    value = change.stored.value if change.stored else None
    return metadata.ItemBody(change.key, change.revision, value)


def add_items(app: quart.Quart, store: store_module.Store) -> None:
    """Add the routes for the items of a store to an application.

    :param app: the application.
    :param store: the store.
    """

    @app.get("/v1/items")
    async def items() -> quart.ResponseReturnValue:
        prefix = quart.request.args.get("prefix", "")
        found = [
            metadata.ItemBody(key, stored.revision, stored.value)
            for key, stored in store.items(prefix).items()
        ]
        return _items_response(found, store.revision)

    @app.get("/v1/changes")
    async def changes() -> quart.ResponseReturnValue:
        arguments = quart.request.args
        found = await store.wait_changes(
            arguments.get("prefix", ""),
            int(arguments["after"]),
            float(arguments["timeout"]),
        )
        if found is None:
            return {"error": "revision is older than the history"}, HTTP_GONE
        return _items_response(
            [_item_body(one) for one in found], store.revision
        )

    @app.post("/v1/writes")
    async def writes() -> quart.ResponseReturnValue:
        text = await quart.request.get_data()
        body = model.decode(metadata.WritesBody, text)
        if not store.write_all(
            body.values,
            body.lease_id,
            body.absent,
            body.expected,
            body.removed,
        ):
            return {"error": "other revision or lease expired"}, HTTP_CONFLICT
        return {"revision": store.revision}
