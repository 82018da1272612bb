//! Output of a benchmark run: one JSON object per line, or tables.

use serde_json::{Map, Value, json};

/// Returns a target of the design and whether it is met.
pub fn target(name: &str, bound: f64, measured: Option<f64>, is_met: bool) -> Value {
    json!({
        "name": name, "bound": bound, "measured": measured.map(super::summary::round),
        "met": is_met,
    })
}

/// Returns a target that is met if the measured value is at most `bound`. It is missed if there are no samples.
pub fn at_most(name: &str, bound: f64, measured: Option<f64>) -> Value {
    target(name, bound, measured, measured.is_some_and(|m| m <= bound))
}

/// Returns a target that is met if the measured value is at least `bound`. It is missed if there are no samples.
pub fn at_least(name: &str, bound: f64, measured: Option<f64>) -> Value {
    target(name, bound, measured, measured.is_some_and(|m| m >= bound))
}

/// Prints the results of the measurements and counts the met and missed targets.
#[derive(Debug)]
pub struct Report {
    is_json: bool,
    met: usize,
    missed: Vec<String>,
}

impl Report {
    /// Creates a report that prints JSON lines or tables.
    pub fn new(is_json: bool) -> Report {
        Report {
            is_json,
            met: 0,
            missed: Vec::new(),
        }
    }

    /// Prints the results of one measurement. The targets in the list `targets` of `figures` are counted as met or
    /// missed; those in the list `baseline`, which apply to a baseline, are only printed.
    pub fn emit(&mut self, name: &str, figures: &Value) {
        for target in figures["targets"].as_array().into_iter().flatten() {
            if target["met"] == json!(true) {
                self.met += 1;
            } else {
                let title = target["name"].as_str().unwrap_or_default();
                self.missed.push(format!("{name}: {title}"));
            }
        }
        if self.is_json {
            let mut line = Map::new();
            line.insert("measure".to_owned(), json!(name));
            line.extend(figures.as_object().cloned().unwrap_or_default());
            println!("{}", Value::Object(line));
            return;
        }
        println!("\n== {name}");
        print_table("", figures);
    }

    /// Prints the number of met targets and the names of the missed ones.
    pub fn finish(&self) {
        if self.is_json {
            let line = json!({ "measure": "targets", "met": self.met, "missed": self.missed });
            println!("{line}");
            return;
        }
        println!(
            "\n== targets: {} met, {} missed",
            self.met,
            self.missed.len()
        );
        for missed in &self.missed {
            println!("  MISSED {missed}");
        }
    }
}

fn print_table(prefix: &str, value: &Value) {
    let Some(fields) = value.as_object() else {
        return;
    };
    for (key, value) in fields {
        let path = if prefix.is_empty() {
            key.clone()
        } else {
            format!("{prefix}.{key}")
        };
        match value {
            Value::Object(inner) if !inner.values().all(is_scalar) => print_table(&path, value),
            Value::Object(inner) => {
                let pairs: Vec<String> = inner.iter().map(|(k, v)| format!("{k} {v}")).collect();
                println!("  {path:32} {}", pairs.join("  "));
            }
            Value::Array(rows) if key == "targets" || key == "baseline" => {
                rows.iter().for_each(print_target);
            }
            value => println!("  {path:32} {value}"),
        }
    }
}

fn is_scalar(value: &Value) -> bool {
    !matches!(value, Value::Object(_) | Value::Array(_))
}

fn print_target(target: &Value) {
    let word = if target["met"] == json!(true) {
        "met"
    } else {
        "MISSED"
    };
    let name = target["name"].as_str().unwrap_or_default();
    println!(
        "  {word:6} {name:50} {} (bound {})",
        target["measured"], target["bound"]
    );
}
