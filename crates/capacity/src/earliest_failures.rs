//! What fails first: by what it breaks, then by the smallest part of the planned size at which it does.

use crate::page::Stated;
use crate::table::number;

/// The figures whose budget does not hold at the planned size, the gravest first, as Markdown with its head.
pub fn of_page(stated: &[Stated]) -> Vec<String> {
    let mut failing: Vec<(&Stated, f64)> = stated
        .iter()
        .filter_map(|s| Some((s, s.fails_at?)))
        .collect();
    failing.sort_by(|(a, a_part), (b, b_part)| {
        a.quantity
            .breaks
            .cmp(&b.quantity.breaks)
            .then(a_part.total_cmp(b_part))
    });
    let head = [
        "| fails at | of | breaks | figure | what |",
        "| --- | --- | --- | --- | --- |",
    ];
    head.into_iter()
        .map(str::to_owned)
        .chain(failing.into_iter().map(row))
        .collect()
}

fn row((stated, part): (&Stated, f64)) -> String {
    let quantity = stated.quantity;
    let planned = quantity.axis.planned();
    format!(
        "| {}% = {} | {} {} | {} | `{}` | {} |",
        number(part * 100.0),
        number((part * planned).round()),
        number(planned.round()),
        quantity.axis.name(),
        quantity.breaks.name(),
        quantity.id,
        quantity.what
    )
}
