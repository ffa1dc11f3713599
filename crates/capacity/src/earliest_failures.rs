//! The figures whose budget does not hold at the planned size: by what they break, then by the size at which they fail.

use crate::stated::Stated;
use crate::table::number;

/// The failing figures, the gravest first, as a Markdown table.
pub(crate) fn of_page(stated: &[Stated]) -> Vec<String> {
    let mut failing: Vec<(&Stated, f64)> = stated
        .iter()
        .filter_map(|s| Some((s, s.fails_at?)))
        .collect();
    failing.sort_by(|(a, a_part), (b, b_part)| {
        let by_consequence = a.quantity.consequence.cmp(&b.quantity.consequence);
        by_consequence.then(a_part.total_cmp(b_part))
    });
    let head = [
        "| fails at | of | breaks | figure | what |",
        "| --- | --- | --- | --- | --- |",
    ];
    let rows = failing.into_iter().map(|(stated, part)| row(stated, part));
    head.into_iter().map(str::to_owned).chain(rows).collect()
}

fn row(stated: &Stated, part: f64) -> String {
    let quantity = stated.quantity;
    let planned = quantity.axis.planned();
    format!(
        "| {}% = {} | {} {} | {} | `{}` | {} |",
        number(part * 100.0),
        number((part * planned).round()),
        number(planned.round()),
        quantity.axis.name(),
        quantity.consequence.name(),
        quantity.id,
        quantity.description
    )
}
