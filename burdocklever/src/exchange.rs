//! Catalogue exchange between entry VMs over HTTP with MessagePack bodies.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::Router;
use wire::Address;

use crate::code::Code;
use crate::control_plane::{peer_error, CatalogueReply, CatalogueRequest, ControlState};
use crate::platform_client::{Error, Result};
use crate::time::Ms;

/// HTTP status of each result code that says why a peer sends no update.
const ERROR_STATUS: [(Code, StatusCode); 2] = [
    (Code::UpdateTooLarge, StatusCode::PAYLOAD_TOO_LARGE),
    (Code::StaleReplica, StatusCode::SERVICE_UNAVAILABLE),
];

/// HTTP routes for peers.
pub(crate) fn app(state: Arc<ControlState>) -> Router {
    let handler = move |body: Bytes| {
        let state = state.clone();
        async move { handle(&state, &body).await }
    };
    Router::new().route("/catalogue", post(handler))
}

async fn handle(state: &ControlState, body: &[u8]) -> Response {
    let request: CatalogueRequest = match rmp_serde::from_slice(body) {
        Ok(request) => request,
        Err(error) => {
            log::warn!(target: "peer", error = error.to_string().as_str(); "malformed catalogue request");
            return StatusCode::BAD_REQUEST.into_response();
        }
    };
    match state.answer(&request).await {
        Ok(body) => body.into_response(),
        Err(error) => {
            let known = ERROR_STATUS.iter().find(|(code, _)| *code == error.code);
            match known {
                Some((_, status)) => status.into_response(),
                None => {
                    log::error!(target: "peer", error = error.to_string().as_str(); "failed to answer a catalogue request");
                    StatusCode::INTERNAL_SERVER_ERROR.into_response()
                }
            }
        }
    }
}

/// Sends a catalogue request to the peer at `address`.
///
/// # Errors
///
/// [`Code::NoPeer`] if it does not answer, [`Code::StaleReplica`] if its replica is
/// stale, [`Code::UpdateTooLarge`] if the reply exceeds the peer's byte budget.
pub(crate) async fn query_peer(
    http: reqwest::Client,
    address: Address,
    request: CatalogueRequest,
    timeout: Ms,
) -> Result<CatalogueReply> {
    let body = rmp_serde::to_vec(&request).map_err(peer_error)?;
    let timeout = Duration::from_millis(timeout.0);
    let url = format!("http://{address}/catalogue");
    let request = http.post(url).timeout(timeout).body(body);
    let reply = request.send().await.map_err(peer_error)?;
    let known = ERROR_STATUS.iter().find(|(_, s)| *s == reply.status());
    if let Some((code, status)) = known {
        return Err(Error {
            code: *code,
            detail: status.to_string().into(),
        });
    }
    let reply = reply.error_for_status().map_err(peer_error)?;
    let body = reply.bytes().await.map_err(peer_error)?;
    rmp_serde::from_slice(&body).map_err(peer_error)
}
