//! Threads that fetch chunks and ask peers what they hold.

use crate::agent::AgentShared;
use crate::agent::links::PIECE_BYTES;
use crate::agent::staging::RootStore;
use crate::agent::uploads::CHUNKS_PATH;
use crate::agent::worker::AgentEvent;
use crate::http::{client, header};
use attohttpc::{RequestBuilder, Response};
use crossbeam::channel::{Receiver, Sender, unbounded};
use moleroad_transfer::prelude::*;
use moleroad_types::prelude::*;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Threads that fetch.
const FETCH_THREADS: usize = 10;
/// Longest silence of a source in mid chunk.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Where a job goes.
pub(crate) enum JobSource {
    /// The origin, below its address.
    Origin(SocketAddr, String),
    /// A peer.
    Peer(InstanceId, SocketAddr),
}

/// What to fetch.
pub(crate) enum JobKind {
    /// One chunk.
    Chunk(AttemptId, ChunkIndex),
    /// Which chunks the peer holds.
    Holdings,
}

/// One job of a fetching thread.
pub(crate) struct FetchJob {
    pub(crate) store: Arc<RootStore>,
    pub(crate) source: JobSource,
    pub(crate) kind: JobKind,
    pub(crate) ticket: String,
    pub(crate) cancelled: Arc<AtomicBool>,
}

/// What a job brought.
pub(crate) struct FetchResult {
    pub(crate) root: RootDigest,
    /// The peer asked, `None` for the origin.
    pub(crate) peer: Option<InstanceId>,
    /// The attempt and its outcome, `None` for [`JobKind::Holdings`].
    pub(crate) attempt: Option<(AttemptId, ChunkIndex, FetchOutcome)>,
    /// What the peer holds, if it said.
    pub(crate) holds: Option<ChunkSet>,
}

/// Starts the threads and returns the queue of their jobs.
pub(crate) fn start(shared: &Arc<AgentShared>, events: &Sender<AgentEvent>) -> Sender<FetchJob> {
    let (sender, jobs) = unbounded();
    for _ in 0..FETCH_THREADS {
        let fetcher = Fetcher {
            shared: Arc::clone(shared),
            jobs: jobs.clone(),
            events: events.clone(),
        };
        thread::spawn(move || fetcher.run());
    }
    sender
}

struct Fetcher {
    shared: Arc<AgentShared>,
    jobs: Receiver<FetchJob>,
    events: Sender<AgentEvent>,
}

impl Fetcher {
    fn run(self) {
        for job in &self.jobs {
            let result = self.carry_out(&job);
            if self.events.send(AgentEvent::Fetched(result)).is_err() {
                return;
            }
        }
    }

    fn carry_out(&self, job: &FetchJob) -> FetchResult {
        let (outcome, holds) = match self.fetch(job) {
            Ok((outcome, holds)) => (outcome, holds),
            Err(error) => {
                log::debug!(error:% = error; "a fetch failed");
                (FetchOutcome::Failed, None)
            }
        };
        let attempt = match job.kind {
            JobKind::Chunk(attempt, chunk) => Some((attempt, chunk, outcome)),
            JobKind::Holdings => None,
        };
        let peer = match &job.source {
            JobSource::Peer(peer, _) => Some(peer.clone()),
            JobSource::Origin(..) => None,
        };
        FetchResult {
            root: job.store.weights.root,
            peer,
            attempt,
            holds,
        }
    }

    fn fetch(&self, job: &FetchJob) -> io::Result<(FetchOutcome, Option<ChunkSet>)> {
        if job.cancelled.load(Ordering::Acquire) {
            return Ok((FetchOutcome::Failed, None));
        }
        let response = self.request(job)?.send().map_err(io::Error::from)?;
        let chunk_count = job.store.manifest.chunk_count();
        let holds = client::header(&response, header::CHUNKS)
            .and_then(|hex| ChunkSet::from_hex(hex, chunk_count));
        let outcome = match (&job.kind, response.status().as_u16()) {
            (JobKind::Chunk(_, chunk), 200 | 206) => self.receive(job, *chunk, response)?,
            (_, 503) => FetchOutcome::Busy,
            (_, 404) => FetchOutcome::Missing,
            _ => FetchOutcome::Failed,
        };
        Ok((outcome, holds))
    }

    fn request(&self, job: &FetchJob) -> io::Result<RequestBuilder> {
        let weights = &job.store.weights;
        match &job.source {
            JobSource::Origin(address, path) => {
                let JobKind::Chunk(_, chunk) = job.kind else {
                    return Err(io::ErrorKind::InvalidInput.into());
                };
                let range = job.store.manifest.byte_range(chunk);
                let url = format!("http://{address}/{}", path.trim_start_matches('/'));
                let request = client::request("GET", &url, READ_TIMEOUT)?;
                Ok(request.header("Range", format!("bytes={}-{}", range.start, range.end - 1)))
            }
            JobSource::Peer(_, address) => {
                let root = weights.root;
                let url = match job.kind {
                    JobKind::Chunk(_, chunk) => {
                        format!("http://{address}{CHUNKS_PATH}{root}/{chunk}")
                    }
                    JobKind::Holdings => format!("http://{address}{CHUNKS_PATH}{root}"),
                };
                let own = &self.shared.context.settings.instance;
                let request = client::request("GET", &url, READ_TIMEOUT)?;
                let request = request
                    .try_header(header::TICKET, &job.ticket)
                    .map_err(io::Error::from)?;
                let request = request.try_header(header::ACCOUNT, weights.account.as_str());
                let request = request.map_err(io::Error::from)?;
                request
                    .try_header(header::AGENT, own.as_str())
                    .map_err(io::Error::from)
            }
        }
    }

    /// Reads a chunk at the link's pace and stores it if it verifies.
    fn receive(
        &self,
        job: &FetchJob,
        chunk: ChunkIndex,
        mut response: Response,
    ) -> io::Result<FetchOutcome> {
        let range = job.store.manifest.byte_range(chunk);
        let expected = (range.end - range.start) as usize;
        let mut bytes = Vec::with_capacity(expected);
        let mut piece = [0; PIECE_BYTES];
        let counter = match job.source {
            JobSource::Origin(..) => self
                .shared
                .context
                .metrics
                .chunk_bytes_fetched
                .with_label_values(&["origin"]),
            JobSource::Peer(..) => self
                .shared
                .context
                .metrics
                .chunk_bytes_fetched
                .with_label_values(&["peer"]),
        };
        while bytes.len() <= expected {
            if job.cancelled.load(Ordering::Acquire) {
                return Ok(FetchOutcome::Failed);
            }
            let count = response.read(&mut piece)?;
            if count == 0 {
                break;
            }
            counter.inc_by(count as u64);
            self.shared.links.receive_weights(count);
            bytes.extend_from_slice(&piece[..count]);
        }
        if bytes.len() < expected {
            return Ok(FetchOutcome::Failed);
        }
        match job.store.store(chunk, &bytes)? {
            true => Ok(FetchOutcome::Verified),
            false => Ok(FetchOutcome::Corrupt),
        }
    }
}
