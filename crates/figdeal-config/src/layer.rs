//! Parser for one configuration file, either the base or the overlay of a site. The tables and values that such a file
//! sets are a layer of the configuration of a site.

use std::collections::{BTreeMap, BTreeSet};

use toml::{
    Spanned,
    de::{DeInteger, DeString, DeTable, DeValue},
};

use crate::{
    problem::{Fault, Problem},
    schema::{KeySpec, TableName},
    section::SECTIONS,
    units::{Unit, Value},
};

/// Longest name of a site, kind of task or team. Names are used in file names and as labels of metrics, so they are
/// kept short.
const MAX_NAME_BYTES: usize = 63;

/// A TOML value with its position in the file.
type SpannedValue<'i> = Spanned<DeValue<'i>>;

/// A value and its line in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LocatedValue {
    pub(crate) value: Value,
    /// Line, counted from 1.
    pub(crate) line: usize,
}

/// A table and its line in the file.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) line: usize,
    pub(crate) values: BTreeMap<&'static str, LocatedValue>,
    /// Keys whose value is invalid. Checks that compare values skip these keys, since they would report a second,
    /// misleading problem.
    pub(crate) invalid: BTreeSet<&'static str>,
}

/// Tables and values that one file (the base or an overlay) sets.
#[derive(Debug, Default)]
pub(crate) struct Layer {
    pub(crate) file_name: String,
    pub(crate) tables: BTreeMap<TableName, Table>,
    pub(crate) problems: Vec<Problem>,
    /// Whether the file is valid TOML. Only then is a table that was not found certain to be absent.
    pub(crate) is_valid_toml: bool,
}

impl Layer {
    /// Parses a file as far as possible and collects the problems.
    pub(crate) fn parse(file_name: &str, bytes: &[u8]) -> Layer {
        let mut layer = Layer {
            file_name: file_name.to_owned(),
            ..Layer::default()
        };
        let lines = LineStarts::new(bytes);
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text,
            Err(error) => {
                let line = lines.line_number(error.valid_up_to());
                layer.report(line, "", Fault::NotUtf8);
                return layer;
            }
        };
        let (root, errors) = DeTable::parse_recoverable(text);
        layer.is_valid_toml = errors.is_empty();
        for error in errors {
            let line = error.span().map_or(0, |span| lines.line_number(span.start));
            // The error for a duplicate key has exactly the name of the key as its span; other spans cover any text.
            let span = error.span().filter(|_| error.message() == "duplicate key");
            let key = span.and_then(|span| text.get(span)).unwrap_or_default();
            layer.report(line, key, Fault::Syntax(error.message().to_owned()));
        }
        let mut reader = Reader {
            layer: &mut layer,
            lines: &lines,
        };
        reader.read_root(root.get_ref());
        layer
    }

    /// Adds a problem. `line` is 0 if it is unknown. `key` is the dotted path of the key or table, only its last part
    /// for a duplicate key, and empty if it is unknown.
    pub(crate) fn report(&mut self, line: usize, key: &str, fault: Fault) {
        let (file, key) = (self.file_name.clone(), key.to_owned());
        self.problems.push(Problem {
            file,
            line,
            key,
            fault,
        });
    }
}

/// Positions at which the lines of a file start. With them, the line of a key is found by binary search instead of a
/// new scan of the file.
pub(crate) struct LineStarts(Vec<usize>);

impl LineStarts {
    pub(crate) fn new(bytes: &[u8]) -> LineStarts {
        let ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
        LineStarts([0].into_iter().chain(ends.map(|(at, _)| at + 1)).collect())
    }

    /// Returns the number of the line that contains a byte position, counted from 1.
    pub(crate) fn line_number(&self, position: usize) -> usize {
        self.0.partition_point(|start| *start <= position)
    }
}

/// Reads the parsed TOML of a file into its layer.
struct Reader<'a> {
    layer: &'a mut Layer,
    lines: &'a LineStarts,
}

impl Reader<'_> {
    fn line<T>(&self, item: &Spanned<T>) -> usize {
        self.lines.line_number(item.span().start)
    }

    /// Reads all sections of the file.
    fn read_root(&mut self, root: &DeTable<'_>) {
        for (name, item) in root {
            let line = self.line(name);
            match &**name.get_ref() {
                "limits" => self.read_table(TableName::Limits, line, item),
                "time_outs" => self.read_table(TableName::TimeOuts, line, item),
                "kinds" => self.for_each_table("kinds", item, |r, name, line, item| {
                    r.read_table(TableName::Kind(name), line, item);
                }),
                "teams" => self.for_each_table("teams", item, |r, name, line, item| {
                    r.read_table(TableName::Team(name), line, item);
                }),
                "objectives" => self.for_each_table("objectives", item, Reader::read_objective),
                other => {
                    let known = SECTIONS.map(|(name, _)| name).join(", ");
                    self.layer.report(line, other, Fault::UnknownKey(known));
                }
            }
        }
    }

    /// Returns the table in `item`, or reports that `item` is not a table.
    fn expect_table<'i, 'd>(
        &mut self,
        key: &str,
        item: &'d SpannedValue<'i>,
    ) -> Option<&'d DeTable<'i>> {
        let table = item.get_ref().as_table();
        if table.is_none() {
            let line = self.line(item);
            self.layer
                .report(line, key, Fault::NotTable(item.get_ref().type_str()));
        }
        table
    }

    /// Calls `each` for every item in the table at `path`. Reports and skips items with an invalid name.
    fn for_each_table(
        &mut self,
        path: &str,
        item: &SpannedValue<'_>,
        each: impl Fn(&mut Self, String, usize, &SpannedValue<'_>),
    ) {
        let Some(table) = self.expect_table(path, item) else {
            return;
        };
        for (name, item) in table {
            let line = self.line(name);
            if !is_valid_name(name.get_ref()) {
                self.layer
                    .report(line, &format!("{path}.{}", name.get_ref()), Fault::BadName);
                continue;
            }
            each(self, name.get_ref().to_string(), line, item);
        }
    }

    /// Reads the service-level objective of a kind of task, and those of single teams for this kind.
    fn read_objective(&mut self, kind: String, line: usize, item: &SpannedValue<'_>) {
        let own = TableName::Objective(kind.clone(), None);
        let Some(table) = self.expect_table(&own.to_string(), item) else {
            return;
        };
        let teams = table.get("teams");
        if let Some(teams) = teams {
            self.for_each_table(&format!("{own}.teams"), teams, |r, team, line, item| {
                r.read_table(TableName::Objective(kind.clone(), Some(team)), line, item);
            });
        }
        // A table that only contains objectives of teams defines no objective for the kind as a whole.
        if teams.is_none() || table.len() > 1 {
            self.read_table(own, line, item);
        }
    }

    /// Reads the values of one table. An item that is not a table is reported and then treated as an empty table, so
    /// that references to its name are not reported as well.
    fn read_table(&mut self, table_name: TableName, line: usize, item: &SpannedValue<'_>) {
        let mut found = Table {
            line,
            ..Table::default()
        };
        if let Some(table) = self.expect_table(&table_name.to_string(), item) {
            for (name, item) in table {
                let is_teams_table = matches!(table_name, TableName::Objective(_, None))
                    && name.get_ref() == "teams";
                if !is_teams_table {
                    self.read_key(&table_name, &mut found, name, item);
                }
            }
        }
        self.layer.tables.insert(table_name, found);
    }

    /// Reads the value of one key, or reports that the key is unknown or the value invalid.
    fn read_key(
        &mut self,
        table_name: &TableName,
        table: &mut Table,
        name: &Spanned<DeString<'_>>,
        item: &SpannedValue<'_>,
    ) {
        let line = self.line(name);
        let path = format!("{table_name}.{}", name.get_ref());
        let Some(key) = table_name
            .keys()
            .iter()
            .find(|key| key.name == name.get_ref())
        else {
            let known: Vec<_> = table_name.keys().iter().map(|key| key.name).collect();
            self.layer
                .report(line, &path, Fault::UnknownKey(known.join(", ")));
            return;
        };
        match read_value(key, item.get_ref()) {
            Ok(value) => drop(table.values.insert(key.name, LocatedValue { value, line })),
            Err(fault) => {
                table.invalid.insert(key.name);
                self.layer.report(line, &path, fault);
            }
        }
    }
}

/// Returns whether `name` is a valid name of a site, kind of task or team: 1 to 63 lower-case letters, digits and
/// hyphens, starting with a letter.
pub(crate) fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
        && name.starts_with(|c: char| c.is_ascii_lowercase())
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

/// Reads a value in the unit of the key and checks that it is within the range of the key.
fn read_value(key: &KeySpec, item: &DeValue<'_>) -> Result<Value, Fault> {
    let unit = key.unit();
    let wrong = || Fault::WrongValue {
        found: format_value(item),
        expected: unit.notation(),
    };
    let range = || Fault::OutOfRange {
        found: format_value(item),
        min: key.min.to_string(),
        max: key.max.to_string(),
    };
    let value = match (unit, item) {
        (Unit::Count, DeValue::Integer(integer)) => read_count(integer).ok_or_else(range)?,
        (Unit::Count, _) => return Err(wrong()),
        (_, DeValue::String(text)) => unit.parse(text).map_err(|_| wrong())?,
        _ => return Err(wrong()),
    };
    if value < key.min || value > key.max {
        return Err(range());
    }
    Ok(value)
}

fn read_count(integer: &DeInteger<'_>) -> Option<Value> {
    u32::from_str_radix(integer.as_str(), integer.radix())
        .ok()
        .map(Value::Count)
}

/// Formats a value for messages, close to its TOML notation. Arrays and tables are only shown by their type.
fn format_value(item: &DeValue<'_>) -> String {
    match item {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(integer) => integer.to_string(),
        DeValue::Float(float) => float.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(time) => time.to_string(),
        other => format!("({})", other.type_str()),
    }
}
