"""Test client for HTML pages: cookies, forms and buttons over HTTP."""

import html.parser
import typing
import urllib.parse

import attrs
import httpcore


@attrs.define
class Form:
    """A form of a page, with the fields that a browser would submit."""

    action: str = ""
    method: str = "get"
    fields: list[tuple[str, str]] = attrs.field(factory=list)
    buttons: list[dict[str, str]] = attrs.field(factory=list)

    def set(self, name: str, *values: str) -> None:
        """Replace the values of a field."""
        assert any(known == name for known, _ in self.fields), name
        self.fields = [each for each in self.fields if each[0] != name]
        self.fields += [(name, value) for value in values]

    def get(self, name: str) -> str:
        """Return the first value of a field."""
        return next(value for known, value in self.fields if known == name)


class _FormParser(html.parser.HTMLParser):
    """Collects the forms of an HTML page."""

    def __init__(self) -> None:
        super().__init__()
        self.forms: list[Form] = []
        self.textarea = ""
        self.text = ""
        self.select = ""

    def handle_starttag(
        self, tag: str, attributes: list[tuple[str, str | None]]
    ) -> None:
        """Record forms, their fields and buttons."""
        tag_attrs = {name: value or "" for name, value in attributes}
        if tag == "form":
            self.forms.append(
                Form(
                    tag_attrs.get("action", ""), tag_attrs.get("method", "get")
                )
            )
        if not self.forms:
            return
        form = self.forms[-1]
        if tag == "input":
            unchecked = (
                tag_attrs.get("type") == "checkbox"
                and "checked" not in tag_attrs
            )
            if not unchecked:
                value = tag_attrs.get("value", "")
                form.fields.append((tag_attrs.get("name", ""), value))
        elif tag == "button":
            form.buttons.append(tag_attrs)
        elif tag == "textarea":
            self.textarea, self.text = tag_attrs.get("name", ""), ""
        elif tag == "select":
            self.select = tag_attrs.get("name", "")
        elif tag == "option" and "selected" in tag_attrs:
            form.fields.append((self.select, tag_attrs.get("value", "")))

    def handle_data(self, data: str) -> None:
        """Collect the content of a text area."""
        if self.textarea:
            self.text += data

    def handle_endtag(self, tag: str) -> None:
        """Record a text area as a field."""
        if tag == "textarea" and self.textarea:
            self.forms[-1].fields.append((self.textarea, self.text))
            self.textarea = ""


@attrs.define
class Page:
    """A response, after redirects."""

    status: int
    text: str
    path: str
    headers: dict[str, str]

    def find_form(self, action: str) -> Form:
        """Return the page's first form with this action."""
        reader = _FormParser()
        reader.feed(self.text)
        return next(f for f in reader.forms if f.action == action)


@attrs.define
class Browser:
    """An operator's session with one entry VM."""

    address: str
    cookies: dict[str, str] = attrs.field(factory=dict)

    def open(self, path: str) -> Page:
        """Open a path by GET."""
        return self._call("GET", path, None)

    def submit(self, form: Form, button: str) -> Page:
        """Submit a form with a button, found by its value or ``formaction``.

        An empty name submits the form without a button.
        """
        fields = list(form.fields)
        action = form.action
        for each in form.buttons:
            if button in (each.get("value"), each.get("formaction")):
                action = each.get("formaction", action)
                if each.get("name"):
                    fields.append((each["name"], each.get("value", "")))
                break
        else:
            assert not button, f"no button {button}"
        return self._call("POST", action, urllib.parse.urlencode(fields))

    def log_in(self, name: str, key: str) -> Page:
        """Submit the login form."""
        form = self.open("/console/login").find_form("/console/login")
        form.set("name", name)
        form.set("key", key)
        return self.submit(form, "")

    def _call(self, method: str, path: str, body: str | None) -> Page:
        cookie_header = "; ".join(f"{k}={v}" for k, v in self.cookies.items())
        sent: dict[str, typing.Any] = {"Cookie": cookie_header}
        if body is not None:
            sent["Content-Type"] = "application/x-www-form-urlencoded"
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                f"http://{self.address}{path}",
                headers=list(sent.items()),
                content=body.encode() if body is not None else None,
                extensions={"timeout": {"read": 30.0, "connect": 5.0}},
            )
        headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        if "set-cookie" in headers:
            name, _, rest = headers["set-cookie"].partition("=")
            self.cookies[name] = rest.partition(";")[0]
        if response.status == 303:
            return self._call("GET", headers["location"], None)
        return Page(response.status, response.content.decode(), path, headers)
