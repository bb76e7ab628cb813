"""Console forms round-trip documents; changes compare and merge by name."""

import copy
import pathlib

import hypothesis
from hypothesis import strategies

from carawayward import comparison
from carawayward.console import forms
from carawayward import declaration


def read_example(user: str) -> dict:
    """Read a document of examples/ with every default written out."""
    text = pathlib.Path(f"examples/{user}.yaml").read_text()
    return declaration.unstructure(declaration.Declaration.from_text(text))


def read_values(form: forms.ThingList) -> dict[str, list[str]]:
    """Return what a browser sends for a form that was not changed."""
    values: dict[str, list[str]] = {}
    for group in form.groups:
        for field in group.fields:
            texts = [field.value]
            if field.kind == "checks":
                texts = [text for text in field.value.split("\n") if text]
            values[field.path] = texts
        for inner in group.lists:
            values.update(read_values(inner))
    return values


def test_every_section_of_both_documents_round_trips_through_its_form():
    """Opening a form and submitting it unchanged changes nothing."""
    for user in ("oduya", "wayfarer"):
        document = read_example(user)
        for section in forms.SECTIONS:
            form = forms.make_form(document, section, {})
            items, field_errors = forms.read_form(
                document, section, read_values(form)
            )
            assert field_errors == {}
            again = declaration.Declaration.from_config(
                {**document, section: items}
            )
            assert declaration.unstructure(again) == document


def test_incomplete_form_reports_each_field_and_keeps_what_was_typed():
    """A new customer is submitted without a name and with a bad weight."""
    document = read_example("wayfarer")
    forms.edit_list(document, "add", "customers")
    form = forms.make_form(document, "customers", {})
    values = read_values(form)
    values["customers.10.weight"] = ["heavy"]
    items, field_errors = forms.read_form(document, "customers", values)
    assert field_errors["customers.10.name"] == "fill this in"
    assert field_errors["customers.10.weight"] == "write a number"
    assert items[10]["weight"] == "heavy"


def test_validation_error_is_shown_at_its_field():
    """Error messages use names or indexes; paths in forms use indexes."""
    document = read_example("oduya")
    resolve = forms.resolve_path
    assert resolve(document, "customers.lekki-club.tasks") == (
        "customers.2.tasks"
    )
    assert resolve(document, "models[1].versions[0].cost") == (
        "models.1.versions.0.cost"
    )
    assert resolve(document, "rollouts.sorter-4-december.stages[1].share") == (
        "rollouts.0.stages.1.share"
    )
    assert resolve(document, "nothing.like[7].that") == "nothing.like.7.that"


def test_customer_inserted_in_the_middle_is_one_change():
    """Comparing by index would show every later customer as changed."""
    before = read_example("oduya")
    after = copy.deepcopy(before)
    after["customers"].insert(
        2, {**after["customers"][0], "name": "agege-schools"}
    )
    (change,) = comparison.list_changes(before, after)
    assert (change.kind, change.path) == ("added", "customers.agege-schools")


def test_changes_of_two_operators_to_different_fields_are_both_kept():
    """One operator withdraws a version, the other changes a weight."""
    base = read_example("oduya")
    mine, theirs = copy.deepcopy(base), copy.deepcopy(base)
    mine["customers"][1]["weight"] = 9.0
    theirs = comparison.withdraw(theirs, "sorter-4")
    merged = comparison.merge_changes(base, mine, theirs)
    assert merged.clashes == []
    assert merged.document["customers"][1]["weight"] == 9.0
    states = [v["state"] for v in merged.document["models"][0]["versions"]]
    assert states == ["active", "withdrawn"]
    assert merged.document["rollouts"] == []


def test_field_changed_by_two_operators_is_reported_as_a_conflict():
    """Both operators set one weight; the conflict is reported."""
    base = read_example("oduya")
    mine, theirs = copy.deepcopy(base), copy.deepcopy(base)
    mine["customers"][1]["weight"] = 9.0
    theirs["customers"][1]["weight"] = 2.0
    merged = comparison.merge_changes(base, mine, theirs)
    assert merged.clashes == ["customers.yaba-schools.weight"]
    assert merged.document["customers"][1]["weight"] == 9.0


edits = strategies.lists(
    strategies.tuples(strategies.integers(0, 9), strategies.integers(1, 9)),
    max_size=4,
)


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(edits, edits)
def test_merging_loses_no_change_of_either_operator(mine, theirs):
    """The result has every changed weight; ours where both changed it."""
    base = read_example("oduya")

    def apply(changes):
        document = copy.deepcopy(base)
        for number, weight in changes:
            document["customers"][number]["weight"] = float(weight)
        return document

    first, second = apply(mine), apply(theirs)
    merged = comparison.merge_changes(base, first, second).document
    for number in range(10):
        weights = [
            each["customers"][number]["weight"]
            for each in (base, first, second, merged)
        ]
        changed = weights[1] != weights[0]
        assert weights[3] == (weights[1] if changed else weights[2])
