//! Command line options of the form `--name=value`.

use std::collections::BTreeMap;

#[derive(Debug, Clone, Default)]
pub struct Options(BTreeMap<String, String>);

impl Options {
    pub fn parse(words: impl Iterator<Item = String>) -> Self {
        let pairs = words.filter_map(|word| {
            let (name, value) = word.strip_prefix("--")?.split_once('=')?;
            Some((name.to_owned(), value.to_owned()))
        });
        Self(pairs.collect())
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.0.insert(name.to_owned(), value.to_string());
        self
    }

    pub fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }

    pub fn words(&self) -> impl Iterator<Item = String> + '_ {
        self.0.iter().map(|(name, value)| format!("--{name}={value}"))
    }
}
