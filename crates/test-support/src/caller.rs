//! Callers: they send requests and check every answer whole.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use cinderspoke::endpoint::Piece;
use cinderspoke::entry::callers::{KEY, MANIFEST, OUTCOME, REPEAT, TEAM};
use cinderspoke::util::http::{Client, Error, uri};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Service, Team};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::engine;

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer to its own request.
    Whole {
        /// The weights with which a model answered.
        manifest: Option<Digest>,
    },
    /// Word that the request has not run.
    NotRun(StatusCode),
    /// Word that the request may have run, or none at all.
    Unknown(String),
    /// Word that the request is wrong.
    Bad(StatusCode, String),
    /// An answer that broke off, and could not be taken for a whole one.
    Broken(String),
    /// An answer that is wrong and looks whole: this must never happen.
    Wrong(String),
}

/// An answer, and the time until its first byte.
#[derive(Debug, Clone)]
pub struct Timed {
    /// What came.
    pub answer: Answer,
    /// The time from sending the request to the first byte of its body.
    pub first_byte: Duration,
}

/// Sends requests as a team.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    team: Team,
}

impl Caller {
    /// A caller of a team.
    #[must_use]
    pub fn new(team: Team) -> Self {
        Self::over(Client::new(), team)
    }

    /// A caller of a team that reaches entry instances through a client.
    #[must_use]
    pub fn over(client: Client, team: Team) -> Self {
        Self { client, team }
    }

    /// Asks a model, and checks the answer.
    pub async fn generate(
        &self,
        entry: SocketAddr,
        service: &Service,
        prompt: &str,
        tokens: u32,
    ) -> Timed {
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": tokens }).to_string();
        let request = self.request(entry, Method::POST, service, "/generate", body, false);
        let started = Instant::now();
        self.exchange(entry, request, started, |headers, body| {
            check_pieces(headers, body, prompt, tokens)
        })
        .await
    }

    /// Calls a plain service, and checks the answer.
    pub async fn call(
        &self,
        entry: SocketAddr,
        service: &Service,
        path: &str,
        body: &str,
        repeatable: bool,
    ) -> Timed {
        let request = self.request(entry, Method::POST, service, path, body.into(), !repeatable);
        let expected = crate::service::answer(service, "POST", path, body);
        let started = Instant::now();
        self.exchange(entry, request, started, |_, got| {
            if got == expected.as_bytes() {
                Answer::Whole { manifest: None }
            } else {
                Answer::Wrong(String::from_utf8_lossy(got).into_owned())
            }
        })
        .await
    }

    /// Calls a plain service with a key, for a request that may run once.
    pub async fn call_once(
        &self,
        entry: SocketAddr,
        service: &Service,
        key: &str,
        body: &str,
    ) -> Answer {
        let mut request = self.request(entry, Method::POST, service, "/bills", body.into(), true);
        if let Ok(key) = HeaderValue::from_str(key) {
            request.headers_mut().insert(KEY, key);
        }
        let expected = crate::service::answer(service, "POST", "/bills", body);
        let check = |_: &HeaderMap, got: &[u8]| match got == expected.as_bytes() {
            true => Answer::Whole { manifest: None },
            false => Answer::Wrong(String::from_utf8_lossy(got).into_owned()),
        };
        self.exchange(entry, request, Instant::now(), check).await.answer
    }

    fn request(
        &self,
        entry: SocketAddr,
        method: Method,
        service: &Service,
        path: &str,
        body: String,
        once: bool,
    ) -> Request<Body> {
        let uri = uri(entry, &format!("/v1/services/{service}{path}"))
            .expect("tests ask for paths that a URI can have");
        let mut request = Request::new(Body::from(body));
        (*request.method_mut(), *request.uri_mut()) = (method, uri);
        let headers = request.headers_mut();
        if let Ok(team) = HeaderValue::from_str(self.team.as_str()) {
            headers.insert(TEAM, team);
        }
        if once {
            headers.insert(REPEAT, HeaderValue::from_static("never"));
        }
        request
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        request: Request<Body>,
        started: Instant,
        check: impl FnOnce(&HeaderMap, &[u8]) -> Answer,
    ) -> Timed {
        let response = match self.client.send(entry, request).await {
            Ok(response) => response,
            Err(error) => {
                let answer = match error {
                    Error::Invalid(..) | Error::Connect(..) => {
                        Answer::NotRun(StatusCode::SERVICE_UNAVAILABLE)
                    }
                    other => Answer::Unknown(other.to_string()),
                };
                return Timed { answer, first_byte: started.elapsed() };
            }
        };
        let (head, mut body) = response.into_parts();
        let (mut bytes, mut first_byte) = (Vec::new(), None);
        while let Some(frame) = body.frame().await {
            first_byte.get_or_insert_with(|| started.elapsed());
            match frame {
                Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
                Err(error) => {
                    let answer = Answer::Broken(error.to_string());
                    return Timed { answer, first_byte: started.elapsed() };
                }
            }
        }
        let first_byte = first_byte.unwrap_or_else(|| started.elapsed());
        let text = || String::from_utf8_lossy(&bytes).into_owned();
        let answer = match head.headers.get(OUTCOME).map(HeaderValue::as_bytes) {
            Some(b"answered") => check(&head.headers, &bytes),
            Some(b"not-run") => Answer::NotRun(head.status),
            Some(b"unknown") => Answer::Unknown(text()),
            Some(b"bad-request") => Answer::Bad(head.status, text()),
            _ => Answer::Wrong(format!("no outcome is named: {} {}", head.status, text())),
        };
        Timed { answer, first_byte }
    }
}

/// Checks that an answer is whole, and that every token is of the same weights and prompt.
fn check_pieces(headers: &HeaderMap, body: &[u8], prompt: &str, tokens: u32) -> Answer {
    let manifest =
        headers.get(MANIFEST).and_then(|value| value.to_str().ok()?.parse::<Digest>().ok());
    let Some(manifest) = manifest else { return Answer::Wrong("no manifest is named".into()) };
    let lines = body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let mut expected = 0;
    let mut done = false;
    for line in lines {
        match serde_json::from_slice(line) {
            Ok(Piece::Token { position, text }) if position == expected && !done => {
                if text != engine::token(manifest, prompt, position) {
                    return Answer::Wrong(format!("token {position} is of another answer"));
                }
                expected += 1;
            }
            Ok(Piece::Done { tokens: told }) if told == expected && !done => done = true,
            other => return Answer::Wrong(format!("unexpected piece {other:?}")),
        }
    }
    if done && expected == u64::from(tokens) {
        Answer::Whole { manifest: Some(manifest) }
    } else {
        Answer::Wrong(format!("the answer ends after {expected} tokens of {tokens}"))
    }
}
