//! INI files with the positions of their keys, so that error messages can show each
//! problem in its context.

use std::collections::BTreeMap;
use std::path::Path;
use std::str::FromStr;

use ini::Ini;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use wire::Address;

use crate::code::Code;

/// Result of reading an INI file.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// An invalid file, with all problems found in it.
#[derive(Debug, thiserror::Error)]
#[error("{code} {}: {detail}", code.text())]
pub struct Error {
    /// Result code.
    pub code: Code,
    /// Summary in one line.
    pub detail: Box<str>,
    text: Box<NamedSource<String>>,
    problems: Vec<Problem>,
}

/// One problem and its position.
#[derive(Debug, Clone)]
struct Problem {
    message: Box<str>,
    span: SourceSpan,
}

impl Diagnostic for Error {
    fn code<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new(self.code))
    }

    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&*self.text)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = |p: &Problem| LabeledSpan::new_with_span(Some(p.message.to_string()), p.span);
        Some(Box::new(self.problems.iter().map(label)))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new("docs/OPERATIONS.md lists all keys"))
    }
}

impl Error {
    /// All problems with their line numbers, counted from 1.
    pub fn problems(&self) -> impl Iterator<Item = (usize, &str)> {
        let text = self.text.inner();
        self.problems.iter().map(move |problem| {
            let before = &text[..problem.span.offset().min(text.len())];
            (before.matches('\n').count() + 1, &*problem.message)
        })
    }
}

/// A known key of a section.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyRule {
    /// Section name, or the first word of it for sections such as `service NAME`.
    pub(crate) section: &'static str,
    pub(crate) key: &'static str,
    /// Whether the key is required.
    pub(crate) required: bool,
}

impl KeyRule {
    pub(crate) const fn new(section: &'static str, key: &'static str, required: bool) -> KeyRule {
        KeyRule {
            section,
            key,
            required,
        }
    }
}

/// An INI file. Its values are read one by one, and problems are collected.
#[derive(Debug)]
pub(crate) struct IniFile {
    name: Box<str>,
    text: Box<str>,
    ini: Ini,
    keys: BTreeMap<(Box<str>, Box<str>), SourceSpan>,
    sections: BTreeMap<Box<str>, SourceSpan>,
    problems: Vec<Problem>,
}

impl IniFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// [`Code::Unreadable`] if it cannot be read or is not an INI file.
    pub(crate) fn open(path: &Path) -> Result<IniFile> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Error {
            code: Code::Unreadable,
            detail: format!("{name}: {e}").into(),
            text: Box::new(NamedSource::new(&name, String::new())),
            problems: Vec::new(),
        })?;
        IniFile::parse(&name, &text)
    }

    /// Parses the text of a file; `name` is used in messages.
    ///
    /// # Errors
    ///
    /// [`Code::Unreadable`] if it is not an INI file.
    pub(crate) fn parse(name: &str, text: &str) -> Result<IniFile> {
        let ini = Ini::load_from_str(text).map_err(|e| Error {
            code: Code::Unreadable,
            detail: format!("{name}: {}", e.msg).into(),
            text: Box::new(NamedSource::new(name, text.to_string())),
            problems: vec![Problem {
                message: e.msg.as_ref().into(),
                span: (line_start(text, e.line), 0).into(),
            }],
        })?;
        let mut file = IniFile {
            name: name.into(),
            text: text.into(),
            ini,
            keys: BTreeMap::new(),
            sections: BTreeMap::new(),
            problems: Vec::new(),
        };
        file.locate();
        Ok(file)
    }

    /// Records the positions of sections and keys, and reports duplicates.
    fn locate(&mut self) {
        let text = self.text.clone();
        let mut section: Box<str> = "".into();
        let mut offset = 0;
        for line in text.split_inclusive('\n') {
            let body = line.trim();
            let indent = line.len() - line.trim_start().len();
            let span = SourceSpan::from((offset + indent, body.len()));
            offset += line.len();
            let header = body.strip_prefix('[').and_then(|b| b.strip_suffix(']'));
            if let Some(name) = header {
                section = name.trim().into();
                if self.sections.insert(section.clone(), span).is_some() {
                    self.report_at("section is given twice", span);
                }
            } else if let Some((key, _)) = body.split_once('=') {
                if body.starts_with([';', '#']) {
                    continue;
                }
                let name = (section.clone(), key.trim().into());
                if self.keys.insert(name, span).is_some() {
                    self.report_at("key is given twice", span);
                }
            }
        }
    }

    /// Reports unknown sections and keys, and required keys missing from a section.
    pub(crate) fn check_names(&mut self, rules: &[KeyRule]) {
        let belongs = |section: &str, rule: &KeyRule| {
            section == rule.section || section.split(' ').next() == Some(rule.section)
        };
        for (section, span) in self.sections.clone() {
            if !rules.iter().any(|r| belongs(&section, r)) {
                let mut known: Vec<&str> = rules.iter().map(|r| r.section).collect();
                known.dedup();
                let text = format!("unknown section; expected one of {}", known.join(", "));
                self.report_at(&text, span);
                continue;
            }
            for rule in rules.iter().filter(|r| r.required && belongs(&section, r)) {
                if self.ini.get_from(Some(&*section), rule.key).is_none() {
                    self.report_at(&format!("missing: `{}`", rule.key), span);
                }
            }
        }
        for ((section, key), span) in self.keys.clone() {
            let known = rules.iter().any(|r| belongs(&section, r) && *r.key == *key);
            if !known && (section.is_empty() || self.is_known_section(&section, rules)) {
                self.report_at("unknown key", span);
            }
        }
    }

    fn is_known_section(&self, section: &str, rules: &[KeyRule]) -> bool {
        let word = section.split(' ').next();
        rules.iter().any(|r| Some(r.section) == word)
    }

    /// Reports the required keys of missing sections.
    pub(crate) fn check_sections(&mut self, rules: &[KeyRule]) {
        for rule in rules.iter().filter(|r| r.required) {
            if !self.sections.contains_key(rule.section) {
                let text = format!("missing: `{}` in [{}]", rule.key, rule.section);
                self.report_at(&text, (0, 0).into());
            }
        }
    }

    /// Names of the sections, in alphabetical order.
    pub(crate) fn sections(&self) -> Vec<Box<str>> {
        self.sections.keys().cloned().collect()
    }

    fn report_at(&mut self, message: &str, span: SourceSpan) {
        self.problems.push(Problem {
            message: message.into(),
            span,
        });
    }

    /// Reports a problem at a key, or at its section if the key is missing.
    pub(crate) fn report(&mut self, section: &str, key: &str, message: &str) {
        let name = (Box::from(section), Box::from(key));
        let span = self.keys.get(&name).or(self.sections.get(section));
        let span = span.copied().unwrap_or((0, 0).into());
        self.report_at(message, span);
    }

    /// Text of a key, if present.
    pub(crate) fn text(&self, section: &str, key: &str) -> Option<Box<str>> {
        self.ini.get_from(Some(section), key).map(Into::into)
    }

    /// Parsed value of a key, if present. Reports an invalid one.
    pub(crate) fn value<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        let text = self.text(section, key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.report(
                section,
                key,
                &format!("expected {expected}, found `{text}`"),
            );
        }
        value
    }

    /// Address at a key. Reports one that other machines cannot connect to.
    pub(crate) fn address(&mut self, section: &str, key: &str) -> Option<Address> {
        let address: Address = self.value(section, key, "an IP address and port")?;
        if address.port() == 0 || address.ip().is_unspecified() {
            let text =
                format!("expected an address that other machines can reach, found `{address}`");
            self.report(section, key, &text);
        }
        Some(address)
    }

    /// Returns `value` if no problem was reported.
    ///
    /// # Errors
    ///
    /// `code` with all problems otherwise.
    pub(crate) fn finish<T>(self, code: Code, value: Option<T>) -> Result<T> {
        if let (true, Some(value)) = (self.problems.is_empty(), value) {
            return Ok(value);
        }
        let count = self.problems.len();
        let noun = if count == 1 { "problem" } else { "problems" };
        Err(Error {
            code,
            detail: format!("{}: {count} {noun}", self.name).into(),
            text: Box::new(NamedSource::new(&*self.name, self.text.into())),
            problems: self.problems,
        })
    }
}

fn line_start(text: &str, line: usize) -> usize {
    let lines = text.split_inclusive('\n').take(line);
    lines.map(str::len).sum::<usize>().min(text.len())
}
