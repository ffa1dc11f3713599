//! The figures whose budget is exceeded at the planned size, ordered by consequence and then by the size at which they fail.

use crate::stated::Stated;
use crate::table::number;

/// The failing figures of a page as a Markdown table, the most severe consequence first.
pub(crate) fn of_page(stated: &[Stated]) -> Vec<String> {
    let mut failing: Vec<(&Stated, f64)> = stated
        .iter()
        .filter_map(|stated| Some((stated, stated.fails_at?)))
        .collect();
    failing.sort_by(|(a, a_fraction), (b, b_fraction)| {
        let by_consequence = a.quantity.consequence.cmp(&b.quantity.consequence);
        by_consequence.then(a_fraction.total_cmp(b_fraction))
    });
    let head = [
        "| fails at | of | breaks | figure | what |",
        "| --- | --- | --- | --- | --- |",
    ];
    let rows = failing
        .into_iter()
        .map(|(stated, fraction)| row(stated, fraction));
    head.into_iter().map(str::to_owned).chain(rows).collect()
}

fn row(stated: &Stated, fails_at: f64) -> String {
    let quantity = stated.quantity;
    let planned = quantity.axis.planned();
    format!(
        "| {}% = {} | {} {} | {} | `{}` | {} |",
        number(fails_at * 100.0),
        number((fails_at * planned).round()),
        number(planned.round()),
        quantity.axis.name(),
        quantity.consequence.name(),
        quantity.id,
        quantity.description
    )
}
