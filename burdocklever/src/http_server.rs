//! HTTP server of an entry VM: callers' requests, requests and bulk messages of
//! other VMs, health, status and metrics.

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

use crate::claim::TargetResponse;
use crate::code::Code;
use crate::driver::Driver;
use crate::event::{Event, Outcome, PeerTask, Request, RequestId};
use crate::idempotency_key::IdempotencyKey;
use crate::metrics::Metrics;
use crate::msg::Envelope;
use crate::request::RETRY_AFTER;
use crate::time::Ms;
use crate::trace::Span;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Largest bulk message between VMs in bytes.
const MAX_BULK_BYTES: usize = 64 << 20;
/// Largest response of a target to a request with an idempotency key, in bytes. Such
/// a response is buffered, not streamed.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Deadline of a request without a deadline header.
const DEFAULT_DEADLINE: Ms = Ms(10_000);
/// Path prefix of requests forwarded to the owner of their idempotency key.
const OWN_PREFIX: &str = "/peer/own";
/// Path prefix of requests forwarded to an admission controller.
const RUN_PREFIX: &str = "/peer/run";

/// An HTTP request as received, to be proxied to a target or another VM.
pub(crate) struct IncomingRequest {
    method: Method,
    path: Box<str>,
    service: Box<str>,
    key: Option<Box<str>>,
    body: Bytes,
    span: Span,
}

/// Response to a request.
pub(crate) enum Response {
    /// A result code of the load balancer itself, with the time after which to
    /// retry and the idempotency key to use.
    Code(Code, Option<Ms>, Option<IdempotencyKey>),
    /// A target's complete response.
    Complete(TargetResponse),
    /// A target's response whose body is streamed while it arrives.
    Stream(StatusCode, HeaderMap, Body),
}

impl Response {
    /// The response that reports the outcome of a request.
    pub(crate) fn from_outcome(outcome: Outcome) -> Response {
        match outcome {
            Outcome::Answered(response) => Response::Complete(response),
            Outcome::NotStarted { after, shed: false } => {
                Response::Code(Code::NotStarted, Some(after), None)
            }
            Outcome::NotStarted { after, shed: true } => {
                Response::Code(Code::Shed, Some(after), None)
            }
            Outcome::Busy { after } => Response::Code(Code::Busy, Some(after), None),
            Outcome::NotRun { after } => Response::Code(Code::NotRun, Some(after), None),
            Outcome::Unknown { after } => Response::Code(Code::Unknown, Some(after), None),
            Outcome::Lost => Response::Code(Code::Lost, None, None),
            Outcome::NeedKey(key) => Response::Code(Code::NeedKey, None, Some(key)),
            Outcome::Refused(code) => Response::Code(code, None, None),
        }
    }
}

fn http_status(code: Code) -> StatusCode {
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
            Response::Code(code, after, key) => code_response(code, after, key),
            Response::Complete(response) => {
                let status =
                    StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
                let headers = [(header::INCARNATION, response.incarnation.to_string())];
                (status, headers, response.body.to_vec()).into_response()
            }
            Response::Stream(status, headers, body) => (status, headers, body).into_response(),
        }
    }
}

fn code_response(
    code: Code,
    retry_after: Option<Ms>,
    key: Option<IdempotencyKey>,
) -> axum::response::Response {
    let text = format!("{code} {}\n", code.text());
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set(header::CODE, code.to_string());
    if let Some(after) = retry_after {
        set("retry-after", after.0.div_ceil(1000).max(1).to_string());
    }
    if let Some(key) = key {
        set(header::NEXT_IDEMPOTENCY_KEY, key.to_string());
    }
    (http_status(code), headers, text).into_response()
}

impl IncomingRequest {
    /// Builds the request that forwards this one to another VM for `task`.
    pub(crate) fn to_peer(
        &self,
        http: &reqwest::Client,
        to: SocketAddr,
        task: PeerTask,
        request: &Request,
    ) -> reqwest::RequestBuilder {
        let prefix = match task {
            PeerTask::Own => OWN_PREFIX,
            PeerTask::Run => RUN_PREFIX,
        };
        let url = format!("http://{to}{prefix}{}", self.path);
        self.build_request(http, url, request.deadline)
    }

    /// Builds the request to a target.
    pub(crate) fn to_target(
        &self,
        http: &reqwest::Client,
        to: SocketAddr,
        host: HostId,
        budget: Ms,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{to}{}", self.path);
        self.build_request(http, url, budget)
            .header(header::HOST, host.to_string())
    }

    fn build_request(
        &self,
        http: &reqwest::Client,
        url: String,
        deadline: Ms,
    ) -> reqwest::RequestBuilder {
        let mut request = http
            .request(self.method.clone(), url)
            .header(header::SERVICE, &*self.service)
            .header(header::DEADLINE, deadline.0.to_string())
            .header(header::TRACEPARENT, self.span.traceparent())
            .body(self.body.clone());
        if let Some(key) = &self.key {
            request = request.header(header::IDEMPOTENCY_KEY, &**key);
        }
        request
    }

    /// Sends a request and returns its outcome. A target's response to a request
    /// without an idempotency key is streamed to the caller instead: nothing is
    /// returned, and the outcome is fed to the node as `event` when the stream ends.
    pub(crate) async fn send(
        &self,
        driver: &Arc<Driver>,
        id: RequestId,
        request: reqwest::RequestBuilder,
        timeout: Duration,
        event: fn(RequestId, Outcome) -> Event,
    ) -> Option<Outcome> {
        let reply = match tokio::time::timeout(timeout, request.send()).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) if error.is_connect() => return Some(attempt_not_started(false)),
            Ok(Err(_)) | Err(_) => return Some(Outcome::Unknown { after: Ms(0) }),
        };
        if let Some(code) = response_code(reply.headers()) {
            return Some(outcome_of_code(code, reply.headers()));
        }
        if self.key.is_some() {
            let response = tokio::time::timeout(timeout, read_response(reply)).await;
            return Some(match response {
                Ok(Some(response)) => Outcome::Answered(response),
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
        let guard = StreamGuard {
            driver: driver.clone(),
            id,
            event,
            response: TargetResponse {
                status: status.as_u16(),
                incarnation: response_incarnation(reply.headers()),
                body: Arc::from([]),
            },
        };
        let chunks = reply.bytes_stream().map(move |chunk| {
            let _guard = &guard;
            chunk
        });
        let response = Response::Stream(status, headers, Body::from_stream(chunks));
        driver.respond(id, response);
    }
}

/// Feeds the outcome of a request once its response has been streamed or the stream
/// was dropped.
struct StreamGuard {
    driver: Arc<Driver>,
    id: RequestId,
    event: fn(RequestId, Outcome) -> Event,
    response: TargetResponse,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let outcome = Outcome::Answered(self.response.clone());
        self.driver.feed((self.event)(self.id, outcome));
    }
}

/// Reads a complete response. Returns nothing if the connection breaks or the response
/// is too large.
async fn read_response(mut reply: reqwest::Response) -> Option<TargetResponse> {
    let status = reply.status().as_u16();
    let incarnation = response_incarnation(reply.headers());
    let mut body = Vec::new();
    while let Some(chunk) = reply.chunk().await.ok()? {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(TargetResponse {
        status,
        incarnation,
        body: body.into(),
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn response_code(headers: &HeaderMap) -> Option<Code> {
    header_text(headers, header::CODE)?.parse().ok()
}

fn response_incarnation(headers: &HeaderMap) -> Incarnation {
    let incarnation = header_text(headers, header::INCARNATION).and_then(|t| t.parse().ok());
    incarnation.unwrap_or(Incarnation(0))
}

/// Outcome of an attempt that did not start; `shed` if the target refused it.
fn attempt_not_started(shed: bool) -> Outcome {
    Outcome::NotStarted {
        after: RETRY_AFTER,
        shed,
    }
}

/// The outcome that a result code of a target or another VM stands for.
fn outcome_of_code(code: Code, headers: &HeaderMap) -> Outcome {
    let after = header_text(headers, "retry-after").and_then(|t| t.parse().ok());
    let after = Ms(after.unwrap_or(0u64).saturating_mul(1000));
    match code {
        Code::Busy => Outcome::Busy { after },
        Code::NotRun => Outcome::NotRun { after },
        Code::NotStarted => attempt_not_started(false),
        Code::Shed => attempt_not_started(true),
        Code::Lost => Outcome::Lost,
        Code::Unknown => Outcome::Unknown { after },
        other => Outcome::Refused(other),
    }
}

/// State shared by the HTTP handlers.
#[derive(Clone)]
pub(crate) struct HttpState {
    pub(crate) driver: Arc<Driver>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Serves HTTP at `address` until `stop` resolves.
pub(crate) async fn serve(
    address: SocketAddr,
    state: HttpState,
    stop: impl std::future::Future<Output = ()> + Send + 'static,
) -> std::io::Result<tokio::task::JoinHandle<()>> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    let app = Router::new()
        .route("/health", get(|| async { "alive\n" }))
        .route("/ready", get(ready))
        .route("/status", get(status_page))
        .route("/metrics", get(metrics_page))
        .route("/peer/bulk", post(receive_bulk))
        .fallback(proxy_request)
        .with_state(state);
    Ok(tokio::spawn(async move {
        let server = axum::serve(listener, app).with_graceful_shutdown(stop);
        if let Err(error) = server.await {
            log::error!(target: "edge", "HTTP server failed: {error}.");
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
    let control_bytes = state.driver.control_bytes();
    let status = state
        .driver
        .read(|node| crate::status::Status::of(node, control_bytes));
    axum::Json(status)
}

async fn metrics_page(State(state): State<HttpState>) -> String {
    state.metrics.encode(crate::metrics::sample(&state.driver))
}

async fn receive_bulk(State(state): State<HttpState>, body: Body) -> StatusCode {
    let Ok(body) = axum::body::to_bytes(body, MAX_BULK_BYTES).await else {
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

/// Serves a caller's request, or one that another VM forwards.
async fn proxy_request(
    State(state): State<HttpState>,
    http_request: axum::extract::Request,
) -> axum::response::Response {
    let (parts, body) = http_request.into_parts();
    let full_path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let (task, path) = match (
        full_path.strip_prefix(OWN_PREFIX),
        full_path.strip_prefix(RUN_PREFIX),
    ) {
        (Some(path), _) => (Some(PeerTask::Own), path),
        (_, Some(path)) => (Some(PeerTask::Run), path),
        _ => (None, full_path),
    };
    let Ok(body) = axum::body::to_bytes(body, MAX_BODY_BYTES).await else {
        return code_response(Code::TooLarge, None, None);
    };
    let Some(service) = header_text(&parts.headers, header::SERVICE) else {
        return code_response(Code::NoService, None, None);
    };
    let Ok(service_id) = service.parse() else {
        return code_response(Code::NoService, None, None);
    };
    let key_text = header_text(&parts.headers, header::IDEMPOTENCY_KEY);
    let key = match key_text.map(str::parse::<IdempotencyKey>).transpose() {
        Ok(key) => key,
        Err(_) => return code_response(Code::BadKey, None, None),
    };
    let deadline = header_text(&parts.headers, header::DEADLINE).and_then(|t| t.parse().ok());
    let span = Span::start(
        span_name(task),
        header_text(&parts.headers, header::TRACEPARENT),
    );
    span.set_attribute("service", service);
    let incoming = IncomingRequest {
        method: parts.method,
        path: path.into(),
        service: service.into(),
        key: key_text.map(Into::into),
        body,
        span,
    };
    let request = Request {
        service: service_id,
        key,
        deadline: deadline.map_or(DEFAULT_DEADLINE, Ms),
    };
    let reply = state.driver.handle_request(task, request, incoming).await;
    let mut response = match reply {
        Ok(reply) => reply.into_response(),
        Err(_) => code_response(Code::Unknown, Some(Ms(1000)), None),
    };
    if task.is_none() && needs_next_key(&response) {
        let next = state.driver.issue_key().to_string();
        if let Ok(value) = next.parse() {
            response
                .headers_mut()
                .insert(header::NEXT_IDEMPOTENCY_KEY, value);
        }
    }
    response
}

/// Whether the caller's next request needs a new key: this request was answered, or
/// its key will never be run.
fn needs_next_key(response: &axum::response::Response) -> bool {
    let code = response_code(response.headers());
    matches!(code, None | Some(Code::NotRun) | Some(Code::Lost))
}

fn span_name(task: Option<PeerTask>) -> &'static str {
    match task {
        None => "edge",
        Some(PeerTask::Own) => "owner",
        Some(PeerTask::Run) => "steward",
    }
}
