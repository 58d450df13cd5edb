//! Bodies as PROTOCOL shows them, and the bytes of the weights.

use crate::sha256::hex_digest;
use std::net::SocketAddr;

pub const MODEL: &str = "model-a";
pub const SERVICE: &str = "assist-llm";
pub const HOST: &str = "clerks.example";
pub const KEY: &str = "review-key-1";
pub const TENANT: &str = "tenant-one";
pub const PIECES: u64 = 48;
pub const PIECE_BYTES: usize = 49_152;
pub const LAYERS: u64 = 16;

/// Returns the bytes of a piece of a version.
pub fn piece(version: u64, number: u64) -> Vec<u8> {
    let text = format!("version {version} piece {number} ");
    text.bytes().cycle().take(PIECE_BYTES).collect()
}

/// Returns the answer to `GET /v1/manifest/ID`.
pub fn manifest(version: u64) -> String {
    let digests: Vec<String> =
        (0..PIECES).map(|number| format!("\"{}\"", hex_digest(&piece(version, number)))).collect();
    format!(
        r#"{{"Model":"{MODEL}","Version":{version},"ChunkBytes":{PIECE_BYTES},"layers":{LAYERS},"Digests":[{}]}}"#,
        digests.join(",")
    )
}

/// Returns a configuration with one streaming route `/draft/`.
pub fn configuration(version: u64, timeout_ms: u64, origin: SocketAddr) -> String {
    let engine = format!(
        r#"{{"Slots":16,"KvCapacity":685000,"KvBytes":327680,"LinkMbps":400000.0,"Stride":6,"Models":[{{"Name":"{MODEL}","pace":1.0,"LoadS":4.0,"WarmupS":0.3}}],"SizeMb":297000.0,"AdapterSlots":8,"LoadsPerS":0.0,"step_ms":7.4,"per_seq_ms":0.0387,"context_per_k":0.0203,"read_per_s":31900.0,"pairs_per_m":0.733,"chunk":2048,"report_lag_ms":200.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":973,"answer":106}},"layers":{LAYERS},"layer_mb":4540.0,"act_bytes":16384,"pipe_mbps":0.0,"Chunks":{PIECES},"ChunkBytes":{PIECE_BYTES}}}"#
    );
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-draft","Host":"{HOST}","PathPrefix":"/draft/","RouteKind":"streaming","TimeoutMs":{timeout_ms},"TargetLatencyMs":400,"Priority":1,"Service":"{SERVICE}","MaxAttempts":2,"Public":false,"SessionAffinity":true,"StreamResume":true,"TargetItlMs":300}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/healthz","MaxConns":434,"Protocol":"h1","Tls":false,"Engine":{engine}}},{{"Name":"weights-origin","Origin":"{origin}","Zone":"hall-a","LinkMbps":15.0,"MaxConns":48}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"{TENANT}","ApiKeys":["{KEY}"],"Priority":1}}]}}"#
    )
}

/// Returns `Models` and `layers` of an engine that holds `version`, or nothing.
pub fn holdings(version: Option<u64>) -> String {
    match version {
        None => r#""Models":[]"#.to_string(),
        Some(version) => format!(
            r#""Models":[{{"Name":"{MODEL}","Version":{version},"Adapters":[]}}],"layers":[{{"From":0,"TargetVersion":{LAYERS},"Version":{version}}}]"#
        ),
    }
}

/// Returns the number behind `"name":` in a document.
pub fn number(document: &str, name: &str) -> Option<u64> {
    let (_, rest) = document.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns the text behind `"name":"` in a document.
pub fn text<'a>(document: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = document.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next()
}
