//! Format, validation and signing keys of the figdeal configuration.
//!
//! A [`Bundle`] consists of a base file and an overlay file for each site. [`Bundle::check`] reports every problem with
//! its file, key and line; [`Bundle::effective`] returns the typed configuration of a site.
//!
//! ```
//! use figdeal_config::Bundle;
//!
//! let bundle = Bundle::new(vec![
//!     ("base.toml".into(), b"[kinds.reminder]\nweight = 2\n[teams.choirs]\n".to_vec()),
//!     ("sites/kaleva.toml".into(), b"[kinds.reminder]\nweight = 5\n".to_vec()),
//! ])?;
//! assert_eq!(bundle.effective("kaleva")?.kinds["reminder"].weight, 5);
//! # Ok::<(), figdeal_config::Problems>(())
//! ```

mod bundle;
mod check;
mod diff;
pub mod keys;
mod layer;
mod problem;
pub mod process;
mod schema;
pub mod section;
mod site;
mod units;

pub use bundle::{BASE_FILE, Bundle, SITES_FOLDER};
pub use diff::{Change, Diff, FileChange, KeyChange};
pub use problem::{Fault, Problem, Problems, Result};
pub use schema::{KeySpec, TableName};
pub use site::{Origin, Setting, SiteConfig, SiteSettings};
pub use units::{Share, Unit, Value};
