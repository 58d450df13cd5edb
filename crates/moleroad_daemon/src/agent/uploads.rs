//! Sends chunks to peers that hold a ticket.

use crate::agent::AgentShared;
use crate::agent::links::PIECE_BYTES;
use crate::agent::staging::RootStore;
use crate::http::Exchange;
use crate::http::exchange::WholeAnswer;
use crate::http::header;
use moleroad_events::log::unix_ms;
use moleroad_transfer::prelude::Ticket;
use moleroad_types::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Beginning of the paths that chunks are asked for under.
pub(crate) const CHUNKS_PATH: &str = "/chunks/";

/// Answers `GET /chunks/ROOT` (which chunks are held) and
/// `GET /chunks/ROOT/INDEX` (one chunk).
pub(crate) struct Uploads {
    shared: Arc<AgentShared>,
    busy: AtomicUsize,
}

/// A taken upload slot.
struct Slot<'a>(&'a AtomicUsize);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Uploads {
    pub(crate) fn new(shared: Arc<AgentShared>) -> Self {
        Self {
            shared,
            busy: AtomicUsize::new(0),
        }
    }

    pub(crate) fn handle(&self, exchange: Exchange) {
        let path = exchange.path().trim_start_matches(CHUNKS_PATH).to_string();
        let (root, index) = path
            .split_once('/')
            .map_or((path.as_str(), None), |(root, index)| (root, Some(index)));
        let Some(root) = RootDigest::from_hex(root) else {
            return exchange.refuse(&MoleroadError::new(
                ResultCode::BadRequest,
                "no root digest",
            ));
        };
        // A wrong ticket is refused alike whether the weights are here or not.
        if !self.ticket_opens(&exchange, root) {
            return exchange.refuse(&MoleroadError::new(ResultCode::TicketRefused, ""));
        }
        let Some(store) = self.shared.staging.get(root) else {
            return exchange.refuse(&MoleroadError::new(
                ResultCode::NotFound,
                "the weights are not here",
            ));
        };
        match index.map(str::parse) {
            None => exchange.answer(holdings(&store, 204)),
            Some(Ok(index)) => self.send(exchange, &store, ChunkIndex(index)),
            Some(Err(_)) => exchange.refuse(&MoleroadError::new(
                ResultCode::BadRequest,
                "no chunk index",
            )),
        }
    }

    fn ticket_opens(&self, exchange: &Exchange, root: RootDigest) -> bool {
        let headers = (
            exchange.header(header::TICKET),
            exchange.header(header::ACCOUNT),
            exchange.header(header::AGENT),
        );
        let (Some(ticket), Some(account), Some(agent)) = headers else {
            return false;
        };
        let key = &self.shared.context.cluster_key.0;
        Ticket::opens(ticket, key, &account.into(), root, &agent.into(), unix_ms())
    }

    fn send(&self, exchange: Exchange, store: &RootStore, chunk: ChunkIndex) {
        let slot = Slot(&self.busy);
        if self.busy.fetch_add(1, Ordering::AcqRel) >= self.shared.settings.upload_slots {
            return exchange.answer(holdings(store, ResultCode::SourceBusy.http_status()));
        }
        match store.read(chunk) {
            Ok(Some(bytes)) => self.send_paced(exchange, store, &bytes),
            Ok(None) => exchange.answer(holdings(store, ResultCode::NotFound.http_status())),
            Err(error) => {
                log::warn!(error:% = error, chunk:% = chunk; "a staged chunk cannot be read");
                exchange.answer(holdings(store, ResultCode::NotFound.http_status()));
            }
        }
        drop(slot);
    }

    fn send_paced(&self, exchange: Exchange, store: &RootStore, bytes: &[u8]) {
        let held = [(header::CHUNKS.to_string(), store.have().to_hex())];
        let Ok(mut stream) = exchange.stream(200, "application/octet-stream", &held) else {
            return;
        };
        for piece in bytes.chunks(PIECE_BYTES) {
            self.shared.links.send_weights(piece.len());
            if stream.send(piece).is_err() {
                return;
            }
            self.shared
                .context
                .metrics
                .chunk_bytes_sent
                .inc_by(piece.len() as u64);
        }
        stream.finish();
    }
}

/// An answer without a body that says which chunks are held.
fn holdings(store: &RootStore, status: u16) -> WholeAnswer {
    let headers = vec![(header::CHUNKS.to_string(), store.have().to_hex())];
    WholeAnswer {
        status,
        content_type: "application/octet-stream".into(),
        headers,
        body: Vec::new(),
    }
}
