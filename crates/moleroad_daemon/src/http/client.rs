//! Requests to targets, agents, the origin and the platform.

use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use std::io::{self, Read};
use std::time::Duration;

/// Longest time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is taken whole, in bytes.
pub const MAX_WHOLE_BYTES: u64 = 64 << 20;

/// A request to `url` that gives up when nothing arrives for `read_timeout`.
///
/// # Errors
/// When `method` or `url` is malformed.
pub fn request(method: &str, url: &str, read_timeout: Duration) -> io::Result<RequestBuilder> {
    let method = Method::from_bytes(method.as_bytes()).map_err(io::Error::other)?;
    let builder = RequestBuilder::try_new(method, url).map_err(io::Error::from)?;
    Ok(builder
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(read_timeout))
}

/// Whether `error` says that no connection was made, so that no byte of the
/// request left this process.
pub fn never_connected(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// The value of a header, if it is text.
pub fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}

/// Length that the answer states, `None` for a chunked one.
pub fn stated_length(response: &Response) -> Option<u64> {
    header(response, "Content-Length").and_then(|value| value.parse().ok())
}

/// Whether the answer tells where its body ends.
pub fn has_end(response: &Response) -> bool {
    let chunked =
        header(response, "Transfer-Encoding").is_some_and(|value| value.contains("chunked"));
    chunked || stated_length(response).is_some()
}

/// Reads a body to its end.
///
/// # Errors
/// [`io::ErrorKind::UnexpectedEof`] when it ends before its stated length or
/// end mark, or states neither.
pub fn read_whole(response: Response) -> io::Result<Vec<u8>> {
    let stated = stated_length(&response);
    if !has_end(&response) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut body = Vec::new();
    response.take(MAX_WHOLE_BYTES + 1).read_to_end(&mut body)?;
    if body.len() as u64 > MAX_WHOLE_BYTES {
        return Err(io::Error::other("the answer is too large"));
    }
    if stated.is_some_and(|length| length != body.len() as u64) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body)
}
