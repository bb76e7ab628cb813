"""The console's pages: HTML forms on the operators' port, without scripts.

Drafts are not stored on the server. Each form carries the draft, the
document that it started from and that document's revision, so any entry VM
can handle the next step and a restart in between loses nothing.
"""

import pathlib
import typing

import attrs
import jinja2
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward import comparison
from carawayward.console import authentication
from carawayward.console import drafts
from carawayward.console import forms
from carawayward.console import overview
from carawayward.controllers import configuration
from carawayward.controllers import rollout_reader
from carawayward.decisions import rollout as rollout_decisions
from carawayward import errors
from carawayward import events
from carawayward.services import log as log_module
from carawayward import settings as settings_module

CONSOLE_DIR = pathlib.Path(__file__).parent
HEADERS = {
    "Content-Security-Policy": "default-src 'none'; style-src 'self'; "
    "form-action 'self'; base-uri 'none'; frame-ancestors 'none'",
    "X-Content-Type-Options": "nosniff",
    "Referrer-Policy": "no-referrer",
    "Cache-Control": "no-store",
}

Values = drafts.Values
Response = responses.Response


@attrs.define
class Console:
    """Serves the console's pages and handles their forms."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    log: log_module.LogClient
    authenticator: authentication.Authenticator
    templates: jinja2.Environment = attrs.field(
        factory=lambda: jinja2.Environment(
            loader=jinja2.FileSystemLoader(CONSOLE_DIR / "templates"),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
    )

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
        log: log_module.LogClient,
    ) -> "Console":
        """Make the console of an entry VM from its settings."""
        keys = tuple(settings.keys.operators)
        return cls(board, clock, log, authentication.Authenticator(keys))

    def make_routes(self) -> list[routing.BaseRoute]:
        """Return the routes for the operators' listener."""
        route = routing.Route
        post = ["POST"]
        return [
            route("/", self.redirect_to_overview),
            route("/console", self.redirect_to_overview),
            route("/console/", self.show_overview),
            route("/console/style.css", self.serve_stylesheet),
            route("/console/login", self.show_login, methods=["GET"]),
            route("/console/login", self.log_in, methods=post),
            route("/console/logout", self.log_out, methods=post),
            route("/console/edit", self.start_edit, methods=["GET"]),
            route(
                "/console/edit", self.require_login(self.edit), methods=post
            ),
            route(
                "/console/publish",
                self.require_login(self.publish),
                methods=post,
            ),
            route(
                "/console/rebase",
                self.require_login(self.rebase),
                methods=post,
            ),
            route(
                "/console/withdraw",
                self.require_login(self.withdraw),
                methods=post,
            ),
            route(
                "/console/rollout",
                self.require_login(self.control_rollout),
                methods=post,
            ),
        ]

    def require_login(
        self,
        handle: typing.Callable[
            [authentication.Operator, Values], typing.Awaitable[Response]
        ],
    ) -> typing.Callable[[http_requests.Request], typing.Awaitable[Response]]:
        """Wrap a form handler: require a login and a valid form token.

        Errors of the handler are shown as a page.
        """

        async def call(request: http_requests.Request) -> Response:
            operator = self.authenticator.get_operator(request)
            if operator is None:
                return self.redirect("/console/login")
            try:
                values = await drafts.read_form_values(request)
                authentication.check_form_token(operator, values)
                return await handle(operator, values)
            except errors.CarawaywardError as fault:
                return self.show_error(operator, fault)

        return call

    def show_error(
        self, operator: authentication.Operator, fault: errors.CarawaywardError
    ) -> Response:
        """Render the page for an error, with its remedy."""
        title, text, status = "The request failed", str(fault), 400
        match fault:
            case errors.PlatformUnavailable():
                title, status = "The platform does not answer", 503
                text += ". It may have taken effect; look at the overview."
            case errors.NotAuthenticated():
                status = 403
            case errors.BadRequest():
                status = fault.status
        return self.render(
            "message.html", status, operator=operator, title=title, text=text
        )

    def render(
        self, name: str, status: int = 200, **values: object
    ) -> Response:
        """Render a template with the headers of every page."""
        values.setdefault("operator", None)
        text = self.templates.get_template(name).render(
            node=self.board.name, **values
        )
        return responses.HTMLResponse(text, status, HEADERS)

    def redirect(self, path: str) -> Response:
        """Redirect the browser to a path, to be opened by GET."""
        return responses.RedirectResponse(path, 303, HEADERS)

    async def redirect_to_overview(
        self, request: http_requests.Request
    ) -> Response:
        """Redirect to the overview."""
        return self.redirect("/console/")

    async def serve_stylesheet(
        self, request: http_requests.Request
    ) -> Response:
        """Serve the style sheet."""
        text = (CONSOLE_DIR / "static" / "style.css").read_text(
            encoding="utf-8"
        )
        return responses.Response(text, media_type="text/css")

    async def show_login(self, request: http_requests.Request) -> Response:
        """Show the login form."""
        return self.render("login.html", fault="")

    async def log_in(self, request: http_requests.Request) -> Response:
        """Check the operators' key and set the login cookie."""
        values = await drafts.read_form_values(request)
        name = values.get("name", [""])[0].strip()
        token = await self.authenticator.log_in(
            name, values.get("key", [""])[0]
        )
        if token is None:
            events.log_event(events.Event.LOGIN_REFUSED)
            fault = "Enter your name and a key that is in keys.operators."
            return self.render("login.html", 401, fault=fault)
        response = self.redirect("/console/")
        self.authenticator.set_cookie(response, token)
        return response

    async def log_out(self, request: http_requests.Request) -> Response:
        """Delete the login cookie."""
        response = self.redirect("/console/login")
        response.delete_cookie(authentication.COOKIE, path="/console")
        return response

    async def show_overview(self, request: http_requests.Request) -> Response:
        """Show the configuration in force, confirmations and roll-outs."""
        operator = self.authenticator.get_operator(request)
        if operator is None:
            return self.redirect("/console/login")
        return self.render(
            "overview.html",
            operator=operator,
            view=overview.describe(self.board, self.clock.now_ms()),
        )

    async def start_edit(self, request: http_requests.Request) -> Response:
        """Show the first form of a new draft."""
        operator = self.authenticator.get_operator(request)
        if operator is None:
            return self.redirect("/console/login")
        if self.board.config is None:
            return self.redirect("/console/")
        section = request.query_params.get("section", forms.SECTIONS[0])
        return self.show_section(operator, self.make_draft(), section, {})

    def make_draft(self) -> drafts.Draft:
        """Make a draft from the document in force."""
        config = self.board.config
        if config is None:
            raise errors.BadRequest(
                "document",
                "none in force",
                "publish the first one with carawaywardctl",
            )
        document = drafts.normalize(config.document)
        return drafts.Draft(
            base=config.revision, origin=document, document=document
        )

    def show_section(
        self,
        operator: authentication.Operator,
        draft: drafts.Draft,
        section: str,
        field_errors: dict[str, str],
        notice: str = "",
    ) -> Response:
        """Show a section's form; status 422 if there are errors."""
        if section not in forms.SECTIONS:
            section = forms.SECTIONS[0]
        return self.render(
            "section.html",
            422 if field_errors or notice else 200,
            operator=operator,
            draft=draft,
            hidden=drafts.make_hidden_fields(draft),
            sections=forms.SECTIONS,
            section=section,
            form=forms.make_form(draft.document, section, field_errors),
            field_errors=field_errors,
            notice=notice,
        )

    async def edit(
        self, operator: authentication.Operator, values: Values
    ) -> Response:
        """Apply the submitted section, then the action of the button."""
        draft = drafts.Draft.from_form(values)
        section = values.get("section", [""])[0]
        field_errors: dict[str, str] = {}
        if section in forms.SECTIONS:
            items, field_errors = forms.read_form(
                draft.document, section, values
            )
            draft = attrs.evolve(
                draft, document={**draft.document, section: items}
            )
        action, _, subject = values.get("do", ["review:"])[0].partition(":")
        if action in ("add", "remove"):
            try:
                forms.edit_list(draft.document, action, subject)
            except (LookupError, ValueError, TypeError, AttributeError):
                raise errors.BadRequest(
                    "do", subject, "use the buttons of the form"
                ) from None
            return self.show_section(operator, draft, section, {})
        if field_errors:
            return self.show_section(
                operator,
                draft,
                section,
                field_errors,
                "Some fields are not valid.",
            )
        if action == "goto":
            return self.show_section(operator, draft, subject, {})
        return self.review(operator, draft)

    def review(
        self,
        operator: authentication.Operator,
        draft: drafts.Draft,
        clashes: typing.Sequence[str] = (),
    ) -> Response:
        """Show a draft's changes for review, or the first error in it."""
        try:
            document = drafts.normalize(draft.document)
        except errors.DeclarationError as fault:
            path = forms.resolve_path(draft.document, fault.field)
            return self.show_section(
                operator,
                draft,
                path.partition(".")[0],
                {path: str(fault)},
                str(fault),
            )
        draft = attrs.evolve(draft, document=document)
        return self.render(
            "review.html",
            operator=operator,
            draft=draft,
            hidden=drafts.make_hidden_fields(draft),
            changes=comparison.list_changes(draft.origin, document),
            clashes=clashes,
        )

    async def publish(
        self, operator: authentication.Operator, values: Values
    ) -> Response:
        """Publish a draft, unless its base revision is no longer in force."""
        draft = drafts.Draft.from_form(values)
        document = drafts.normalize(draft.document)
        try:
            revision = await configuration.publish(
                self.log, document, draft.base, operator.name
            )
        except errors.PublishConflict as fault:
            return await self.show_conflict(operator, draft, fault)
        events.log_event(
            events.Event.CONSOLE_PUBLISHED,
            operator=operator.name,
            revision=revision,
        )
        return self.redirect("/console/")

    async def show_conflict(
        self,
        operator: authentication.Operator,
        draft: drafts.Draft,
        fault: errors.PublishConflict,
    ) -> Response:
        """Show both operators' changes and offer to rebase this draft."""
        state = await configuration.read_state(self.log)
        current = drafts.normalize(state.document or {})
        return self.render(
            "conflict.html",
            409,
            operator=operator,
            draft=draft,
            hidden=drafts.make_hidden_fields(draft),
            fault=fault,
            theirs=comparison.list_changes(draft.origin, current),
            mine=comparison.list_changes(draft.origin, draft.document),
        )

    async def rebase(
        self, operator: authentication.Operator, values: Values
    ) -> Response:
        """Apply a draft's changes to the document that is now in force."""
        draft = drafts.Draft.from_form(values)
        state = await configuration.read_state(self.log)
        current = drafts.normalize(state.document or {})
        merged = comparison.merge_changes(
            draft.origin, draft.document, current
        )
        rebased = drafts.Draft(
            base=state.revision, origin=current, document=merged.document
        )
        return self.review(operator, rebased, merged.clashes)

    async def withdraw(
        self, operator: authentication.Operator, values: Values
    ) -> Response:
        """Show the withdrawal of a version for review."""
        draft = self.make_draft()
        version = values.get("version", [""])[0]
        document = comparison.withdraw(draft.document, version)
        return self.review(operator, attrs.evolve(draft, document=document))

    async def control_rollout(
        self, operator: authentication.Operator, values: Values
    ) -> Response:
        """Halt a roll-out, or resume a halted one at a stage."""
        name = values.get("rollout", [""])[0]
        trials = self.board.quality.trials.values()
        trial = next((t for t in trials if t.declared.name == name), None)
        if trial is None:
            raise errors.BadRequest(
                "rollout", name, "name a roll-out that is in progress"
            )
        record: rollout_decisions.Record
        if values.get("do") == ["halt"]:
            record = rollout_decisions.Halt(
                rollout=name,
                generation=trial.progress.generation,
                node=self.board.name,
                reason=f"halted by {operator.name}",
            )
        else:
            record = rollout_decisions.Resume(
                rollout=name,
                base=drafts.parse_number(values, "base"),
                stage=drafts.parse_number(values, "stage"),
                operator=operator.name,
            )
        await self.log.append(
            rollout_reader.STREAM, [rollout_decisions.encode(record)]
        )
        return self.redirect("/console/")
