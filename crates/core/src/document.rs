//! Parses a TOML file and checks it against a JSON schema, with the position of each finding.

use std::collections::BTreeMap;
use std::ops::Range;

use cinderspoke_schema::control::Finding;
use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::{ValidationError, Validator};
use serde::de::DeserializeOwned;
use serde_json::Value;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A parsed file, with the position of each of its values.
#[derive(Debug)]
pub struct Document {
    file: String,
    text: String,
    value: Value,
    // Byte ranges by JSON pointer. Invariant: has an entry for every value in `value`.
    ranges: BTreeMap<String, Range<usize>>,
    findings: Vec<Finding>,
}

impl Document {
    /// Parses a file as far as its syntax allows; syntax errors become findings.
    #[must_use]
    pub fn read(file: &str, text: &str) -> Self {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut document = Self {
            file: file.into(),
            text: text.into(),
            value: Value::Null,
            ranges: BTreeMap::new(),
            findings: Vec::new(),
        };
        for error in errors {
            let at = error.span().unwrap_or(0..0);
            let (what, expected) = split_expected(error.message());
            document.add(at, what, expected);
        }
        document.value = document.convert_table(String::new(), table.span(), table.get_ref());
        document
    }

    /// Checks the file against a schema and deserializes it.
    ///
    /// # Errors
    ///
    /// All findings in the file, including those from parsing.
    pub fn check<T: DeserializeOwned>(&mut self, schema: &Value) -> Result<T, Vec<Finding>> {
        // After a syntax error, a required key may be absent only because it was not parsed.
        if self.findings.is_empty() {
            self.check_schema(schema);
        }
        self.findings.sort_by_key(position);
        if !self.findings.is_empty() {
            return Err(self.findings.clone());
        }
        serde_json::from_value(self.value.clone()).map_err(|error| {
            vec![self.finding_at("", &error.to_string(), "a value that its schema allows")]
        })
    }

    /// Creates a finding at the value of a JSON pointer, or at its nearest parent that exists.
    #[must_use]
    pub fn finding_at(&self, pointer: &str, what: &str, expected: &str) -> Finding {
        self.finding(self.range(pointer), what, expected)
    }

    fn range(&self, pointer: &str) -> Range<usize> {
        if let Some(range) = self.ranges.get(pointer) {
            return range.clone();
        }
        match pointer.rsplit_once('/') {
            Some((parent, _)) => self.range(parent),
            None => 0..0,
        }
    }

    fn add(&mut self, at: Range<usize>, what: &str, expected: &str) {
        let finding = self.finding(at, what, expected);
        self.findings.push(finding);
    }

    fn finding(&self, at: Range<usize>, what: &str, expected: &str) -> Finding {
        let (line, column) = line_and_column(&self.text, at.start);
        let (what, expected) = (what.to_owned(), expected.to_owned());
        Finding { file: self.file.clone(), line, column, what, expected }
    }

    fn convert_table(&mut self, at: String, span: Range<usize>, table: &DeTable<'_>) -> Value {
        let mut object = serde_json::Map::new();
        for (key, value) in table {
            let name = key.get_ref();
            let child = format!("{at}/{}", escape(name));
            self.ranges.insert(key_pointer(&child), key.span());
            object.insert(name.to_string(), self.convert(child, value));
        }
        self.ranges.insert(at, span);
        Value::Object(object)
    }

    fn convert(&mut self, at: String, value: &Spanned<DeValue<'_>>) -> Value {
        let span = value.span();
        let converted = match value.get_ref() {
            DeValue::Table(table) => return self.convert_table(at, span, table),
            DeValue::Array(array) => {
                let child = |(index, item)| (format!("{at}/{index}"), item);
                let children: Vec<_> = array.iter().enumerate().map(child).collect();
                children.into_iter().map(|(at, item)| self.convert(at, item)).collect()
            }
            DeValue::String(text) => Value::String(text.to_string()),
            DeValue::Boolean(boolean) => Value::Bool(*boolean),
            DeValue::Integer(integer) => {
                let parsed = i64::from_str_radix(integer.as_str(), integer.radix());
                parsed.map_or(Value::Null, Value::from)
            }
            DeValue::Float(float) => float.as_str().parse::<f64>().map_or(Value::Null, Value::from),
            DeValue::Datetime(datetime) => Value::String(datetime.to_string()),
        };
        self.ranges.insert(at, span);
        converted
    }

    fn check_schema(&mut self, schema: &Value) {
        let validator = match jsonschema::draft7::new(schema) {
            Ok(validator) => validator,
            Err(error) => return self.add(0..0, "the schema cannot be read", &error.to_string()),
        };
        for finding in self.violations(&validator, schema) {
            self.findings.push(finding);
        }
    }

    fn violations(&self, validator: &Validator, schema: &Value) -> Vec<Finding> {
        let errors = validator.iter_errors(&self.value);
        errors.flat_map(|error| self.describe(&error, schema)).collect()
    }

    /// Converts a violation to findings: one for each unknown key, otherwise one.
    fn describe(&self, error: &ValidationError<'_>, schema: &Value) -> Vec<Finding> {
        let at = error.instance_path().as_str();
        let parent = parent_schema(schema, error.evaluation_path().as_str());
        match error.kind() {
            ValidationErrorKind::AdditionalProperties { unexpected } => {
                let expected = format!("one of {}", known_keys(parent));
                let unknown = |key: &String| {
                    let range = self.range(&key_pointer(&format!("{at}/{}", escape(key))));
                    self.finding(range, &format!("unknown key `{key}`"), &expected)
                };
                unexpected.iter().map(unknown).collect()
            }
            ValidationErrorKind::Required { property } => {
                let name = property.as_str().unwrap_or_default();
                let expected = parent.map_or_else(String::new, |parent| {
                    describe_schema(schema, &parent["properties"][name])
                });
                vec![self.finding_at(at, &format!("key `{name}` is missing"), &expected)]
            }
            kind => {
                let what = format!("{} is not allowed here", show(error.instance()));
                vec![self.finding_at(at, &what, &expected(kind, parent))]
            }
        }
    }
}

/// Splits the message of the TOML parser into what it found and what it expected.
fn split_expected(message: &str) -> (&str, &str) {
    message.trim().split_once(", expected ").unwrap_or((message.trim(), "a TOML document"))
}

/// The line and column of a finding, for ordering.
fn position(finding: &Finding) -> (u32, u32) {
    (finding.line, finding.column)
}

/// The entry in `ranges` for the range of a key itself, rather than of its value.
fn key_pointer(pointer: &str) -> String {
    format!("key:{pointer}")
}

fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

fn line_and_column(text: &str, offset: usize) -> (u32, u32) {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = before.matches('\n').count() + 1;
    let column = before[line_start..].chars().count() + 1;
    (u32::try_from(line).unwrap_or(u32::MAX), u32::try_from(column).unwrap_or(u32::MAX))
}

/// The schema that holds the violated keyword, following references.
fn parent_schema<'a>(schema: &'a Value, path: &str) -> Option<&'a Value> {
    let (path, _keyword) = path.rsplit_once('/')?;
    let mut node = schema;
    for segment in path.split('/').skip(1) {
        node = match segment {
            "$ref" => resolve(schema, node)?,
            key if node.is_array() => node.get(key.parse::<usize>().ok()?)?,
            key => node.get(key)?,
        };
    }
    Some(node)
}

fn resolve<'a>(schema: &'a Value, node: &Value) -> Option<&'a Value> {
    schema.pointer(node.get("$ref")?.as_str()?.strip_prefix('#')?)
}

fn known_keys(schema: Option<&Value>) -> String {
    let properties = schema.and_then(|schema| schema["properties"].as_object());
    let names = properties.into_iter().flatten().map(|(name, _)| format!("`{name}`"));
    names.collect::<Vec<_>>().join(", ")
}

/// Describes the expected value in words, from its schema.
fn describe_schema(schema: &Value, node: &Value) -> String {
    let node = resolve(schema, node).unwrap_or(node);
    if let Some(options) = node.get("enum") {
        return one_of(options);
    }
    if let Some(expected) = node.get("x-expected").and_then(Value::as_str) {
        return expected.to_owned();
    }
    let kind = node.get("type").and_then(Value::as_str).map_or("a value".into(), article);
    match node.get("description").and_then(Value::as_str) {
        Some(description) => {
            format!("{kind}: {}", description.trim_end_matches('.').to_lowercase())
        }
        None => kind,
    }
}

fn one_of(options: &Value) -> String {
    let options = options.as_array().into_iter().flatten().map(show);
    format!("one of {}", options.collect::<Vec<_>>().join(", "))
}

fn expected(kind: &ValidationErrorKind, schema: Option<&Value>) -> String {
    match kind {
        ValidationErrorKind::Type { kind: TypeKind::Single(kind) } => article(&kind.to_string()),
        ValidationErrorKind::Enum { options } => one_of(options),
        ValidationErrorKind::Minimum { limit } => format!("at least {limit}"),
        ValidationErrorKind::Maximum { limit } => format!("at most {limit}"),
        ValidationErrorKind::MinItems { limit } => format!("at least {limit} items"),
        _ => schema.map_or_else(String::new, |node| describe_schema(node, node)),
    }
}

fn article(noun: &str) -> String {
    let vowel = noun.starts_with(['a', 'e', 'i', 'o', 'u']);
    format!("{} {noun}", if vowel { "an" } else { "a" })
}

fn show(value: &Value) -> String {
    match value {
        Value::Object(_) => "a table".into(),
        Value::Array(items) if items.is_empty() => "an empty array".into(),
        Value::Array(_) => "an array".into(),
        other => other.to_string(),
    }
}
