//! HTTP ends: callers' requests, work between VMs, health, status and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::IntoResponse;
use axum::routing::{get, post};
use axum::Router;
use bytes::Bytes;
use futures::StreamExt;
use wire::{header, HostId, Incarnation};

use crate::claim::Answer;
use crate::code::Code;
use crate::driver::Driver;
use crate::event::{Event, Hop, Outcome, Request, RequestId};
use crate::idempotency_key::IdempotencyKey;
use crate::metrics::Metrics;
use crate::msg::Envelope;
use crate::time::Ms;
use crate::trace::Span;

/// Largest request body in bytes.
const BODY_MAX: usize = 1 << 20;
/// Largest bulk message between VMs in bytes.
const BULK_MAX: usize = 64 << 20;
/// Largest answer to a request that may not be repeated, in bytes.
const ANSWER_MAX: usize = 64 << 10;
/// Time that a caller waits if it names no deadline.
const DEADLINE: Ms = Ms(10_000);
/// Path prefixes of work between VMs.
const OWN: &str = "/peer/own";
const RUN: &str = "/peer/run";

/// A request as it came in.
pub(crate) struct Call {
    method: Method,
    path: Box<str>,
    service: Box<str>,
    key: Option<Box<str>>,
    body: Bytes,
    span: Span,
}

/// What a request is answered with.
pub(crate) enum Response {
    /// A numbered result of this system's own.
    Coded(Code, Option<Ms>, Option<IdempotencyKey>),
    /// A target's whole answer.
    Whole(Answer),
    /// A target's answer that is still coming in.
    Stream(StatusCode, HeaderMap, Body),
}

impl Response {
    /// The response that tells how a request ended.
    pub(crate) fn from_outcome(outcome: Outcome) -> Response {
        match outcome {
            Outcome::Answered(answer) => Response::Whole(answer),
            Outcome::NotStarted { after, shed: false } => {
                Response::Coded(Code::NotStarted, Some(after), None)
            }
            Outcome::NotStarted { after, shed: true } => {
                Response::Coded(Code::Shed, Some(after), None)
            }
            Outcome::Busy { after } => Response::Coded(Code::Busy, Some(after), None),
            Outcome::NotRun { after } => Response::Coded(Code::NotRun, Some(after), None),
            Outcome::Unknown { after } => Response::Coded(Code::Unknown, Some(after), None),
            Outcome::Lost => Response::Coded(Code::Lost, None, None),
            Outcome::NeedKey(key) => Response::Coded(Code::NeedKey, None, Some(key)),
            Outcome::Refused(code) => Response::Coded(code, None, None),
        }
    }
}

fn status(code: Code) -> StatusCode {
    match code {
        Code::NoService => StatusCode::NOT_FOUND,
        Code::NeedKey => StatusCode::PRECONDITION_REQUIRED,
        Code::BadKey => StatusCode::BAD_REQUEST,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::Unknown | Code::Lost => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl IntoResponse for Response {
    fn into_response(self) -> axum::response::Response {
        match self {
            Response::Coded(code, after, key) => coded(code, after, key),
            Response::Whole(answer) => {
                let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
                let life = [(header::INCARNATION, answer.life.to_string())];
                (status, life, answer.body.to_vec()).into_response()
            }
            Response::Stream(status, headers, body) => (status, headers, body).into_response(),
        }
    }
}

fn coded(code: Code, after: Option<Ms>, key: Option<IdempotencyKey>) -> axum::response::Response {
    let text = format!("{code} {}\n", code.text());
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set(header::CODE, code.to_string());
    if let Some(after) = after {
        set("retry-after", after.0.div_ceil(1000).max(1).to_string());
    }
    if let Some(key) = key {
        set(header::NEXT_IDEMPOTENCY_KEY, key.to_string());
    }
    (status(code), headers, text).into_response()
}

impl Call {
    /// The request to another VM that asks for the given hop.
    pub(crate) fn to_peer(
        &self,
        http: &reqwest::Client,
        to: SocketAddr,
        hop: Hop,
        request: &Request,
    ) -> reqwest::RequestBuilder {
        let prefix = match hop {
            Hop::Own => OWN,
            Hop::Run => RUN,
        };
        let url = format!("http://{to}{prefix}{}", self.path);
        self.outgoing(http, url, request.deadline)
    }

    /// The request to a target.
    pub(crate) fn to_target(
        &self,
        http: &reqwest::Client,
        to: SocketAddr,
        host: HostId,
        budget: Ms,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{to}{}", self.path);
        self.outgoing(http, url, budget)
            .header(header::HOST, host.to_string())
    }

    fn outgoing(&self, http: &reqwest::Client, url: String, wait: Ms) -> reqwest::RequestBuilder {
        let mut request = http
            .request(self.method.clone(), url)
            .header(header::SERVICE, &*self.service)
            .header(header::DEADLINE, wait.0.to_string())
            .header(header::TRACEPARENT, self.span.header())
            .body(self.body.clone());
        if let Some(key) = &self.key {
            request = request.header(header::IDEMPOTENCY_KEY, &**key);
        }
        request
    }

    /// Sends a request and waits for its end. An answer to a request without a
    /// key streams to the caller; its end is fed as `event` later.
    pub(crate) async fn exchange(
        &self,
        driver: &Arc<Driver>,
        id: RequestId,
        request: reqwest::RequestBuilder,
        wait: Duration,
        event: fn(RequestId, Outcome) -> Event,
    ) -> Option<Outcome> {
        let reply = match tokio::time::timeout(wait, request.send()).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) if error.is_connect() => return Some(not_started(false)),
            Ok(Err(_)) | Err(_) => return Some(Outcome::Unknown { after: Ms(0) }),
        };
        if let Some(code) = code_of(reply.headers()) {
            return Some(end_of(code, reply.headers()));
        }
        if self.key.is_some() {
            let answer = tokio::time::timeout(wait, whole(reply)).await;
            return Some(match answer {
                Ok(Some(answer)) => Outcome::Answered(answer),
                _ => Outcome::Unknown { after: Ms(0) },
            });
        }
        self.stream(driver, id, reply, event);
        None
    }

    fn stream(
        &self,
        driver: &Arc<Driver>,
        id: RequestId,
        reply: reqwest::Response,
        event: fn(RequestId, Outcome) -> Event,
    ) {
        let status = reply.status();
        let mut headers = HeaderMap::new();
        for name in ["content-type", "content-length", header::INCARNATION] {
            if let Some(value) = reply.headers().get(name) {
                headers.insert(name, value.clone());
            }
        }
        let guard = StreamEnd {
            driver: driver.clone(),
            id,
            event,
            answer: Answer {
                status: status.as_u16(),
                life: life_of(reply.headers()),
                body: Arc::from([]),
            },
        };
        let chunks = reply.bytes_stream().map(move |chunk| {
            let _held = &guard;
            chunk
        });
        let response = Response::Stream(status, headers, Body::from_stream(chunks));
        driver.respond(id, response);
    }
}

/// Feeds the end of a request when its answer has streamed or was abandoned.
struct StreamEnd {
    driver: Arc<Driver>,
    id: RequestId,
    event: fn(RequestId, Outcome) -> Event,
    answer: Answer,
}

impl Drop for StreamEnd {
    fn drop(&mut self) {
        let end = Outcome::Answered(self.answer.clone());
        self.driver.feed((self.event)(self.id, end));
    }
}

/// Collects a whole answer, or nothing if it breaks off or is too large.
async fn whole(mut reply: reqwest::Response) -> Option<Answer> {
    let status = reply.status().as_u16();
    let life = life_of(reply.headers());
    let mut body = Vec::new();
    while let Some(chunk) = reply.chunk().await.ok()? {
        if body.len() + chunk.len() > ANSWER_MAX {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(Answer {
        status,
        life,
        body: body.into(),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn code_of(headers: &HeaderMap) -> Option<Code> {
    text(headers, header::CODE)?.parse().ok()
}

fn life_of(headers: &HeaderMap) -> Incarnation {
    let life = text(headers, header::INCARNATION).and_then(|t| t.parse().ok());
    life.unwrap_or(Incarnation(0))
}

fn not_started(shed: bool) -> Outcome {
    Outcome::NotStarted {
        after: Ms(200),
        shed,
    }
}

/// The end that another VM's or a target's coded answer tells of.
fn end_of(code: Code, headers: &HeaderMap) -> Outcome {
    let after = text(headers, "retry-after").and_then(|t| t.parse().ok());
    let after = Ms(after.unwrap_or(0u64).saturating_mul(1000));
    match code {
        Code::Busy => Outcome::Busy { after },
        Code::NotRun => Outcome::NotRun { after },
        Code::NotStarted => not_started(false),
        Code::Shed => not_started(true),
        Code::Lost => Outcome::Lost,
        Code::Unknown => Outcome::Unknown { after },
        other => Outcome::Refused(other),
    }
}

/// State of the HTTP ends.
#[derive(Clone)]
pub(crate) struct HttpState {
    pub(crate) driver: Arc<Driver>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Serves HTTP at `address` until `stop` resolves.
pub(crate) async fn bind(
    address: SocketAddr,
    state: HttpState,
    stop: impl std::future::Future<Output = ()> + Send + 'static,
) -> std::io::Result<tokio::task::JoinHandle<()>> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    let app = Router::new()
        .route("/health", get(|| async { "alive\n" }))
        .route("/ready", get(ready))
        .route("/status", get(status_page))
        .route("/metrics", get(metrics))
        .route("/peer/bulk", post(bulk))
        .fallback(request)
        .with_state(state);
    Ok(tokio::spawn(async move {
        let serve = axum::serve(listener, app).with_graceful_shutdown(stop);
        if let Err(error) = serve.await {
            log::error!(target: "edge", "HTTP end failed: {error}.");
        }
    }))
}

async fn ready(State(state): State<HttpState>) -> (StatusCode, &'static str) {
    if state.driver.read(|n| n.is_ready()) {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn status_page(State(state): State<HttpState>) -> impl IntoResponse {
    let control = state.driver.control_bytes();
    let status = state
        .driver
        .read(|node| crate::status::Status::of(node, control));
    axum::Json(status)
}

async fn metrics(State(state): State<HttpState>) -> String {
    state.metrics.encode(crate::metrics::sample(&state.driver))
}

async fn bulk(State(state): State<HttpState>, body: Body) -> StatusCode {
    let Ok(body) = axum::body::to_bytes(body, BULK_MAX).await else {
        return StatusCode::PAYLOAD_TOO_LARGE;
    };
    match rmp_serde::from_slice::<Envelope>(&body) {
        Ok(envelope) => {
            state.driver.handle_message(envelope);
            StatusCode::NO_CONTENT
        }
        Err(_) => StatusCode::BAD_REQUEST,
    }
}

/// Serves a caller's request, or another VM's work.
async fn request(
    State(state): State<HttpState>,
    incoming: axum::extract::Request,
) -> axum::response::Response {
    let (parts, body) = incoming.into_parts();
    let full = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let (hop, path) = match (full.strip_prefix(OWN), full.strip_prefix(RUN)) {
        (Some(path), _) => (Some(Hop::Own), path),
        (_, Some(path)) => (Some(Hop::Run), path),
        _ => (None, full),
    };
    let Ok(body) = axum::body::to_bytes(body, BODY_MAX).await else {
        return coded(Code::TooLarge, None, None);
    };
    let Some(service) = text(&parts.headers, header::SERVICE) else {
        return coded(Code::NoService, None, None);
    };
    let Ok(name) = service.parse() else {
        return coded(Code::NoService, None, None);
    };
    let key_text = text(&parts.headers, header::IDEMPOTENCY_KEY);
    let key = match key_text.map(str::parse::<IdempotencyKey>).transpose() {
        Ok(key) => key,
        Err(_) => return coded(Code::BadKey, None, None),
    };
    let deadline = text(&parts.headers, header::DEADLINE).and_then(|t| t.parse().ok());
    let span = Span::open(span_name(hop), text(&parts.headers, header::TRACEPARENT));
    span.set("service", service);
    let call = Call {
        method: parts.method,
        path: path.into(),
        service: service.into(),
        key: key_text.map(Into::into),
        body,
        span,
    };
    let request = Request {
        service: name,
        key,
        deadline: deadline.map_or(DEADLINE, Ms),
    };
    let reply = state.driver.handle_request(hop, request, call).await;
    let mut response = match reply {
        Ok(reply) => reply.into_response(),
        Err(_) => coded(Code::Unknown, Some(Ms(1000)), None),
    };
    if hop.is_none() && key_text_is_used(&response) {
        let next = state.driver.issue_key().to_string();
        if let Ok(value) = next.parse() {
            response
                .headers_mut()
                .insert(header::NEXT_IDEMPOTENCY_KEY, value);
        }
    }
    response
}

/// Whether the caller needs a fresh key for its next request.
fn key_text_is_used(response: &axum::response::Response) -> bool {
    let code = code_of(response.headers());
    matches!(code, None | Some(Code::NotRun) | Some(Code::Lost))
}

fn span_name(hop: Option<Hop>) -> &'static str {
    match hop {
        None => "edge",
        Some(Hop::Own) => "owner",
        Some(Hop::Run) => "steward",
    }
}
