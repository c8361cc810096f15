//! Exchange of catalogues between gateways: HTTP with MessagePack bodies.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::Router;
use wire::Address;

use crate::code::Code;
use crate::control_plane::{no_peer, CatalogueReply, CatalogueRequest, ControlState};
use crate::platform_client::{Error, Result};
use crate::time::Ms;

/// How refusals travel.
const REFUSALS: [(Code, StatusCode); 2] = [
    (Code::TooMuch, StatusCode::PAYLOAD_TOO_LARGE),
    (Code::NotFresh, StatusCode::SERVICE_UNAVAILABLE),
];

/// The peers' end of a gateway.
pub(crate) fn app(known: Arc<ControlState>) -> Router {
    let answer = move |body: Bytes| {
        let known = known.clone();
        async move { reply(&known, &body).await }
    };
    Router::new().route("/catalogue", post(answer))
}

async fn reply(known: &ControlState, body: &[u8]) -> Response {
    let request: CatalogueRequest = match rmp_serde::from_slice(body) {
        Ok(request) => request,
        Err(error) => {
            log::warn!(target: "peer", error = error.to_string().as_str(); "question not understood");
            return StatusCode::BAD_REQUEST.into_response();
        }
    };
    match known.answer(&request).await {
        Ok(body) => body.into_response(),
        Err(error) => {
            let refusal = REFUSALS.iter().find(|(code, _)| *code == error.code);
            match refusal {
                Some((_, status)) => status.into_response(),
                None => {
                    log::error!(target: "peer", error = error.to_string().as_str(); "no answer made");
                    StatusCode::INTERNAL_SERVER_ERROR.into_response()
                }
            }
        }
    }
}

/// Asks the peer at `address`.
///
/// # Errors
///
/// [`Code::NoPeer`] if it does not answer, [`Code::NotFresh`] if it knows nothing
/// fresh, [`Code::TooMuch`] if it has more to tell than its link should carry.
pub(crate) async fn query_peer(
    http: reqwest::Client,
    address: Address,
    request: CatalogueRequest,
    timeout: Ms,
) -> Result<CatalogueReply> {
    let body = rmp_serde::to_vec(&request).map_err(no_peer)?;
    let timeout = Duration::from_millis(timeout.0);
    let url = format!("http://{address}/catalogue");
    let request = http.post(url).timeout(timeout).body(body);
    let reply = request.send().await.map_err(no_peer)?;
    let refusal = REFUSALS.iter().find(|(_, s)| *s == reply.status());
    if let Some((code, status)) = refusal {
        return Err(Error {
            code: *code,
            detail: status.to_string().into(),
        });
    }
    let reply = reply.error_for_status().map_err(no_peer)?;
    let body = reply.bytes().await.map_err(no_peer)?;
    rmp_serde::from_slice(&body).map_err(no_peer)
}
