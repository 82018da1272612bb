//! Values of log lines.

use std::fmt::{self, Display, Formatter};

/// Value that may not be known; then it is shown as `-`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrUnknown<T>(pub(crate) Option<T>);

impl<T: Display> Display for OrUnknown<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}
