//! The cases.

use crate::caller::{Seen, ask};
use crate::documents::{self, HOST, MODEL, PIECES};
use crate::engine::Shape;
use crate::http;
use crate::origin::{self, Spoils};
use crate::record;
use crate::system::{Size, System};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Verdict {
    pub is_broken: bool,
    pub why: String,
}

const START_LIMIT: Duration = Duration::from_secs(15);
const SECOND: Duration = Duration::from_secs(1);

/// Starts a whole deployment whose engines hold version 1 of the weights.
fn start(size: Size, shape: Shape, timeout_ms: u64, record: &Path) -> Result<(System, Spoils), String> {
    let mut system = System::new(size, shape, record);
    let spoils = Spoils::default();
    origin::start(system.origin(), spoils.clone());
    system.start_engines_full();
    system.start_daemons(true);
    let configuration = documents::configuration(1, timeout_ms, system.origin());
    if !system.order("/v1/config/replace", &configuration, START_LIMIT) {
        return Err("the first configuration was not acknowledged".into());
    }
    if !system.wait_until_ready(START_LIMIT) {
        return Err("an entry did not become ready".into());
    }
    // Entries hear the targets, and traffic starts when all of them are known.
    std::thread::sleep(6 * SECOND);
    Ok((system, spoils))
}

/// Asks the directory for an entry, as a client does.
fn resolve(directories: &[SocketAddr], turn: usize) -> Option<SocketAddr> {
    let line = format!("GET /v1/resolve?Name={HOST}&Region=region-a&Zone=hall-a");
    for at in 0..directories.len() {
        let directory = directories[(turn + at) % directories.len()];
        let Ok(answer) = http::call(directory, &line, &[], b"", SECOND) else { continue };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let list = text.split_once("\"Addresses\":[").and_then(|(_, rest)| rest.split(']').next().map(str::to_string));
        let addresses: Vec<SocketAddr> = list
            .unwrap_or_default()
            .split(',')
            .filter_map(|address| address.trim_matches('"').parse().ok())
            .collect();
        if let Some(address) = addresses.get(turn % addresses.len().max(1)) {
            return Some(*address);
        }
    }
    None
}

/// Clients that ask at a steady rate until told to stop. Each result has the time at which
/// its attempt began.
struct Traffic {
    ends: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<(Instant, Seen)>>>,
}

impl Traffic {
    fn start(system: &System, per_s: u64, deadline_ms: u64) -> Self {
        let traffic = Self { ends: Arc::default(), seen: Arc::default() };
        let directories: Vec<SocketAddr> = (0..system.size.entries).map(|index| system.directory(index)).collect();
        let (ends, seen) = (traffic.ends.clone(), traffic.seen.clone());
        std::thread::spawn(move || {
            for number in 1_usize.. {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let (directories, seen) = (directories.clone(), seen.clone());
                std::thread::spawn(move || {
                    let began = Instant::now();
                    let result = match resolve(&directories, number) {
                        Some(entry) => ask(entry, &format!("{number:016x}"), deadline_ms),
                        None => Seen::default(),
                    };
                    seen.lock().unwrap().push((began, result));
                });
                std::thread::sleep(Duration::from_millis(1_000 / per_s));
            }
        });
        traffic
    }

    fn stop(&self) {
        self.ends.store(true, Ordering::SeqCst);
    }

    /// Returns how many attempts began in a span, and how many of them were served whole.
    fn served(&self, from: Instant, to: Instant, events: u64) -> (usize, usize) {
        let seen = self.seen.lock().unwrap();
        let span: Vec<_> = seen.iter().filter(|(began, _)| *began >= from && *began < to).collect();
        let served = span.iter().filter(|(_, seen)| seen.is_whole(events)).count();
        (span.len(), served)
    }
}

/// A proxy before an entry whose link to the clients has this bandwidth; `None` does not
/// hold bytes back.
fn proxy(listen: SocketAddr, to: SocketAddr, mbps: Option<f64>) {
    let listener = TcpListener::bind(listen).expect("the proxy's address");
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let Ok(entry) = TcpStream::connect(to) else { return };
                let (up_from, up_to) = (client.try_clone().unwrap(), entry.try_clone().unwrap());
                std::thread::spawn(move || copy(up_from, up_to, None));
                copy(entry, client, mbps);
            });
        }
    });
}

fn copy(mut from: TcpStream, mut to: TcpStream, mbps: Option<f64>) {
    let mut bytes = [0; 8_192];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => count,
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        };
        if let Some(mbps) = mbps {
            std::thread::sleep(Duration::from_secs_f64(count as f64 * 8.0 / (mbps * 1e6)));
        }
        if to.write_all(&bytes[..count]).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// A stream is written to a client over a narrow link until the route's time is over.
pub fn slow_reader(record: &Path, trouble: bool) -> Result<Verdict, String> {
    const EVENTS: u64 = 1_000;
    const TIMEOUT_MS: u64 = 3_000;
    const DEADLINE_MS: u64 = 20_000;
    let size = Size { entries: 6, engines: 3 };
    let shape = Shape { events: EVENTS, event_bytes: 16_000, gap_ms: 1 };
    let (system, _) = start(size, shape, TIMEOUT_MS, record)?;
    let narrow = SocketAddr::new(system.proxy_ip(), 18_080);
    proxy(narrow, system.frontend(5), trouble.then_some(9.1));
    let mut cut = 0;
    let mut whole = 0;
    for number in 0..4 {
        let seen = ask(narrow, &format!("5100000000000{number:03x}"), DEADLINE_MS);
        if seen.status == 200 && seen.ended_as_complete && seen.events < EVENTS {
            record::line(&format!("ORDER: the stream ended as complete after {} of {EVENTS} events", seen.events));
            cut += 1;
        }
        whole += usize::from(seen.is_whole(EVENTS));
    }
    if !trouble && whole < 4 {
        return Err(format!("without the narrow link only {whole} of 4 streams came whole"));
    }
    Ok(Verdict {
        is_broken: cut > 0,
        why: format!("{cut} of 4 streams ended as complete before their last event; {whole} came whole"),
    })
}

/// The final fault, and one bit of one answer of the origin arrives wrong during recovery.
pub fn spoilt_manifest(record: &Path, trouble: bool) -> Result<Verdict, String> {
    const EVENTS: u64 = 21;
    const RECOVER: Duration = Duration::from_secs(12);
    let size = Size { entries: 3, engines: 4 };
    let shape = Shape { events: EVENTS, event_bytes: 60, gap_ms: 30 };
    let (mut system, spoils) = start(size, shape, 6_000, record)?;
    let traffic = Traffic::start(&system, 8, 6_000);
    let began = Instant::now();
    std::thread::sleep(8 * SECOND);
    let (sent_before, served_before) = traffic.served(began, began + 6 * SECOND, EVENTS);
    let configuration = documents::configuration(2, 6_000, system.origin());
    if !system.order("/v1/config/replace", &configuration, 4 * SECOND) {
        return Err("the change before the final fault was not acknowledged".into());
    }
    record::line("FINAL FAULT: all processes of the system and all engines are killed");
    system.kill_all();
    std::thread::sleep(SECOND + SECOND / 2);
    spoils.store(usize::from(trouble), Ordering::SeqCst);
    // Engines that start later hold no layers, and a loss of power takes the staged pieces.
    system.start_engines_empty();
    system.start_daemons(false);
    let returned = Instant::now();
    record::line("all machines are back");
    std::thread::sleep(RECOVER + 26 * SECOND);
    traffic.stop();
    std::thread::sleep(7 * SECOND);
    let (sent, served) = traffic.served(returned + RECOVER, returned + RECOVER + 25 * SECOND, EVENTS);
    if sent_before < 20 || served_before * 4 < sent_before || sent < 50 {
        return Err(format!("before: {served_before} of {sent_before} served; after: {sent} sent"));
    }
    Ok(Verdict {
        is_broken: served * 4 < sent,
        why: format!(
            "before the final fault {served_before} of {sent_before} requests were served; of those sent from 12 s to 37 s after the return, {served} of {sent}"
        ),
    })
}

/// An engine crashes after its agent has checked the staged pieces, two of which have just
/// turned bad.
pub fn crashed_engine(record: &Path, trouble: bool) -> Result<Verdict, String> {
    const EVENTS: u64 = 21;
    const DOWN: Duration = Duration::from_millis(4_500);
    let size = Size { entries: 3, engines: 9 };
    let shape = Shape { events: EVENTS, event_bytes: 60, gap_ms: 30 };
    let (mut system, _) = start(size, shape, 6_000, record)?;
    let traffic = Traffic::start(&system, 20, 6_000);
    std::thread::sleep(3 * SECOND);
    let name = format!(r#"{{"Model":"{MODEL}","Version":2}}"#);
    if !system.order("/v1/version-put", &name, 4 * SECOND) {
        return Err("the version was not acknowledged".into());
    }
    let until = Instant::now() + 14 * SECOND;
    if trouble {
        let Some(index) = first_checked(&system, until) else {
            return Err("no agent read its staged pieces back".into());
        };
        for piece in [7, 30] {
            let line = format!("POST /test/rot?Quantity={piece}");
            if http::call(system.engine(index), &line, &[], b"", SECOND).is_err() {
                return Err("the engine did not let a piece turn bad".into());
            }
        }
        system.kill_engine(index);
        record::line(&format!("engine {index} crashes, for 4.5 s"));
        std::thread::sleep(DOWN);
        system.restart_engine(index);
    }
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    traffic.stop();
    std::thread::sleep(2 * SECOND);
    let text = std::fs::read_to_string(record).map_err(|error| error.to_string())?;
    let starts = text.matches("takes the order to start version 2").count();
    let runs = text.matches(" RUN ").count();
    let wrong = text.matches("RUN-ON-WRONG-WEIGHTS").count();
    if starts < 8 || runs < 100 {
        return Err(format!("{starts} engines were ordered to start version 2, {runs} requests ran"));
    }
    Ok(Verdict {
        is_broken: wrong > 0,
        why: format!("{wrong} requests ran on layers taken with pieces that had been bad for over 3 s; {runs} ran on sound ones"),
    })
}

/// Returns the first engine all of whose pieces were read back.
fn first_checked(system: &System, until: Instant) -> Option<usize> {
    while Instant::now() < until {
        for index in 0..system.size.engines {
            let answer = http::call(system.engine(index), "GET /test/verified", &[], b"", SECOND);
            let count = answer.ok().and_then(|answer| String::from_utf8(answer.body).ok()?.parse::<u64>().ok());
            if count.is_some_and(|count| count > 0) {
                record::line(&format!("the agent of engine {index} has read all {PIECES} pieces back"));
                return Some(index);
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    None
}
