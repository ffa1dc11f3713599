//! Progress bars on standard error. They are hidden if standard error is not a terminal.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

const REDRAW_INTERVAL: Duration = Duration::from_millis(200);

/// A progress bar with a label and the elapsed time. It is redrawn at [`REDRAW_INTERVAL`], so that the time is current even without
/// progress.
pub(crate) fn named_bar(name: &str) -> ProgressBar {
    let bar = ProgressBar::new(1);
    set_template(&bar, "{elapsed_precise} {wide_bar} {msg}");
    bar.set_message(name.to_owned());
    bar.enable_steady_tick(REDRAW_INTERVAL);
    bar
}

/// A progress bar that counts up to `total`; `unit` is the plural of what it counts. It is hidden if `total` is at most `threshold`,
/// as it would disappear before it could be read.
pub(crate) fn counting_bar(total: u64, threshold: u64, unit: &str) -> ProgressBar {
    if total <= threshold {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(total);
    let template =
        format!("{{elapsed_precise}} {{wide_bar}} {{human_pos}}/{{human_len}} {unit} {{eta}}");
    set_template(&bar, &template);
    bar
}

fn set_template(bar: &ProgressBar, template: &str) {
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
}
