//! Progress bars on standard error. None is drawn if that is not a terminal.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

const REDRAW_INTERVAL: Duration = Duration::from_millis(200);

/// A bar with a name and the elapsed time, redrawn also without progress.
pub(crate) fn named_bar(name: &str) -> ProgressBar {
    let bar = ProgressBar::new(1);
    set_template(&bar, "{elapsed_precise} {wide_bar} {msg}");
    bar.set_message(name.to_owned());
    bar.enable_steady_tick(REDRAW_INTERVAL);
    bar
}

/// A bar that counts up to `total` of a unit; hidden up to `threshold`, where it would vanish before it is read.
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
