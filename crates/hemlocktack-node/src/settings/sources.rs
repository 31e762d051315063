//! The sources of the settings, kept so that they can be read again.

use std::path::PathBuf;

use getopts::Matches;

use super::file::{self, Values};
use super::flags::{self, environment_name};
use super::read::{self, Error, LoadedSettings, Result};

/// What the command line requests.
pub(crate) enum Invocation {
    Help,
    Version,
    Check,
    Run(Box<RunSettings>),
}

/// Settings of a node to run, with their sources.
pub(crate) struct RunSettings {
    pub(crate) loaded: LoadedSettings,
    /// Contents of the settings file that `loaded` was read from.
    pub(crate) file_contents: FileContents,
    pub(crate) sources: Sources,
}

/// Flags, the environment and the settings file.
pub(crate) struct Sources {
    matches: Matches,
    environment: Environment,
    file: Option<PathBuf>,
}

type Environment = Box<dyn Fn(&str) -> Option<String> + Send + Sync>;

/// Contents of the settings file, or why it cannot be read; `None` without a file.
pub(crate) type FileContents = Option<std::result::Result<Vec<u8>, String>>;

/// Reads the settings: flags override the environment, which overrides the file, which
/// overrides the defaults.
pub(crate) fn read(
    arguments: &[String],
    environment: impl Fn(&str) -> Option<String> + Send + Sync + 'static,
) -> Result<Invocation> {
    let matches = flags::options()
        .parse(arguments)
        .map_err(|error| Error::new(vec![error.to_string()]))?;
    if matches.opt_present(flags::HELP) {
        return Ok(Invocation::Help);
    }
    if matches.opt_present(flags::VERSION) {
        return Ok(Invocation::Version);
    }
    let is_check = matches.opt_present(flags::CHECK);
    let sources = Sources::new(matches, Box::new(environment));
    let file_contents = sources.file_contents();
    let loaded = sources.read(file_contents.clone())?;
    if is_check {
        return Ok(Invocation::Check);
    }
    Ok(Invocation::Run(Box::new(RunSettings {
        loaded,
        file_contents,
        sources,
    })))
}

impl Sources {
    fn new(matches: Matches, environment: Environment) -> Self {
        let file = matches.opt_str(flags::SETTINGS_FILE);
        let file = file.or_else(|| environment(&environment_name(flags::SETTINGS_FILE)));
        Self {
            matches,
            environment,
            file: file.filter(|path| !path.is_empty()).map(PathBuf::from),
        }
    }

    /// Reads all sources, with `contents` as the contents of the file.
    pub(crate) fn read(&self, contents: FileContents) -> Result<LoadedSettings> {
        let mut findings = Vec::new();
        for argument in &self.matches.free {
            findings.push(format!("{argument}: not an option; see --help"));
        }
        let values = self.values(contents).unwrap_or_else(|file_findings| {
            findings.extend(file_findings);
            Values::new()
        });
        let value = |name: &str| {
            let variable = environment_name(name);
            let flag = self.matches.opt_str(name);
            flag.or_else(|| (self.environment)(&variable))
                .or_else(|| values.get(&variable).cloned())
        };
        read::parse_texts(value, findings)
    }

    fn values(&self, contents: FileContents) -> file::Result<Values> {
        let (Some(path), Some(contents)) = (&self.file, contents) else {
            return Ok(Values::new());
        };
        let contents = contents.map_err(|error| vec![error])?;
        file::read(path, contents)
    }

    /// Reads the current contents of the settings file.
    pub(crate) fn file_contents(&self) -> FileContents {
        let path = self.file.as_deref()?;
        let place = path.display();
        Some(file::read_bytes(path).map_err(|error| format!("{place}: {error}")))
    }
}
