"""Fills in the settings template as the pages say it is done (DEPLOY.md, "Settings of a process")."""
import json
import re


def value_of(name, scope):
    for part in name.split("."):
        if isinstance(scope, list):
            scope = scope[int(part)]
        elif isinstance(scope, dict):
            scope = scope.get(part)
        else:
            return None
    return scope


def render(template, scope, item=None, is_last=True):
    def section(found):
        value = value_of(found[1], scope)
        items = value if isinstance(value, list) else [] if value in (None, False) else [value]
        return "".join(render(found[2], scope, one, n + 1 == len(items)) for n, one in enumerate(items))

    def field(found):
        if found[1] == ".":
            return str(item)
        if found[1] == ",":
            return "" if is_last else ","
        name, _, form = found[1].partition("|")
        value = value_of(name, scope)
        return json.dumps(value) if form == "json" else "" if value is None else str(value)

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([^{}]+)}}", field, text)
