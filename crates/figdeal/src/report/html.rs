//! Renders the burn report as a self-contained HTML page.

use std::fmt::Write;

use super::{
    burn::{BurnReport, ObjectiveBurn},
    text::format_burn,
};

/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (f64, f64) = (288.0, 48.0);
/// Burn rate at the top of a plot; higher rates are clipped.
const MAX_PLOTTED_BURN_RATE: f64 = 4.0;
/// Burn rate of the shortest window from which an objective is shown as failing. At this rate the budget of a day is
/// used up in 1 h 40 min.
const FAILING_BURN_RATE: f64 = 14.4;

const STYLE: &str = "
:root { color-scheme: light dark; --line: #8886; --good: #1a7f37; --warn: #9a6700; --bad: #cf222e; }
@media (prefers-color-scheme: dark) { :root { --good: #3fb950; --warn: #d29922; --bad: #f85149; } }
body { font: 15px/1.4 system-ui, sans-serif; margin: 2em auto; max-width: 76em; padding: 0 1em; }
table { border-collapse: collapse; width: 100%; }
th, td { padding: .35em .6em; border-bottom: 1px solid var(--line); text-align: right; font-variant-numeric: tabular-nums; }
th:first-child, td:first-child { text-align: left; }
.good { color: var(--good); } .warn { color: var(--warn); } .bad { color: var(--bad); font-weight: 600; }
svg { display: block; overflow: visible; } .area { fill: currentColor; opacity: .35; } .rule { stroke: var(--line); }
";

/// Renders the page with the given title. Its texts are part of the HTTP interface.
pub fn render(report: &BurnReport, title: &str) -> String {
    let mut rows = String::new();
    for objective in &report.objectives {
        write_row(&mut rows, objective);
    }
    if rows.is_empty() {
        rows = "<tr><td colspan=\"13\">The configuration in force has no objectives.</td></tr>"
            .to_owned();
    }
    let title = escape(title);
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <meta name=\"viewport\" content=\"width=device-width\"><style>{STYLE}</style></head><body><h1>{title}</h1>\n\
         <p>Burn rate 1 uses up the budget exactly. The plot shows the burn of the last 24 h in steps of 5 min, cut at \
         {MAX_PLOTTED_BURN_RATE}; its rule is at 1.</p>\n<table><thead><tr><th>Objective</th><th>In time</th><th>Budget left</th>\
         <th>5 min</th><th>1 h</th><th>6 h</th><th>24 h</th><th>Burn</th><th>Late</th><th>Failed</th><th>Not run</th>\
         <th>May have run</th><th>Slow</th></tr></thead>\n<tbody>{rows}</tbody></table></body></html>\n"
    )
}

fn write_row(out: &mut String, objective: &ObjectiveBurn) {
    let class = css_class(objective);
    let _ = write!(
        out,
        "<tr><td>{}</td><td>{:.4} %</td><td class=\"{class}\">{:.1} %</td>",
        escape(&objective.name()),
        objective.in_time * 100.0,
        objective.budget_left() * 100.0,
    );
    for window in &objective.windows {
        let class = match window.burn {
            Some(burn) if burn > 1.0 => "bad",
            _ => "good",
        };
        let _ = write!(out, "<td class=\"{class}\">{}</td>", format_burn(window));
    }
    let _ = write!(out, "<td class=\"{class}\">{}</td>", plot(objective));
    let counts = objective.period().map(|w| w.counts).unwrap_or_default();
    for number in [
        counts.late,
        counts.failed,
        counts.not_run,
        counts.may_have_run,
        counts.slow,
    ] {
        let _ = write!(out, "<td>{number}</td>");
    }
    out.push_str("</tr>\n");
}

fn css_class(objective: &ObjectiveBurn) -> &'static str {
    let is_failing = objective
        .windows
        .first()
        .and_then(|w| w.burn)
        .is_some_and(|burn| burn >= FAILING_BURN_RATE);
    match objective.budget_left() {
        _ if is_failing => "bad",
        left if left <= 0.0 => "bad",
        left if left < 0.5 => "warn",
        _ => "good",
    }
}

/// Renders the burn rate of each step as one filled polygon.
fn plot(objective: &ObjectiveBurn) -> String {
    let (width, height) = PLOT_SIZE_PX;
    let step = width / objective.plot.len().max(1) as f64;
    let mut points = format!("0,{height}");
    for (i, &(tasks, bad)) in objective.plot.iter().enumerate() {
        let burn = match tasks {
            0 => 0.0,
            _ => bad as f64 / tasks as f64 / objective.budget(),
        };
        let y = height - burn.min(MAX_PLOTTED_BURN_RATE) / MAX_PLOTTED_BURN_RATE * height;
        let _ = write!(
            points,
            " {:.1},{y:.1} {:.1},{y:.1}",
            i as f64 * step,
            (i + 1) as f64 * step
        );
    }
    let rule = height - height / MAX_PLOTTED_BURN_RATE;
    format!(
        "<svg role=\"img\" aria-label=\"burn over 24 h\" width=\"{width}\" height=\"{height}\">\
         <polygon class=\"area\" points=\"{points} {width},{height}\"/>\
         <line class=\"rule\" x1=\"0\" x2=\"{width}\" y1=\"{rule}\" y2=\"{rule}\"/>\
         <line class=\"rule\" x1=\"0\" x2=\"{width}\" y1=\"{height}\" y2=\"{height}\"/></svg>"
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
