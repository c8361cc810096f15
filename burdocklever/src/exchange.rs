//! Catalogue exchange between entry VMs over HTTP with MessagePack bodies.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::Router;
use wire::Address;

use crate::control_state::{peer_error, CatalogueReply, CatalogueRequest, ControlState};
use crate::platform_client::Result;
use crate::time::Ms;

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
            log::warn!(target: "peer", error = error.to_string().as_str();
                "malformed catalogue request refused; its sender asks others or the store");
            return StatusCode::BAD_REQUEST.into_response();
        }
    };
    match state.answer(&request).await {
        Ok(body) => body.into_response(),
        Err(error) => {
            log::error!(target: "peer", error = error.to_string().as_str(); "failed to answer a catalogue request");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

/// Sends a catalogue request to the peer at `address`.
///
/// # Errors
///
/// [`crate::Code::NoPeer`] if it does not answer, or not in this format.
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
    let reply = reply.error_for_status().map_err(peer_error)?;
    let body = reply.bytes().await.map_err(peer_error)?;
    rmp_serde::from_slice(&body).map_err(peer_error)
}
