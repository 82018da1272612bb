//! Renders the burn report as a table for a terminal.

use super::burn::{BurnReport, Window};

/// Renders the report.
pub fn render(view: &BurnReport) -> String {
    if view.objectives.is_empty() {
        return "the configuration in force has no objectives\n".to_owned();
    }
    let mut rows = vec![
        [
            "objective",
            "in time",
            "budget left",
            "burn 5 min",
            "1 h",
            "6 h",
            "24 h",
            "tasks",
            "late",
            "failed",
            "not run",
            "may have run",
            "slow",
        ]
        .map(str::to_owned)
        .to_vec(),
    ];
    for line in &view.objectives {
        let mut row = vec![
            line.name(),
            format!("{:.4} %", line.in_time * 100.0),
            format!("{:.1} %", line.budget_left() * 100.0),
        ];
        row.extend(line.windows.iter().map(format_burn));
        let counts = line.period().map(|w| w.counts).unwrap_or_default();
        let numbers = [
            counts.tasks,
            counts.late,
            counts.failed,
            counts.not_run,
            counts.may_have_run,
            counts.slow,
        ];
        row.extend(numbers.map(|n| n.to_string()));
        rows.push(row);
    }
    format_table(&rows)
}

/// Formats the burn rate of a window, or a dash if no task ended in it.
pub(super) fn format_burn(window: &Window) -> String {
    window
        .burn
        .map_or("-".to_owned(), |burn| format!("{burn:.2}"))
}

/// Formats rows with the first column aligned to the left and the others to the right.
pub(crate) fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| {
        rows.iter()
            .filter_map(|r| r.get(i))
            .map(|c| c.chars().count())
            .max()
    };
    let widths: Vec<usize> = (0..columns).map(|i| width(i).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (i, (cell, width)) in row.iter().zip(&widths).enumerate() {
            match i {
                0 => line.push_str(&format!("{cell:width$}")),
                _ => line.push_str(&format!("  {cell:>width$}")),
            }
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
