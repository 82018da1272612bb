//! Bundle of the files of a configuration.

use std::{
    fs,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    check,
    diff::Diff,
    layer::Layer,
    problem::{Fault, Problem, Problems, Result},
    site::{SiteConfig, SiteSettings},
};

/// Name of the base file in a bundle.
pub const BASE_FILE: &str = "base.toml";

/// Folder of the overlay files in a bundle.
pub const SITES_FOLDER: &str = "sites";

/// Largest size of a file. It is bounded because the register writes all files on each change.
const MAX_FILE_BYTES: usize = 256 << 10;

/// Largest number of sites.
const MAX_SITES: usize = 200;

/// The base file and the overlay files of a configuration, byte for byte, sorted by name.
///
/// A bundle may contain invalid files, so that they can be shown. [`Bundle::check`] reports their problems.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    files: Vec<(String, Vec<u8>)>,
}

impl Bundle {
    /// Creates a bundle of named files: `base.toml` and `sites/NAME.toml`.
    ///
    /// # Errors
    /// Returns the problems with the names, number and sizes of the files.
    pub fn new(mut files: Vec<(String, Vec<u8>)>) -> Result<Bundle> {
        files.sort();
        let bundle = Bundle { files };
        Problems::check(bundle.check_files())?;
        Ok(bundle)
    }

    /// Reads `base.toml` and all files in `sites` from a folder.
    ///
    /// Ignores hidden files, and everything else beside `sites`. Any other file in `sites` must be an overlay: a file
    /// with another name is reported, because it may be an overlay whose name is misspelt.
    ///
    /// # Errors
    /// Returns the files that cannot be read and those that do not belong to a configuration.
    pub fn read(folder: impl AsRef<Path>) -> Result<Bundle> {
        let folder = folder.as_ref();
        let mut names = vec![(BASE_FILE.to_owned(), folder.join(BASE_FILE))];
        let sites = folder.join(SITES_FOLDER);
        if sites.exists() {
            names.extend(list_overlays(&sites).map_err(|error| io_problem(SITES_FOLDER, &error))?);
        }
        let mut files = Vec::new();
        let mut problems = Vec::new();
        for (name, path) in names {
            match fs::read(&path) {
                Ok(bytes) => files.push((name, bytes)),
                Err(error) => problems.extend_from_slice(io_problem(&name, &error).list()),
            }
        }
        Problems::check(problems)?;
        Bundle::new(files)
    }

    /// Returns the files, sorted by name.
    ///
    /// ```
    /// # use figdeal_config::Bundle;
    /// let bundle = Bundle::new(vec![("base.toml".into(), b"[limits]".to_vec())])?;
    /// assert_eq!(bundle.files()[0].0, "base.toml");
    /// assert_eq!(bundle.file("base.toml"), Some(&b"[limits]"[..]));
    /// # Ok::<(), figdeal_config::Problems>(())
    /// ```
    pub fn files(&self) -> &[(String, Vec<u8>)] {
        &self.files
    }

    /// Returns the content of a file.
    pub fn file(&self, name: &str) -> Option<&[u8]> {
        self.files
            .iter()
            .find(|file| file.0 == name)
            .map(|file| &*file.1)
    }

    /// Returns the names of the sites, sorted.
    ///
    /// ```
    /// # use figdeal_config::Bundle;
    /// let files = vec![("base.toml".into(), vec![]), ("sites/nosara.toml".into(), vec![])];
    /// assert!(Bundle::new(files)?.sites().eq(["nosara"]));
    /// # Ok::<(), figdeal_config::Problems>(())
    /// ```
    pub fn sites(&self) -> impl Iterator<Item = &str> {
        self.files.iter().filter_map(|(name, _)| site_name(name))
    }

    /// Returns the SHA-256 of the names and contents of all files, each preceded by its length.
    pub fn digest(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        for (name, bytes) in &self.files {
            for part in [name.as_bytes(), bytes] {
                hash.update((part.len() as u64).to_le_bytes());
                hash.update(part);
            }
        }
        hash.finalize().into()
    }

    /// Checks every file, every reference between files and the values of every site.
    ///
    /// ```
    /// # use figdeal_config::Bundle;
    /// let base = b"[kinds.reminder]\nweight = 0\n[teams.choirs]\n".to_vec();
    /// let bundle = Bundle::new(vec![("base.toml".into(), base)])?;
    /// let problem = &bundle.check().unwrap_err().list()[0].clone();
    /// assert_eq!((problem.line, problem.key.as_str()), (2, "kinds.reminder.weight"));
    /// # Ok::<(), figdeal_config::Problems>(())
    /// ```
    ///
    /// # Errors
    /// Returns all problems. If the base is not valid TOML, checks that depend on it are skipped.
    pub fn check(&self) -> Result<()> {
        let mut problems = self.check_files();
        let base = self.layer(BASE_FILE);
        problems.extend_from_slice(&base.problems);
        if base.is_valid_toml {
            problems.extend(check::check_base(&base));
            // The base is also checked without an overlay, so that an empty overlay is always valid.
            problems.extend(check::check_site(&SiteSettings::merge(&base, None), None));
        }
        for site in self.sites() {
            let overlay = self.layer(&file_name(site));
            problems.extend_from_slice(&overlay.problems);
            if base.is_valid_toml {
                problems.extend(check::check_overlay(&base, &overlay));
                let settings = SiteSettings::merge(&base, Some(&overlay));
                problems.extend(check::check_site(&settings, Some(&overlay.file_name)));
            }
        }
        Problems::check(problems)
    }

    /// Returns the typed configuration of a site.
    ///
    /// # Errors
    /// Returns all problems of the bundle, or the missing file if there is no such site.
    pub fn effective(&self, site: &str) -> Result<SiteConfig> {
        Ok(SiteConfig::from(&self.settings(site)?))
    }

    /// Returns the values of a site with their origins.
    ///
    /// ```
    /// # use figdeal_config::{Bundle, TableName};
    /// # let bundle = Bundle::new(vec![
    /// #     ("base.toml".into(), b"[kinds.reminder]\n[teams.choirs]\n[limits]\nwindow = 3".to_vec()),
    /// #     ("sites/kaleva.toml".into(), vec![]),
    /// # ])?;
    /// let settings = bundle.settings("kaleva")?;
    /// let window = settings.get(&TableName::Limits, "window").unwrap();
    /// assert_eq!(format!("{} from {}", window.value, window.origin), "3 from base.toml:4");
    /// # Ok::<(), figdeal_config::Problems>(())
    /// ```
    ///
    /// # Errors
    /// Returns all problems of the bundle, or the missing file if there is no such site.
    pub fn settings(&self, site: &str) -> Result<SiteSettings> {
        let name = file_name(site);
        if self.file(&name).is_none() {
            return Err(Problems::with_file(&name, Fault::MissingFile));
        }
        self.check()?;
        Ok(SiteSettings::merge(
            &self.layer(BASE_FILE),
            Some(&self.layer(&name)),
        ))
    }

    /// Returns the differences from this bundle to `next`, by file and by key.
    ///
    /// ```
    /// # use figdeal_config::Bundle;
    /// let bundle = |text: &str| Bundle::new(vec![("base.toml".into(), text.into())]);
    /// let diff = bundle("[limits]\nwindow = 2\n")?.diff(&bundle("[limits]\nwindow = 4\n")?);
    /// assert_eq!(diff.to_string(), "~ base.toml\n  ~ limits.window: 2 -> 4\n");
    /// # Ok::<(), figdeal_config::Problems>(())
    /// ```
    pub fn diff(&self, next: &Bundle) -> Diff {
        Diff::new(self, next)
    }

    pub(crate) fn layer(&self, name: &str) -> Layer {
        Layer::parse(name, self.file(name).unwrap_or_default())
    }

    fn check_files(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut report = |file: &str, fault| {
            problems.extend_from_slice(Problems::with_file(file, fault).list());
        };
        if self.file(BASE_FILE).is_none() {
            report(BASE_FILE, Fault::MissingFile);
        }
        if self.sites().count() > MAX_SITES {
            report(SITES_FOLDER, Fault::TooMany(MAX_SITES));
        }
        for (name, bytes) in &self.files {
            if name != BASE_FILE && site_name(name).is_none() {
                report(name, Fault::UnexpectedFile);
            }
            if bytes.len() > MAX_FILE_BYTES {
                report(
                    name,
                    Fault::TooLarge {
                        size: bytes.len(),
                        limit: MAX_FILE_BYTES,
                    },
                );
            }
        }
        for pair in self.files.windows(2) {
            if pair[0].0 >= pair[1].0 {
                report(&pair[1].0, Fault::DuplicateFile);
            }
        }
        problems
    }
}

/// Returns the name of the overlay file of a site.
fn file_name(site: &str) -> String {
    format!("{SITES_FOLDER}/{site}.toml")
}

/// Returns the name of the site if `file` is the name of an overlay file.
fn site_name(file: &str) -> Option<&str> {
    let name = file
        .strip_prefix(SITES_FOLDER)?
        .strip_prefix('/')?
        .strip_suffix(".toml")?;
    crate::layer::is_valid_name(name).then_some(name)
}

fn io_problem(name: &str, error: &std::io::Error) -> Problems {
    Problems::with_file(name, Fault::Io(error.to_string()))
}

/// Lists the files in the folder of overlays, as names in the bundle and paths.
fn list_overlays(sites: &Path) -> std::io::Result<Vec<(String, PathBuf)>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(sites)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if !name.starts_with('.') {
            names.push((format!("{SITES_FOLDER}/{name}"), entry.path()));
        }
    }
    Ok(names)
}
