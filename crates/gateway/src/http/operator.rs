//! Operators' interface: health, readiness, status, publication and drain.

use super::Board;
use crate::{blackboard::Blackboard, controller::facts};
use member::Source;
use ntex::{
    util::Bytes,
    web::{HttpRequest, HttpResponse},
};
use serde_json::json;
use std::sync::atomic::Ordering;
use units::EndpointId;
use wire::publication::Document;

/// Serves `GET /health`: the process is running.
pub async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok")
}

/// Serves `GET /ready`: whether new requests are accepted.
pub async fn ready(board: Board) -> HttpResponse {
    if board.is_ready() {
        HttpResponse::Ok().body("ready")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready")
    }
}

/// Serves `GET /status`: the state of the gateway as JSON.
pub async fn status(board: Board) -> HttpResponse {
    HttpResponse::Ok().json(&describe(&board))
}

fn describe(board: &Blackboard) -> serde_json::Value {
    let counters = &board.counters;
    let link = board.link.counters();
    let (udp_sent, udp_received) = board.link.udp_bytes();
    let members: Vec<_> = {
        let roster = board.roster.lock();
        let records = roster.records();
        records
            .map(|r| json!({"instance": r.instance, "state": r.state, "region": r.region}))
            .collect()
    };
    let map = board.map();
    let endpoints: Vec<_> = map
        .targets
        .values()
        .map(|t| json!({"endpoint": t.backend.endpoint, "service": t.backend.service, "leaving": t.leaving}))
        .collect();
    let cells: Vec<_> = map
        .cells
        .iter()
        .map(|(id, cell)| {
            json!({"cell": id.to_string(), "owner": cell.owners.first(),
            "endpoints": cell.endpoints.len()})
        })
        .collect();
    json!({
        "instance": board.settings.instance,
        "ready": board.is_ready(),
        "phase": format!("{:?}", board.phase()),
        "version": board.version(),
        "store_up": board.store_up.load(Ordering::Relaxed),
        "policy": board.settings.policy,
        "in_progress": board.in_progress.load(Ordering::Relaxed),
        "desk": board.dispatcher.sizes(),
        "accepted": counters.accepted.load(Ordering::Relaxed),
        "whole": counters.whole.load(Ordering::Relaxed),
        "refused": counters.refused.load(Ordering::Relaxed),
        "cut": counters.cut.load(Ordering::Relaxed),
        "cross_region_bytes": counters.cross_region_bytes.load(Ordering::Relaxed),
        "link": {
            "connections": board.link.connections(),
            "udp_sent": udp_sent,
            "udp_received": udp_received,
            "frames_sent": link.sent_frames.load(Ordering::Relaxed),
            "frame_bytes_sent": link.sent_bytes.load(Ordering::Relaxed),
            "frame_bytes_received": link.received_bytes.load(Ordering::Relaxed),
            "frames_dropped": link.dropped_frames.load(Ordering::Relaxed),
            "strangers": link.rejected_handshakes.load(Ordering::Relaxed),
        },
        "members": members,
        "cells": cells,
        "windows": board.dispatcher.windows(),
        "endpoints": endpoints,
    })
}

/// Serves `POST /publication`: receives a publication from an operator.
pub async fn publication(board: Board, body: Bytes) -> HttpResponse {
    let digest = guild::Digest::of(&body).to_string();
    let document = Document { digest: digest.into(), bytes: body.to_vec().into() };
    match board.documents.try_send(document) {
        Ok(()) => HttpResponse::Accepted().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Serves `POST /drain/{endpoint}`: marks an endpoint as leaving at every gateway.
pub async fn drain(board: Board, http: HttpRequest) -> HttpResponse {
    mark(&board, &http, true)
}

/// Serves `DELETE /drain/{endpoint}`: removes the mark at every gateway.
pub async fn cancel_drain(board: Board, http: HttpRequest) -> HttpResponse {
    mark(&board, &http, false)
}

fn mark(board: &Blackboard, http: &HttpRequest, leaving: bool) -> HttpResponse {
    let name = http.match_info().get("endpoint").unwrap_or_default();
    let Ok(endpoint) = EndpointId::new(name) else {
        return HttpResponse::BadRequest().body("not an endpoint's name");
    };
    if !board.map().targets.contains_key(&endpoint) {
        return HttpResponse::NotFound().body("unknown endpoint");
    }
    facts::announce(board, facts::leaving(&endpoint, leaving, Source::Operator));
    HttpResponse::Accepted().finish()
}
