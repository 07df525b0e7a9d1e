//! Bounds on the number of labels.

use pimento_metrics::BoundedLabels;

/// Operators keep adding names. The first names have series of their own, all others share one, and a
/// name keeps its label.
#[test]
fn names_past_the_bound_share_a_label() {
    let names = BoundedLabels::new(2);
    let labels: Vec<_> = ["b", "a", "c", "a", "d", "b"]
        .map(|name| names.label(name))
        .into();
    assert_eq!(labels, ["b", "a", "other", "a", "other", "b"]);
}
