//! Exchange of catalogues between gateways: HTTP with MessagePack bodies.
//!
//! A peer answers as soon as it knows something that the asker lacks, or after
//! the time that the asker is willing to wait.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::Router;
use serde::{Deserialize, Serialize};
use tokio::sync::watch::Receiver;
use wire::{Address, Version};

use crate::book::Update;
use crate::code::Code;
use crate::platform::{Error, Result};
use crate::store::Feed;
use crate::time::Ms;

/// Longest time that a peer may be asked to wait. With it and the trip there,
/// what the asker knows is no older than `relay::age_max` while all is well.
pub(crate) const WAIT: Ms = Ms(800);
/// Time that the trip to a peer and back may take, and its processor time.
const TRIP: Duration = Duration::from_millis(400);

/// Bytes a second that a VM tells its peers, and as a burst: a tenth of the
/// smallest link, 10 Mbit/s. Packets share the link; larger news is read from
/// the store.
const BYTES_RATE: f64 = 125_000.0;

/// Bytes that may be told now.
#[derive(Debug)]
struct Allowance {
    bytes: f64,
    filled: Instant,
}

impl Allowance {
    /// Takes `bytes` if so many are left.
    fn take(&mut self, now: Instant, bytes: usize) -> bool {
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.bytes = (self.bytes + passed * BYTES_RATE).min(BYTES_RATE);
        self.filled = now;
        let fits = bytes as f64 <= self.bytes;
        if fits {
            self.bytes -= bytes as f64;
        }
        fits
    }
}

/// What one gateway asks another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Question {
    /// Revision up to which the asker knows each feed.
    pub(crate) from: [Version; Feed::COUNT],
    /// Time that it is willing to wait for news.
    pub(crate) wait: Ms,
}

/// What an asker lacks; none while this VM knows nothing fresh itself.
pub(crate) type Answer = dyn Fn(&Question) -> Option<Update> + Send + Sync;

/// What a gateway answers from.
pub(crate) struct Source {
    /// Gives the answer.
    pub(crate) update: Box<Answer>,
    /// Changes with every change of the catalogue.
    pub(crate) changed: Receiver<u64>,
}

/// The peers' end of a gateway.
pub(crate) fn app(source: Source) -> Router {
    let source = Arc::new(source);
    let allowance = Arc::new(Mutex::new(Allowance {
        bytes: BYTES_RATE,
        filled: Instant::now(),
    }));
    let answer = move |body: Bytes| {
        let (source, allowance) = (source.clone(), allowance.clone());
        async move { reply(&source, &allowance, &body).await }
    };
    Router::new().route("/catalogue", post(answer))
}

async fn reply(source: &Source, allowance: &Mutex<Allowance>, body: &[u8]) -> Response {
    let question: Question = match rmp_serde::from_slice(body) {
        Ok(question) => question,
        Err(error) => {
            log::warn!(target: "peer", error = error.to_string().as_str(); "question not understood");
            return StatusCode::BAD_REQUEST.into_response();
        }
    };
    let mut changed = source.changed.clone();
    changed.borrow_and_update();
    let mut update = (source.update)(&question);
    if update.as_ref().is_some_and(|u| u.objects.is_empty()) {
        let wait = Duration::from_millis(question.wait.0.min(WAIT.0));
        // A timeout is an answer too: nothing has changed.
        let _ = tokio::time::timeout(wait, changed.changed()).await;
        update = (source.update)(&question);
    }
    let Some(update) = update else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    match rmp_serde::to_vec(&update) {
        Ok(body) => {
            let mut allowance = allowance.lock().unwrap_or_else(|e| e.into_inner());
            match allowance.take(Instant::now(), body.len()) {
                true => body.into_response(),
                false => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
            }
        }
        Err(error) => {
            log::error!(target: "peer", error = error.to_string().as_str(); "answer not encoded");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

/// Asks the peer at `address`.
///
/// # Errors
///
/// [`Code::NoPeer`] if it does not answer or knows nothing fresh,
/// [`Code::TooMuch`] if it has more to tell than its link should carry.
pub(crate) async fn ask(
    http: &reqwest::Client,
    address: Address,
    question: &Question,
) -> Result<Update> {
    let body = rmp_serde::to_vec(question).map_err(no_peer)?;
    let timeout = Duration::from_millis(question.wait.0) + TRIP;
    let url = format!("http://{address}/catalogue");
    let request = http.post(url).timeout(timeout).body(body);
    let reply = request.send().await.map_err(no_peer)?;
    if reply.status() == StatusCode::PAYLOAD_TOO_LARGE {
        return Err(Error {
            code: Code::TooMuch,
            detail: "read it from the store".into(),
        });
    }
    let reply = reply.error_for_status().map_err(no_peer)?;
    let body = reply.bytes().await.map_err(no_peer)?;
    rmp_serde::from_slice(&body).map_err(no_peer)
}

fn no_peer(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::NoPeer,
        detail: error.to_string().into(),
    }
}
