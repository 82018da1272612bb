//! Values of keys and their units: counts, durations, sizes and shares.

use std::{fmt, time::Duration};

/// Units of a duration with their length in microseconds, longest first.
const TIME_UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Units of a size with their length in bytes, largest first.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// The unit of a share, in parts per million.
const SHARE_UNITS: [(&str, u64); 1] = [("%", 10_000)];

/// A share of a whole, in parts per million.
///
/// ```
/// use figdeal_config::{Share, Unit, Value};
///
/// let Ok(Value::Share(share)) = Unit::Share.parse("99.9 %") else { panic!() };
/// assert_eq!(share, Share(999_000));
/// assert_eq!(share.ratio(), 0.999);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(pub u32);

impl Share {
    /// Returns the share as a number from 0 to 1.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1_000_000.0
    }
}

/// Unit of the value of a key, which determines its notation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// A whole number.
    Count,
    /// A string such as `"750 ms"`.
    Time,
    /// A string such as `"4 MiB"`.
    Size,
    /// A string such as `"99.9 %"`.
    Share,
}

impl Unit {
    /// Parses a string with a unit.
    ///
    /// # Errors
    /// Fails for text that is not a decimal number followed by one of the units, and for a value that overflows or is
    /// not a multiple of the smallest unit. Always fails for [`Unit::Count`], whose values are not strings.
    ///
    /// ```
    /// use std::time::Duration;
    /// use figdeal_config::{Unit, Value};
    ///
    /// assert_eq!(Unit::Time.parse("1.5 s"), Ok(Value::Time(Duration::from_millis(1500))));
    /// assert!(Unit::Time.parse("1.5").is_err());
    /// ```
    pub fn parse(self, text: &str) -> std::result::Result<Value, ParseError> {
        match self {
            Unit::Count => Err(ParseError),
            Unit::Time => {
                parse_scaled(text, &TIME_UNITS).map(|us| Value::Time(Duration::from_micros(us)))
            }
            Unit::Size => parse_scaled(text, &SIZE_UNITS).map(Value::Size),
            Unit::Share => {
                let parts = parse_scaled(text, &SHARE_UNITS)?;
                u32::try_from(parts)
                    .map(|p| Value::Share(Share(p)))
                    .map_err(|_| ParseError)
            }
        }
    }

    /// Returns a description of the notation for error messages.
    pub fn notation(self) -> &'static str {
        match self {
            Unit::Count => "a whole number without quotes",
            Unit::Time => {
                "a string with a number and one of us, ms, s, min, h, d, such as \"750 ms\""
            }
            Unit::Size => "a string with a number and one of B, KiB, MiB, GiB, such as \"4 MiB\"",
            Unit::Share => "a string with a number and %, such as \"99.9 %\"",
        }
    }

    /// Returns the short name of the unit for tables.
    pub fn name(self) -> &'static str {
        match self {
            Unit::Count => "count",
            Unit::Time => "duration",
            Unit::Size => "size",
            Unit::Share => "share",
        }
    }
}

/// Error for text that is not a value of the unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseError;

/// Value of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Value {
    /// A whole number.
    Count(u32),
    /// A duration.
    Time(Duration),
    /// A size in bytes.
    Size(u64),
    /// A share.
    Share(Share),
}

impl Value {
    /// Returns the unit of the value.
    pub fn unit(self) -> Unit {
        match self {
            Value::Count(_) => Unit::Count,
            Value::Time(_) => Unit::Time,
            Value::Size(_) => Unit::Size,
            Value::Share(_) => Unit::Share,
        }
    }

    /// Returns the value in TOML notation; values with a unit are quoted.
    pub fn to_toml(self) -> String {
        match self {
            Value::Count(_) => self.to_string(),
            _ => format!("\"{self}\""),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Value::Count(count) => write!(f, "{count}"),
            Value::Time(time) => write_scaled(f, time.as_micros() as u64, &TIME_UNITS),
            Value::Size(size) => write_scaled(f, size, &SIZE_UNITS),
            Value::Share(Share(parts)) => {
                let fraction = format!("{:04}", parts % 10_000);
                let fraction = fraction.trim_end_matches('0');
                let point = if fraction.is_empty() { "" } else { "." };
                write!(f, "{}{point}{fraction} %", parts / 10_000)
            }
        }
    }
}

/// Parses a decimal number followed by one of `units` into a multiple of the smallest unit. Fails instead of rounding.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> std::result::Result<u64, ParseError> {
    let split = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .ok_or(ParseError)?;
    let (number, unit) = text.split_at(split);
    let unit = unit.strip_prefix(' ').unwrap_or(unit);
    let &(_, scale) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or(ParseError)?;
    let (whole, fraction) = match number.split_once('.') {
        Some((_, "")) => return Err(ParseError),
        Some(parts) => parts,
        None => (number, ""),
    };
    let whole: u64 = whole.parse().map_err(|_| ParseError)?;
    let mut total = whole.checked_mul(scale).ok_or(ParseError)?;
    if !fraction.is_empty() {
        let digits: u128 = fraction.parse().map_err(|_| ParseError)?;
        let power = 10u128
            .checked_pow(fraction.len() as u32)
            .ok_or(ParseError)?;
        let scaled = digits.checked_mul(u128::from(scale)).ok_or(ParseError)?;
        if scaled % power != 0 {
            return Err(ParseError);
        }
        // The fraction is below 1, so the quotient is below `scale` and fits into u64.
        total = total
            .checked_add((scaled / power) as u64)
            .ok_or(ParseError)?;
    }
    Ok(total)
}

/// Writes an amount in the largest unit of which it is a multiple.
fn write_scaled(f: &mut fmt::Formatter<'_>, amount: u64, units: &[(&str, u64)]) -> fmt::Result {
    let fits = |scale: u64| amount != 0 && amount.is_multiple_of(scale);
    let (name, scale) = units
        .iter()
        .find(|u| fits(u.1))
        .unwrap_or(&units[units.len() - 1]);
    write!(f, "{} {name}", amount / scale)
}
