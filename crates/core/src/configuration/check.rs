//! Checks a set of files: each against the schema, then references and names across files.

use std::collections::{BTreeMap, BTreeSet};

use cinderspoke_schema::control::{Finding, Part};
use cinderspoke_schema::operator::{File, Kind, Model, Service};
use cinderspoke_schema::text;

use super::{Configuration, DEFAULT_ORIGIN_WEIGHT, MAX_FILE_BYTES};
use crate::document::Document;

/// A file that matches the schema, with the positions of its values.
struct Source {
    document: Document,
    file: File,
}

pub(super) fn check(files: &[Part]) -> Result<Configuration, Vec<Finding>> {
    let mut findings = check_names(files);
    let schema = text::operator_file();
    let mut sources = Vec::new();
    for part in files {
        let mut document = Document::read(&part.name, &part.text);
        match document.check::<File>(&schema) {
            Ok(file) => sources.push(Source { document, file }),
            Err(found) => findings.extend(found),
        }
    }
    // References into a file that could not be parsed would all be reported as broken.
    if findings.is_empty() {
        let mut checker = Checker::new(&sources);
        checker.check();
        findings = checker.findings;
        findings.sort_by(|left, right| sort_key(left).cmp(&sort_key(right)));
    }
    if findings.is_empty() { Ok(merge(sources)) } else { Err(findings) }
}

fn sort_key(finding: &Finding) -> (&str, u32, u32) {
    (&finding.file, finding.line, finding.column)
}

/// Checks the names and sizes of the files before any is parsed.
fn check_names(files: &[Part]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut seen = BTreeSet::new();
    let mut add = |file: &str, what: String, expected: &str| {
        let (file, expected) = (file.to_owned(), expected.to_owned());
        findings.push(Finding { file, line: 1, column: 1, what, expected });
    };
    if files.is_empty() {
        add("(no file)", "there is no file".into(), "at least one file whose name ends in .toml");
    }
    for part in files {
        if !seen.insert(&part.name) {
            add(&part.name, "the file is given twice".into(), "each file once");
        }
        if part.text.len() > MAX_FILE_BYTES {
            let what = format!("the file has {} bytes", part.text.len());
            add(&part.name, what, &format!("at most {MAX_FILE_BYTES} bytes in one file"));
        }
    }
    findings
}

fn merge(sources: Vec<Source>) -> Configuration {
    let mut configuration = Configuration {
        zones: BTreeMap::new(),
        teams: BTreeMap::new(),
        models: BTreeMap::new(),
        services: BTreeMap::new(),
        origin_weight: DEFAULT_ORIGIN_WEIGHT,
    };
    for Source { file, .. } in sources {
        configuration.zones.extend(file.zone.into_iter().map(|zone| (zone.name.clone(), zone)));
        configuration.teams.extend(file.team.into_iter().map(|team| (team.name.clone(), team)));
        configuration
            .models
            .extend(file.model.into_iter().map(|model| (model.name.clone(), model)));
        let services = file.service.into_iter().map(|service| (service.name.clone(), service));
        configuration.services.extend(services);
        if let Some(policy) = file.policy {
            configuration.origin_weight = policy.origin_weight;
        }
    }
    configuration
}

/// Checks what the schema of a single file cannot: names and references across files, and limits
/// that depend on several keys.
struct Checker<'a> {
    sources: &'a [Source],
    zones: BTreeSet<&'a str>,
    teams: BTreeSet<&'a str>,
    models: BTreeMap<&'a str, &'a Model>,
    findings: Vec<Finding>,
}

impl<'a> Checker<'a> {
    fn new(sources: &'a [Source]) -> Self {
        let files = || sources.iter().map(|source| &source.file);
        Self {
            sources,
            zones: files().flat_map(|file| &file.zone).map(|zone| zone.name.as_str()).collect(),
            teams: files().flat_map(|file| &file.team).map(|team| team.name.as_str()).collect(),
            models: files()
                .flat_map(|file| &file.model)
                .map(|model| (model.name.as_str(), model))
                .collect(),
            findings: Vec::new(),
        }
    }

    fn check(&mut self) {
        let sources = self.sources;
        self.check_unique("zone", |file| file.zone.iter().map(|it| it.name.as_str()).collect());
        self.check_unique("team", |file| file.team.iter().map(|it| it.name.as_str()).collect());
        self.check_unique("model", |file| file.model.iter().map(|it| it.name.as_str()).collect());
        self.check_unique("service", |file| {
            file.service.iter().map(|it| it.name.as_str()).collect()
        });
        self.check_policy();
        for source in sources {
            for (index, model) in source.file.model.iter().enumerate() {
                self.check_versions(source, &format!("/model/{index}"), model);
            }
            for (index, service) in source.file.service.iter().enumerate() {
                self.check_service(source, &format!("/service/{index}"), service);
            }
        }
        if self.zones.is_empty()
            && let Some(first) = sources.first()
        {
            self.add(first, "", "no availability zone is declared", "at least one [[zone]]");
        }
    }

    fn add(&mut self, source: &Source, pointer: &str, what: &str, expected: &str) {
        self.findings.push(source.document.finding_at(pointer, what, expected));
    }

    /// Reports names that are declared more than once, in one file or in several.
    fn check_unique(&mut self, kind: &str, names: impl Fn(&'a File) -> Vec<&'a str>) {
        let mut seen = BTreeSet::new();
        for source in self.sources {
            for (index, name) in names(&source.file).into_iter().enumerate() {
                if !seen.insert(name) {
                    let pointer = format!("/{kind}/{index}/name");
                    let what = format!("{kind} `{name}` is declared twice");
                    self.add(source, &pointer, &what, &format!("each {kind} once in all files"));
                }
            }
        }
    }

    fn check_policy(&mut self) {
        let with_policy = self.sources.iter().filter(|source| source.file.policy.is_some());
        for source in with_policy.skip(1) {
            self.add(
                source,
                "/policy",
                "the policy is declared twice",
                "one [policy] in all files",
            );
        }
    }

    fn check_versions(&mut self, source: &Source, at: &str, model: &Model) {
        let mut seen = BTreeSet::new();
        for (index, version) in model.version.iter().enumerate() {
            if !seen.insert(&version.name) {
                let what =
                    format!("version `{}` of `{}` is declared twice", version.name, model.name);
                self.add(source, &format!("{at}/version/{index}/name"), &what, "each version once");
            }
        }
    }

    fn check_service(&mut self, source: &Source, at: &str, service: &Service) {
        match service.kind {
            Kind::Model => self.check_model(source, at, service),
            Kind::Plain => self.check_plain(source, at, service),
        }
        self.check_minimum(source, at, service);
        let zones = service.placement.iter().flat_map(|placement| &placement.zones);
        for (index, zone) in zones.enumerate() {
            if !self.zones.contains(zone.as_str()) {
                let what = format!("availability zone `{zone}` is not declared");
                let pointer = format!("{at}/placement/zones/{index}");
                self.add(source, &pointer, &what, "the name of a [[zone]]");
            }
        }
        for (index, team) in service.teams.iter().enumerate() {
            if !self.teams.contains(team.as_str()) {
                let what = format!("team `{team}` is not declared");
                self.add(source, &format!("{at}/teams/{index}"), &what, "the name of a [[team]]");
            }
        }
        for (index, call) in service.not_repeatable.iter().enumerate() {
            if !is_call_path(&call.path) {
                let what = format!("{:?} is not a valid path pattern", call.path);
                let expected = "a path that starts with '/', with '*' only as its last character";
                self.add(source, &format!("{at}/not_repeatable/{index}/path"), &what, expected);
            }
        }
    }

    fn check_model(&mut self, source: &Source, at: &str, service: &Service) {
        let Some(name) = &service.model else {
            let what = format!("model service `{}` names no model", service.name);
            return self.add(source, at, &what, "the key `model`");
        };
        let Some(model) = self.models.get(name.as_str()).copied() else {
            let what = format!("model `{name}` is not declared");
            return self.add(source, &format!("{at}/model"), &what, "the name of a [[model]]");
        };
        let versions: Vec<_> =
            model.version.iter().map(|version| format!("`{}`", version.name)).collect();
        let expected = format!("one of {}", versions.join(", "));
        match &service.version {
            None => {
                let what = format!("model service `{}` names no version", service.name);
                self.add(source, at, &what, &format!("the key `version`, {expected}"));
            }
            Some(wanted) if !model.version.iter().any(|version| version.name == *wanted) => {
                let what = format!("model `{name}` has no version `{wanted}`");
                self.add(source, &format!("{at}/version"), &what, &expected);
            }
            Some(_) => {}
        }
    }

    fn check_plain(&mut self, source: &Source, at: &str, service: &Service) {
        for (key, given) in
            [("model", service.model.is_some()), ("version", service.version.is_some())]
        {
            if given {
                let what = format!("plain service `{}` has a {key}", service.name);
                let expected = format!("no key `{key}` where the kind is \"plain\"");
                self.add(source, &format!("{at}/{key}"), &what, &expected);
            }
        }
    }

    fn check_minimum(&mut self, source: &Source, at: &str, service: &Service) {
        let replicas = service.replicas.get();
        if service.minimum.is_some_and(|minimum| minimum > replicas) {
            let what = format!("the minimum of `{}` is above its replicas", service.name);
            self.add(source, &format!("{at}/minimum"), &what, &format!("at most {replicas}"));
        }
    }
}

fn is_call_path(path: &str) -> bool {
    let body = path.strip_suffix('*').unwrap_or(path);
    path.starts_with('/') && !body.contains('*')
}
