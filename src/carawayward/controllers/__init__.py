"""Controllers: each connects one part of the blackboard to the outside."""
