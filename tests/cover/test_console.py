"""Forms round-trip the whole document; changes compare and merge by name."""

import copy
import pathlib

import hypothesis
from hypothesis import strategies

from carawayward import comparison
from carawayward.console import forms
from carawayward import declaration


def read_example(user: str) -> dict:
    """A user's document with every default written out."""
    text = pathlib.Path(f"examples/{user}.yaml").read_text()
    return declaration.unstructure(declaration.Declaration.from_text(text))


def list_values(things: forms.ThingList) -> dict[str, list[str]]:
    """What a browser would send for a form that nobody touched."""
    values: dict[str, list[str]] = {}
    for group in things.groups:
        for field in group.fields:
            texts = [field.value]
            if field.kind == "checks":
                texts = [text for text in field.value.split("\n") if text]
            values[field.path] = texts
        for inner in group.lists:
            values.update(list_values(inner))
    return values


def test_every_section_of_both_documents_round_trips_through_its_form():
    """Opening a form and sending it untouched changes nothing."""
    for user in ("oduya", "wayfarer"):
        document = read_example(user)
        for section in forms.SECTIONS:
            form = forms.make_form(document, section, {})
            items, field_errors = forms.read_form(
                document, section, list_values(form)
            )
            assert field_errors == {}
            again = declaration.Declaration.from_config(
                {**document, section: items}
            )
            assert declaration.unstructure(again) == document


def test_half_filled_form_names_each_empty_field_and_keeps_what_was_typed():
    """A newcomer adds a customer and sends the form too early."""
    document = read_example("wayfarer")
    forms.edit_list(document, "add", "customers")
    form = forms.make_form(document, "customers", {})
    values = list_values(form)
    values["customers.10.weight"] = ["heavy"]
    items, field_errors = forms.read_form(document, "customers", values)
    assert field_errors["customers.10.name"] == "fill this in"
    assert field_errors["customers.10.weight"] == "write a number"
    assert items[10]["weight"] == "heavy"


def test_fault_of_the_checker_is_shown_at_its_field():
    """Errors name things by name or by place; forms know places only."""
    document = read_example("oduya")
    find = forms.resolve_path
    assert find(document, "customers.lekki-club.tasks") == "customers.2.tasks"
    assert find(document, "models[1].versions[0].cost") == (
        "models.1.versions.0.cost"
    )
    assert find(document, "rollouts.sorter-4-december.stages[1].share") == (
        "rollouts.0.stages.1.share"
    )
    assert find(document, "nothing.like[7].that") == "nothing.like.7.that"


def test_new_customer_in_the_middle_is_one_difference():
    """Comparing by place would show every later customer as changed."""
    before = read_example("oduya")
    after = copy.deepcopy(before)
    after["customers"].insert(
        2, {**after["customers"][0], "name": "agege-schools"}
    )
    (change,) = comparison.list_changes(before, after)
    assert (change.kind, change.path) == ("added", "customers.agege-schools")


def test_changes_of_two_operators_in_different_places_are_both_kept():
    """One withdraws a version while the other changes a weight."""
    base = read_example("oduya")
    mine, theirs = copy.deepcopy(base), copy.deepcopy(base)
    mine["customers"][1]["weight"] = 9.0
    theirs = comparison.withdraw(theirs, "sorter-4")
    merged = comparison.take_over(base, mine, theirs)
    assert merged.clashes == []
    assert merged.document["customers"][1]["weight"] == 9.0
    states = [v["state"] for v in merged.document["models"][0]["versions"]]
    assert states == ["active", "withdrawn"]
    assert merged.document["rollouts"] == []


def test_same_place_changed_by_two_operators_is_named():
    """Both set a weight; the second must see that the first did too."""
    base = read_example("oduya")
    mine, theirs = copy.deepcopy(base), copy.deepcopy(base)
    mine["customers"][1]["weight"] = 9.0
    theirs["customers"][1]["weight"] = 2.0
    merged = comparison.take_over(base, mine, theirs)
    assert merged.clashes == ["customers.yaba-schools.weight"]
    assert merged.document["customers"][1]["weight"] == 9.0


edits = strategies.lists(
    strategies.tuples(strategies.integers(0, 9), strategies.integers(1, 9)),
    max_size=4,
)


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(edits, edits)
def test_taking_over_loses_no_change_of_either_operator(mine, theirs):
    """Weights set by either are in the result; mine where both did."""
    base = read_example("oduya")

    def apply(changes):
        document = copy.deepcopy(base)
        for place, weight in changes:
            document["customers"][place]["weight"] = float(weight)
        return document

    first, second = apply(mine), apply(theirs)
    merged = comparison.take_over(base, first, second).document
    for place in range(10):
        weights = [
            each["customers"][place]["weight"]
            for each in (base, first, second, merged)
        ]
        changed = weights[1] != weights[0]
        assert weights[3] == (weights[1] if changed else weights[2])
